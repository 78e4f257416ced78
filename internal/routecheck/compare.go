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
	c.compareRoutes(force.Routes)
	c.compareServices(force.Services)
	difference(c, force.IdleTimeout, c.IdleTimeout)
	changed := len(c.findings) > before
	is, was := c.Version.Value, force.Version.Value
	c.require(is >= was, finding.Error, c.Version.Path, "%d is below %d, which is in force", is, was)
	c.require(is != was || !changed, finding.Error, c.Version.Path, "%d is in force with other content", is)
	c.require(is <= was, finding.Change, c.Version.Path, "%d, was %d", is, was)
}

func (c *checker) compareRoutes(force []Route) {
	name := func(r Route) string { return r.Name.Value }
	former := lo.KeyBy(force, name)
	for _, r := range c.Routes {
		f, ok := former[name(r)]
		c.require(ok, finding.Change, r.Name.Path, "new route %q", name(r))
		if ok {
			difference(c, f.Address, r.Address)
			difference(c, f.Kind, r.Kind)
			difference(c, f.Priority, r.Priority)
			difference(c, f.Objective, r.Objective)
			difference(c, f.Timeout, r.Timeout)
			c.compareShares(f, r)
		}
	}
	c.removed("route", lo.Map(force, func(r Route, _ int) string { return name(r) }), lo.Map(c.Routes, func(r Route, _ int) string { return name(r) }))
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

func (c *checker) compareServices(force []Service) {
	name := func(s Service) string { return s.Name.Value }
	former := lo.KeyBy(force, name)
	for _, s := range c.Services {
		f, ok := former[name(s)]
		c.require(ok, finding.Change, s.Name.Path, "new service %q", name(s))
		if ok {
			difference(c, f.ColdFlowsPerSecond, s.ColdFlowsPerSecond)
			difference(c, f.Warmup, s.Warmup)
		}
	}
	c.removed("service", lo.Map(force, func(s Service, _ int) string { return name(s) }), lo.Map(c.Services, func(s Service, _ int) string { return name(s) }))
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
