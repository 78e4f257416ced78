package routecheck

import (
	"slices"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/finding"
)

// Against returns the errors and warnings of a configuration, and its differences from the one
// in force.
func Against(force, next Config) finding.List {
	c := &checker{Config: next, findings: Check(next)}
	switch {
	case len(force.Faults) > 0:
		f := force.Faults[0]
		c.findings.Add(finding.Error, fault.Fault{Field: "(in force)", Reason: "the configuration in force has faults and is not compared: " + f.String()})
	case len(next.Faults) == 0:
		c.compare(force)
	}
	return c.findings
}

// compare adds the differences, and an error if processes would keep the version in force.
func (c *checker) compare(force Config) {
	before := len(c.findings)
	compareByName(c, "route", force.Routes, c.Routes, func(r Route) Field[string] { return r.Name }, c.compareRoute)
	compareByName(c, "service", force.Services, c.Services, func(s Service) Field[string] { return s.Name }, c.compareService)
	difference(c, force.IdleTimeout, c.IdleTimeout)
	changed := len(c.findings) > before
	is, was := c.Version.Value, force.Version.Value
	c.require(is >= was, finding.Error, c.Version.Path, "%d is below %d, which is in force", is, was)
	c.require(is != was || !changed, finding.Error, c.Version.Path, "%d is in force with other content", is)
	c.require(is <= was, finding.Change, c.Version.Path, "%d, was %d", is, was)
}

// compareByName compares the entries of a list that have the same name, and adds a difference for
// each that only one of the two configurations has. what is the kind of the entries.
func compareByName[T any](c *checker, what string, force, next []T, name func(T) Field[string], compare func(was, is T)) {
	value := func(v T, _ int) string { return name(v).Value }
	former := lo.KeyBy(force, func(v T) string { return name(v).Value })
	for _, is := range next {
		field := name(is)
		was, ok := former[field.Value]
		c.require(ok, finding.Change, field.Path, "new %s %q", what, field.Value)
		if ok {
			compare(was, is)
		}
	}
	c.removed(what, lo.Map(force, value), lo.Map(next, value))
}

func (c *checker) compareRoute(was, is Route) {
	difference(c, was.Address, is.Address)
	difference(c, was.Kind, is.Kind)
	difference(c, was.Priority, is.Priority)
	difference(c, was.Objective, is.Objective)
	difference(c, was.Timeout, is.Timeout)
	c.compareShares(was, is)
}

func (c *checker) compareService(was, is Service) {
	difference(c, was.ColdFlowsPerSecond, is.ColdFlowsPerSecond)
	difference(c, was.Warmup, is.Warmup)
}

// compareShares compares the shares of a route by their part of all its flows.
func (c *checker) compareShares(force, r Route) {
	was, is := parts(force), parts(r)
	for _, s := range r.Shares {
		service := s.Service.Value
		c.require(was[service] == is[service], finding.Change, s.Weight.Path, "service %q gets %.3g %% of the flows, had %.3g %%", service, 100*is[service], 100*was[service])
	}
	c.removed("share of route "+r.Name.Value+" for service", lo.Keys(was), lo.Keys(is))
}

// parts returns the part of the flows of a route that each service gets.
func parts(r Route) map[string]float64 {
	total := lo.SumBy(r.Shares, func(s Share) float64 { return max(s.Weight.Value, 0) })
	list := make(map[string]float64)
	for _, s := range r.Shares {
		list[s.Service.Value] += max(s.Weight.Value, 0) / max(total, 1e-300)
	}
	return list
}

// removed adds a difference for each name that the new configuration lacks.
func (c *checker) removed(what string, was, is []string) {
	gone, _ := lo.Difference(was, is)
	slices.Sort(gone)
	for _, name := range gone {
		c.findings.Add(finding.Change, fault.Fault{Field: "(removed)", Reason: what + " " + name})
	}
}

// difference adds a difference if the values of a field differ.
func difference[T comparable](c *checker, was, is Field[T]) {
	c.require(was.Value == is.Value, finding.Change, is.Path, "%v, was %v", is.Value, was.Value)
}
