// Package presets defines the placement policies that can be selected in settings.
package presets

import (
	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/placement"
	"github.com/bergamotgw/bergamotgw/internal/placement/available"
	"github.com/bergamotgw/bergamotgw/internal/placement/balanced"
	"github.com/bergamotgw/bergamotgw/internal/placement/leastloaded"
	"github.com/bergamotgw/bergamotgw/internal/placement/localonly"
	"github.com/bergamotgw/bergamotgw/internal/placement/roundrobin"
)

// Preset is the name of a placement policy.
type Preset string

// Presets; all but Balanced serve as baselines in experiments.
const (
	Balanced    Preset = "balanced"
	LocalOnly   Preset = "localOnly"
	RoundRobin  Preset = "roundRobin"
	LeastLoaded Preset = "leastLoaded"
)

// Policy returns the policy of a preset; the empty name selects Balanced. It fails
// for an unknown name.
func (p Preset) Policy() (*placement.Policy, error) {
	rules := map[Preset]placement.Rule{
		"":          balanced.NewRule(nil),
		Balanced:    balanced.NewRule(nil),
		LocalOnly:   localonly.NewRule(),
		RoundRobin:  roundrobin.NewRule(),
		LeastLoaded: leastloaded.NewRule(),
	}
	r, ok := rules[p]
	if !ok {
		return nil, merry.Errorf("unknown placement %q, want balanced, localOnly, roundRobin or leastLoaded", string(p))
	}
	return placement.NewPolicy(placement.WithRule(available.NewRule()), placement.WithRule(r)), nil
}
