// Package balanced is the placement rule that keeps requests beside their flow
// while the backend server is used no more than its peers, and moves the excess
// to those that are used less.
package balanced

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/placement"
)

// Priority places the rule after those that leave out sites.
const Priority = 500

// tolerance is how far the utilisation may exceed the mean before requests move.
const tolerance = 0.02

// NewRule returns the rule. random returns numbers from 0 to 1; rand.Float64 in
// production.
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

func (r rule) apply(v placement.View) []placement.Site {
	sites := slices.Clone(v.Sites)
	slices.SortStableFunc(sites, func(a, b placement.Site) int {
		return cmp.Compare(a.Load.Utilisation, b.Load.Utilisation)
	})
	local, ok := lo.Find(sites, func(s placement.Site) bool { return s.Local })
	if !ok {
		return sites
	}
	peers := placement.WithoutLocal(sites)
	if r.moves(local, sites) {
		return append(peers, local)
	}
	return append([]placement.Site{local}, peers...)
}

// moves decides whether a request leaves. The share that leaves is the part of
// the demand above the mean, so that what stays uses the server as much as its
// peers are; if the server is used above the mean nevertheless, the excess
// leaves as well.
func (r rule) moves(local placement.Site, sites []placement.Site) bool {
	target := meanUtilisation(sites) + tolerance
	return r.random() < max(above(target, local.Demand), above(target, local.Load.Utilisation))
}

// above returns the share of the value above the target.
func above(target, value float64) float64 {
	if value <= target {
		return 0
	}
	return 1 - target/value
}

func meanUtilisation(sites []placement.Site) float64 {
	used, slots := 0.0, 0.0
	for _, s := range sites {
		used += s.Load.Utilisation * float64(s.Load.Slots)
		slots += float64(s.Load.Slots)
	}
	return used / slots
}
