// Package roundrobin is the placement rule that selects the next backend server
// for each request. It serves as a baseline.
package roundrobin

import (
	"slices"
	"sync/atomic"

	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority applies the rule after those that remove candidates.
const Priority = 500

// NewRule returns the rule with its own counter.
func NewRule() placement.Rule {
	var next atomic.Uint64
	return placement.Rule{
		Name:     "roundRobin",
		Priority: Priority,
		Apply: func(v placement.View) []placement.Candidate {
			return rotate(v.Candidates, next.Add(1))
		},
	}
}

// rotate returns the candidate whose turn it is. It returns no other, so that the
// request waits if that one is full.
func rotate(candidates []placement.Candidate, turn uint64) []placement.Candidate {
	if len(candidates) == 0 {
		return nil
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b placement.Candidate) int {
		return a.Load.Agent.Compare(b.Load.Agent)
	})
	i := int(turn % uint64(len(sorted)))
	return sorted[i : i+1]
}
