// Package placement decides on which backend server a request should run. Rules
// are applied in the order of their priority; they filter and sort the candidates.
package placement

import (
	"cmp"
	"slices"

	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Candidate is a backend server on which a request may run.
type Candidate struct {
	// Load is the latest load report; that of a peer may be as old as the interval
	// between reports.
	Load load.Report
	// Local is true for the backend server next to the agent that decides.
	Local bool
	// Demand is the utilisation that the local backend server would have if it ran
	// all requests of the agent's own flows; it may exceed 1. It is 0 for peers.
	Demand float64
}

// View is the input of a decision.
type View struct {
	// Kind is the kind of the request.
	Kind request.Kind
	// Candidates are the candidates in order of preference.
	Candidates []Candidate
}

// Rule filters or sorts the candidates.
type Rule struct {
	// Name identifies the rule in reports.
	Name string
	// Priority orders the rules; lower ones are applied first.
	Priority int
	// Apply returns the remaining candidates in their new order. It must not
	// modify its argument.
	Apply func(v View) []Candidate
}

// Policy is a list of rules in order of priority.
type Policy struct {
	rules []Rule
}

// Option configures a policy.
type Option func(*Policy)

// WithRule adds a rule.
func WithRule(r Rule) Option {
	return func(p *Policy) { p.rules = append(p.rules, r) }
}

// NewPolicy returns a policy with the given rules.
func NewPolicy(options ...Option) *Policy {
	p := &Policy{}
	for _, o := range options {
		o(p)
	}
	slices.SortStableFunc(p.rules, func(a, b Rule) int { return cmp.Compare(a.Priority, b.Priority) })
	return p
}

// Order returns the candidates for the request, best first.
func (p *Policy) Order(v View) []Candidate {
	for _, r := range p.rules {
		v.Candidates = r.Apply(v)
	}
	return v.Candidates
}

// WithoutLocal returns a copy of the candidates without the local one.
func WithoutLocal(candidates []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Local })
}
