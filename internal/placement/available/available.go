// Package available is the placement rule that removes backend servers that
// accept no work.
package available

import (
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority applies the rule before those that sort the candidates.
const Priority = 100

// NewRule returns the rule.
func NewRule() placement.Rule {
	return placement.Rule{Name: "available", Priority: Priority, Apply: apply}
}

func apply(v placement.View) []placement.Candidate {
	return lo.Filter(v.Candidates, func(c placement.Candidate, _ int) bool {
		return c.Load.State == load.Up && c.Load.Slots > 0
	})
}
