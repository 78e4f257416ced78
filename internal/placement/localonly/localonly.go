// Package localonly is the placement rule that keeps every request on the local
// backend server, as a balancer that hashes flows does. It serves as a baseline.
package localonly

import (
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority applies the rule after those that remove candidates.
const Priority = 500

// NewRule returns the rule.
func NewRule() placement.Rule {
	return placement.Rule{Name: "localOnly", Priority: Priority, Apply: apply}
}

func apply(v placement.View) []placement.Candidate {
	return lo.Filter(v.Candidates, func(c placement.Candidate, _ int) bool { return c.Local })
}
