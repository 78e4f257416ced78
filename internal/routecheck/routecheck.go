// Package routecheck checks the operator's configuration of packet flows before it is sent:
// routes that no flow can take, limits that contradict each other, and differences from the
// configuration in force.
package routecheck

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/finding"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
)

// Field is a value of the configuration and the path under which the operator finds it.
type Field[T comparable] struct {
	Value T
	// Path is the path in the text.
	Path string
}

// Config is a decoded configuration.
type Config struct {
	// Faults are the reasons for which processes would refuse the text; the other fields are
	// complete only if there are none.
	Faults []fault.Fault
	// Lines locates the paths of the fields.
	Lines    strictjson.Lines
	Version  Field[uint64]
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow stays open without packets; 0 if it is not stated.
	IdleTimeout Field[time.Duration]
}

// Route leads the flows to a service address to services.
type Route struct {
	Name    Field[string]
	Address Field[netip.AddrPort]
	// Kind states whether a request may run twice. It may if KnownKind is false.
	Kind      Field[string]
	KnownKind bool
	Priority  Field[int]
	Objective Field[time.Duration]
	// Timeout is 0 if requests have none.
	Timeout Field[time.Duration]
	// Shares holds at least one share.
	Shares []Share
}

// Share is the part of the flows of a route that is sent to one service.
type Share struct {
	Service Field[string]
	Weight  Field[float64]
}

// Service is a service that the operator has defined.
type Service struct {
	Name Field[string]
	// ColdFlowsPerSecond limits the new flows of a cold server; 0: no limit.
	ColdFlowsPerSecond Field[float64]
	// Warmup is how long a server stays cold, 0 if WarmupStated is false.
	Warmup       Field[time.Duration]
	WarmupStated bool
}

// checker collects the findings about one configuration.
type checker struct {
	Config
	findings finding.List
}

// Check returns the errors and warnings of a configuration alone.
func Check(c Config) finding.List {
	x := &checker{Config: c}
	x.findings.Add(finding.Error, c.Faults...)
	if len(c.Faults) == 0 {
		x.routes()
		x.services()
	}
	return x.findings
}

// require adds a finding about a field unless ok.
func (c *checker) require(ok bool, s finding.Severity, path, format string, args ...any) {
	if !ok {
		c.findings.Add(s, c.Lines.Fault(path, format, args...))
	}
}

func (c *checker) routes() {
	addresses := make(map[netip.AddrPort]string)
	names := make(map[string]bool)
	for _, r := range c.Routes {
		owner, taken := addresses[r.Address.Value]
		c.require(!taken, finding.Error, r.Address.Path, "%s is the address of route %q, too: only one of them can match", r.Address.Value, owner)
		addresses[r.Address.Value] = r.Name.Value
		c.require(!names[r.Name.Value], finding.Error, r.Name.Path, "%q is the name of another route, too", r.Name.Value)
		names[r.Name.Value] = true
		c.route(r)
	}
}

func (c *checker) route(r Route) {
	a := r.Address.Value
	c.require(a.Addr().Is4() && a.Port() != 0, finding.Error, r.Address.Path, "%s is not an IPv4 address with a port", a)
	c.require(r.KnownKind, finding.Warning, r.Kind.Path, "unknown kind %q: its requests may run twice", r.Kind.Value)
	c.require(r.Priority.Value >= 0 && r.Priority.Value <= 255, finding.Error, r.Priority.Path, "%d, want 0 to 255", r.Priority.Value)
	objective, timeout, idle := r.Objective.Value, r.Timeout.Value, c.IdleTimeout.Value
	c.require(objective >= 0, finding.Error, r.Objective.Path, "%v is negative", objective)
	c.require(timeout >= 0, finding.Error, r.Timeout.Path, "%v is negative", timeout)
	c.require(timeout <= 0 || objective <= timeout, finding.Error, r.Objective.Path, "objective of %v is above the timeout of %v", objective, timeout)
	c.require(idle <= 0 || timeout <= idle, finding.Error, r.Timeout.Path, "timeout of %v is above the idle timeout of flows, %v", timeout, idle)
	c.shares(r)
}

func (c *checker) shares(r Route) {
	defined := lo.SliceToMap(c.Services, func(s Service) (string, bool) { return s.Name.Value, true })
	total := lo.SumBy(r.Shares, func(s Share) float64 { return max(s.Weight.Value, 0) })
	c.require(total > 0, finding.Error, r.Shares[0].Weight.Path, "no share of the route has a weight above 0")
	seen := make(map[string]bool)
	for _, s := range r.Shares {
		name, weight := s.Service.Value, s.Weight.Value
		c.require(len(defined) == 0 || defined[name] || name == "", finding.Error, s.Service.Path, "service %q is not defined", name)
		c.require(name != "", finding.Error, s.Service.Path, "missing")
		c.require(!seen[name], finding.Warning, s.Service.Path, "service %q has several shares", name)
		c.require(weight >= 0, finding.Error, s.Weight.Path, "%g is negative", weight)
		c.require(weight != 0 || total <= 0, finding.Warning, s.Weight.Path, "0: the share gets no flows")
		seen[name] = true
	}
}

func (c *checker) services() {
	c.require(len(c.Services) > 0, finding.Warning, "(services)", "no services are defined: those of the routes are not checked")
	seen := make(map[string]bool)
	for _, s := range c.Services {
		limit := s.ColdFlowsPerSecond
		c.require(!seen[s.Name.Value], finding.Error, s.Name.Path, "service %q is defined twice", s.Name.Value)
		c.require(limit.Value >= 0, finding.Error, limit.Path, "%g is negative", limit.Value)
		c.require(limit.Value <= 0 || s.Warmup.Value > 0 || !s.WarmupStated, finding.Error, limit.Path, "limit for cold servers, but the warm-up time is %v", s.Warmup.Value)
		c.require(limit.Value <= 0 || s.WarmupStated, finding.Warning, limit.Path, "limit for cold servers without a warm-up time: it applies only to servers that state one")
		seen[s.Name.Value] = true
	}
}
