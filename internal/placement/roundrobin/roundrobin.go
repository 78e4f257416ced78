// Package roundrobin is the placement rule that starts at the next site for
// each request. It serves as a baseline.
package roundrobin

import (
	"slices"
	"sync/atomic"

	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority places the rule after those that leave out sites.
const Priority = 500

// NewRule returns the rule with its own counter.
func NewRule() placement.Rule {
	var next atomic.Uint64
	return placement.Rule{
		Name:     "roundRobin",
		Priority: Priority,
		Apply: func(v placement.View) []placement.Site {
			return rotate(v.Sites, next.Add(1))
		},
	}
}

// rotate returns one site only, so that a full one is waited for.
func rotate(sites []placement.Site, turn uint64) []placement.Site {
	if len(sites) == 0 {
		return nil
	}
	sorted := slices.Clone(sites)
	slices.SortFunc(sorted, func(a, b placement.Site) int {
		return a.Load.Agent.Compare(b.Load.Agent)
	})
	i := int(turn % uint64(len(sorted)))
	return sorted[i : i+1]
}
