// Package balanced is the placement rule that keeps requests on the local backend
// server while its utilisation does not exceed the mean, and moves the excess to
// the least utilised peers.
package balanced

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority applies the rule after those that remove candidates.
const Priority = 500

// tolerance is by how much the utilisation may exceed the mean before requests
// are moved; utilisations are from 0 to 1.
const tolerance = 0.02

// NewRule returns the rule. random returns random numbers from 0 to 1; it is
// rand.Float64 if nil is given.
func NewRule(random func() float64) placement.Rule {
	if random == nil {
		random = rand.Float64
	}
	r := rule{random: random}
	return placement.Rule{Name: "balanced", Priority: Priority, Apply: r.apply}
}

type rule struct {
	random func() float64
}

func (r rule) apply(v placement.View) []placement.Candidate {
	candidates := slices.Clone(v.Candidates)
	slices.SortStableFunc(candidates, func(a, b placement.Candidate) int {
		return cmp.Compare(a.Load.Utilisation, b.Load.Utilisation)
	})
	local, ok := lo.Find(candidates, func(c placement.Candidate) bool { return c.Local })
	if !ok {
		return candidates
	}
	peers := placement.WithoutLocal(candidates)
	if r.shouldMove(local, candidates) {
		return append(peers, local)
	}
	return append([]placement.Candidate{local}, peers...)
}

// shouldMove decides at random whether a request moves to a peer. The share of
// requests that moves is the share of the demand above the mean utilisation, so
// that the remaining requests utilise the local backend server as much as the
// peers are. If its utilisation exceeds the mean nevertheless, the share of that
// excess moves, if it is larger.
func (r rule) shouldMove(local placement.Candidate, candidates []placement.Candidate) bool {
	target := meanUtilisation(candidates) + tolerance
	return r.random() < max(excessShare(target, local.Demand), excessShare(target, local.Load.Utilisation))
}

// excessShare returns which share of the value is above the target.
func excessShare(target, value float64) float64 {
	if value <= target {
		return 0
	}
	return 1 - target/value
}

func meanUtilisation(candidates []placement.Candidate) float64 {
	used, slots := 0.0, 0.0
	for _, c := range candidates {
		used += c.Load.Utilisation * float64(c.Load.Slots)
		slots += float64(c.Load.Slots)
	}
	return used / slots
}
