// Package packetsettings reads and validates the settings files of the balancers and agents
// that forward packet flows.
package packetsettings

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/checkedjson"
	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// Common holds the settings that balancers and agents share.
type Common struct {
	// Name is the name of the VM.
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Ready is the TCP address that serves the readiness probe.
	Ready netip.AddrPort `json:"ready"`
	// Metrics is the TCP address that serves metrics; empty if they are not served.
	Metrics string `json:"metrics,omitempty"`
	// MaxFlowSeconds is the age in seconds after which a flow may be removed.
	MaxFlowSeconds float64 `json:"maxFlowSeconds"`
	// GraceSeconds is the time between SIGTERM and SIGKILL, in seconds.
	GraceSeconds float64 `json:"graceSeconds"`
	// ContactMillis is how long a VM must have been undisturbed to count as in contact, in
	// milliseconds; 0 selects 4,000.
	ContactMillis float64 `json:"contactMillis,omitempty"`
	// DrainMillis is the time within which a draining server stops receiving new flows, and
	// ApplyMillis the time within which new routes are in force, in milliseconds. The
	// shortest one of these and EvacuateMillis that is set applies to all; 0 for all selects 3,000.
	DrainMillis float64 `json:"drainMillis,omitempty"`
	ApplyMillis float64 `json:"applyMillis,omitempty"`
	// AddressReuseSeconds is the shortest time, in seconds, after which the address of a
	// removed server may belong to another service; 0 selects 2.
	AddressReuseSeconds float64 `json:"addressReuseSeconds,omitempty"`
	// EvacuateMillis is the time within which the servers of an evacuated availability zone stop
	// receiving new flows, in milliseconds; 0 if the deployment evacuates no zones.
	EvacuateMillis float64 `json:"evacuateMillis,omitempty"`
	// LogLevel is debug, info, warn or error; empty selects info.
	LogLevel string `json:"logLevel,omitempty"`
}

// MaxFlow returns the age after which a flow may be removed.
func (c Common) MaxFlow() time.Duration {
	return seconds(c.MaxFlowSeconds)
}

// Grace returns the time between SIGTERM and SIGKILL.
func (c Common) Grace() time.Duration {
	return seconds(c.GraceSeconds)
}

// Bounds returns the bounds of the deployment, with defaults for those that are not set.
func (c Common) Bounds() bounds.Bounds {
	b := bounds.Default()
	if c.ContactMillis > 0 {
		b.Contact = millis(c.ContactMillis)
	}
	if change := lo.Compact([]float64{c.DrainMillis, c.ApplyMillis, c.EvacuateMillis}); len(change) > 0 {
		b.Change = millis(lo.Min(change))
	}
	if c.AddressReuseSeconds > 0 {
		b.AddressReuse = seconds(c.AddressReuseSeconds)
	}
	return b
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Front is the UDP address that receives packets of callers.
	Front netip.AddrPort `json:"front"`
	// Back is the UDP address towards agents and other balancers.
	Back netip.AddrPort `json:"back"`
	// Peer is the TCP address towards other balancers; its port is the same on all.
	Peer netip.AddrPort `json:"peer"`
	// AgentPort is the UDP port at which agents receive packets.
	AgentPort uint16 `json:"agentPort"`
	// Seeds are the addresses of balancers to contact at the start; they may be down.
	Seeds []netip.AddrPort `json:"seeds"`
	// Platform is the address of the platform's store.
	Platform netip.AddrPort `json:"platform"`
	// Placement is how new flows are placed: PlacementBest or PlacementBalanced; empty selects
	// PlacementBest.
	Placement string `json:"placement,omitempty"`
}

// Ways to place new flows.
const (
	// PlacementBest offers a flow first to the agent with the shortest expected delay.
	PlacementBest = "best"
	// PlacementBalanced compares a few agents that are drawn at random, and makes agents without
	// a free slot pass the flow on.
	PlacementBalanced = "balanced"
)

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Service is the name of the service of the backend server.
	Service string `json:"service"`
	// Relay is the UDP address towards balancers and other agents.
	Relay netip.AddrPort `json:"relay"`
	// Outbound is the UDP address that receives packets of the backend server.
	Outbound netip.AddrPort `json:"outbound"`
	// Server is the address of the backend server.
	Server netip.AddrPort `json:"server"`
	// RequestIDHeader names the header field with the ID of a request, for logs;
	// empty if there is none.
	RequestIDHeader string `json:"requestIdHeader,omitempty"`
	// WarmupOverage and WarmupSlack bound the new flows that a cold server receives in any second:
	// its stated rate times WarmupOverage, plus WarmupSlack. 0 for WarmupOverage selects 1.
	WarmupOverage float64 `json:"warmupOverage,omitempty"`
	WarmupSlack   float64 `json:"warmupSlack,omitempty"`
	// Callers is any address with the port at which callers receive packets.
	Callers netip.AddrPort `json:"callers"`
	// Seeds are peer addresses of balancers, of which only the port is used. With seeds the
	// agent may keep a replica of the balancers' catalog, and serves it over TCP at the
	// relay address. Without seeds it keeps none.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
}

// Checkable is a type of settings that reports its own faults.
type Checkable interface {
	Balancer | Agent
	check(c *checkedjson.Checker)
}

// Load reads and checks the settings file at path. The error lists every fault, one per line.
func Load[T Checkable](path string) (T, error) {
	return checkedjson.Load(path, T.check)
}

// Parse decodes and checks the text of a settings file. It returns every fault found.
func Parse[T Checkable](raw []byte) (T, []fault.Fault) {
	return checkedjson.Parse(raw, T.check)
}

func checkCommon(s Common, c *checkedjson.Checker) {
	c.Text(s.Name, "name")
	c.Text(s.Zone, "zone")
	c.Address(s.Ready, "ready")
	c.Require(s.MaxFlowSeconds > 0, "maxFlowSeconds", "%v, want more than 0", s.MaxFlowSeconds)
	c.Require(s.GraceSeconds > 0, "graceSeconds", "%v, want more than 0", s.GraceSeconds)
	c.Require(lo.Contains([]string{"", "debug", "info", "warn", "error"}, s.LogLevel), "logLevel", "%q is not debug, info, warn or error", s.LogLevel)
	checkBounds(s, c)
	if s.Metrics != "" {
		_, err := netip.ParseAddrPort(s.Metrics)
		c.Require(err == nil, "metrics", "%q is not an address with a port", s.Metrics)
	}
}

func (s Balancer) check(c *checkedjson.Checker) {
	checkCommon(s.Common, c)
	c.Address(s.Front, "front")
	c.Address(s.Back, "back")
	c.Address(s.Peer, "peer")
	c.Require(s.AgentPort != 0, "agentPort", "missing")
	c.Address(s.Platform, "platform")
	c.Require(lo.Contains([]string{"", PlacementBest, PlacementBalanced}, s.Placement), "placement",
		"%q is not %s or %s", s.Placement, PlacementBest, PlacementBalanced)
}

func (s Agent) check(c *checkedjson.Checker) {
	checkCommon(s.Common, c)
	c.Text(s.Service, "service")
	c.Address(s.Relay, "relay")
	c.Address(s.Outbound, "outbound")
	c.Address(s.Server, "server")
	c.Address(s.Callers, "callers")
	c.Require(s.WarmupOverage == 0 || s.WarmupOverage >= 1, "warmupOverage", "%v, want at least 1", s.WarmupOverage)
	c.Require(s.WarmupSlack >= 0, "warmupSlack", "%v, want at least 0", s.WarmupSlack)
}

// checkBounds reports bounds that are too short for the programs to keep, and bounds that
// contradict each other.
func checkBounds(s Common, c *checkedjson.Checker) {
	requireAtLeast := func(value float64, unit, limit time.Duration, field string) {
		d := time.Duration(value * float64(unit))
		c.Require(value == 0 || d >= limit, field, "%v, want at least %v", d, limit)
	}
	requireAtLeast(s.ContactMillis, time.Millisecond, bounds.MinContact, "contactMillis")
	requireAtLeast(s.DrainMillis, time.Millisecond, bounds.MinChange, "drainMillis")
	requireAtLeast(s.ApplyMillis, time.Millisecond, bounds.MinChange, "applyMillis")
	requireAtLeast(s.EvacuateMillis, time.Millisecond, bounds.MinChange, "evacuateMillis")
	requireAtLeast(s.AddressReuseSeconds, time.Second, bounds.MinAddressReuse, "addressReuseSeconds")
	lost := s.Bounds().LostTimeout()
	c.Require(s.MaxFlowSeconds <= 0 || s.MaxFlow() > lost, "maxFlowSeconds",
		"%v, want more than %v, after which silent VMs count as lost (contactMillis)", s.MaxFlow(), lost)
}

func millis(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
