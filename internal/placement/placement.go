// Package placement decides at which backend server a request should run.
// Rules, ordered by priority, narrow and order the sites.
package placement

import (
	"cmp"
	"slices"

	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Site is a backend server at which a request may run.
type Site struct {
	// Load is the latest known load; that of peers is up to a heartbeat old.
	Load load.Report
	// Local is true for the backend server beside the deciding agent.
	Local bool
	// Demand is the utilisation that the local server would have if it ran every
	// request of the agent's own flows; it may exceed 1. It is 0 for peers.
	Demand float64
}

// View is what a decision is based on.
type View struct {
	// Kind is the kind of the request.
	Kind request.Kind
	// Sites are in order of preference.
	Sites []Site
}

// Rule narrows or orders the sites.
type Rule struct {
	// Name identifies the rule in reports.
	Name string
	// Priority orders the rules; lower ones are applied first.
	Priority int
	// Apply returns the sites in the new order. It must not change its argument.
	Apply func(v View) []Site
}

// Policy is an ordered list of rules.
type Policy struct {
	rules []Rule
}

// Option configures a policy.
type Option func(*Policy)

// WithRule adds a rule.
func WithRule(r Rule) Option {
	return func(p *Policy) { p.rules = append(p.rules, r) }
}

// NewPolicy returns the policy with the given rules.
func NewPolicy(options ...Option) *Policy {
	p := &Policy{}
	for _, o := range options {
		o(p)
	}
	slices.SortStableFunc(p.rules, func(a, b Rule) int { return cmp.Compare(a.Priority, b.Priority) })
	return p
}

// Order returns the sites at which to try the request, best first.
func (p *Policy) Order(v View) []Site {
	for _, r := range p.rules {
		v.Sites = r.Apply(v)
	}
	return v.Sites
}

// WithoutLocal returns a copy of the sites without the local one.
func WithoutLocal(sites []Site) []Site {
	return slices.DeleteFunc(slices.Clone(sites), func(s Site) bool { return s.Local })
}
