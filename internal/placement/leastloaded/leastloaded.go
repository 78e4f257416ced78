// Package leastloaded is the placement rule that selects the backend server with
// the fewest running and waiting requests per slot in the latest load report. It
// serves as a baseline.
package leastloaded

import (
	"cmp"
	"slices"

	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority applies the rule after those that remove candidates.
const Priority = 500

// NewRule returns the rule.
func NewRule() placement.Rule {
	return placement.Rule{Name: "leastLoaded", Priority: Priority, Apply: apply}
}

func apply(v placement.View) []placement.Candidate {
	candidates := slices.Clone(v.Candidates)
	slices.SortStableFunc(candidates, func(a, b placement.Candidate) int {
		return cmp.Compare(occupancy(a), occupancy(b))
	})
	return candidates[:min(len(candidates), 1)]
}

func occupancy(c placement.Candidate) float64 {
	return float64(c.Load.Used+c.Load.Queued) / float64(c.Load.Slots)
}
