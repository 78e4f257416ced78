// Package leastloaded is the placement rule that prefers the site with the
// smallest share of used slots at its latest report. It serves as a baseline.
package leastloaded

import (
	"cmp"
	"slices"

	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority places the rule after those that leave out sites.
const Priority = 500

// NewRule returns the rule.
func NewRule() placement.Rule {
	return placement.Rule{Name: "leastLoaded", Priority: Priority, Apply: apply}
}

func apply(v placement.View) []placement.Site {
	sites := slices.Clone(v.Sites)
	slices.SortStableFunc(sites, func(a, b placement.Site) int {
		return cmp.Compare(share(a), share(b))
	})
	return sites[:min(len(sites), 1)]
}

func share(s placement.Site) float64 {
	return float64(s.Load.Used+s.Load.Queued) / float64(s.Load.Slots)
}
