// Package packetsettings reads and checks the settings of the processes that
// carry packet flows.
package packetsettings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
)

// Common are the settings that every process has.
type Common struct {
	// Name is the name of the VM.
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Ready is the TCP address of the readiness probe.
	Ready netip.AddrPort `json:"ready"`
	// Metrics is the TCP address of metrics; empty if they are not served.
	Metrics string `json:"metrics,omitempty"`
	// MaxFlowSeconds is the age after which a flow may be forgotten.
	MaxFlowSeconds float64 `json:"maxFlowSeconds"`
	// GraceSeconds is the time between SIGTERM and SIGKILL.
	GraceSeconds float64 `json:"graceSeconds"`
	// LogLevel is debug, info, warn or error; empty selects info.
	LogLevel string `json:"logLevel,omitempty"`
}

// MaxFlow returns the age after which a flow may be forgotten.
func (c Common) MaxFlow() time.Duration {
	return seconds(c.MaxFlowSeconds)
}

// Grace returns the time between SIGTERM and SIGKILL.
func (c Common) Grace() time.Duration {
	return seconds(c.GraceSeconds)
}

// Balancer are the settings of a balancer.
type Balancer struct {
	Common
	// Front is the UDP address that takes packets of callers.
	Front netip.AddrPort `json:"front"`
	// Back is the UDP address towards agents and other balancers.
	Back netip.AddrPort `json:"back"`
	// Peer is the TCP address towards other balancers; its port is the same on all.
	Peer netip.AddrPort `json:"peer"`
	// AgentPort is the port at which agents take packets.
	AgentPort uint16 `json:"agentPort"`
	// Seeds are addresses of balancers to ask at the start; they may be down.
	Seeds []netip.AddrPort `json:"seeds"`
	// Platform is the address of the platform's store.
	Platform netip.AddrPort `json:"platform"`
}

// Agent are the settings of an agent.
type Agent struct {
	Common
	// Service is the name of the service of the backend server.
	Service string `json:"service"`
	// Relay is the UDP address towards balancers and other agents.
	Relay netip.AddrPort `json:"relay"`
	// Outbound is the UDP address that takes packets of the backend server.
	Outbound netip.AddrPort `json:"outbound"`
	// Server is the address of the backend server.
	Server netip.AddrPort `json:"server"`
	// RequestIDHeader names the header field with the ID of a request, for logs;
	// empty if there is none.
	RequestIDHeader string `json:"requestIdHeader,omitempty"`
	// Callers is any address with the port at which callers take packets.
	Callers netip.AddrPort `json:"callers"`
}

// Checkable is a settings type that can report its own faults.
type Checkable interface {
	Balancer | Agent
	check(c *checker)
}

// Load reads and checks a settings file. The error lists every fault, one on
// a line.
func Load[T Checkable](path string) (T, error) {
	var none T
	raw, err := os.ReadFile(path)
	if err != nil {
		return none, merry.Prepend(err, "read settings")
	}
	value, faults := Parse[T](raw)
	if len(faults) == 0 {
		return value, nil
	}
	list := lo.Map(faults, func(f fault.Fault, _ int) string { return path + ": " + f.String() })
	return none, merry.New(strings.Join(list, "\n"))
}

// Parse decodes and checks the text of a settings file.
func Parse[T Checkable](raw []byte) (T, []fault.Fault) {
	value, lines, faults := strictjson.Decode[T](raw)
	if len(faults) > 0 {
		return value, faults
	}
	c := &checker{lines: lines}
	value.check(c)
	return value, c.faults
}

// checker collects the faults of one file.
type checker struct {
	lines  strictjson.Lines
	faults []fault.Fault
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, c.lines.Fault(field, format, args...))
	}
}

func (c *checker) address(a netip.AddrPort, field string) {
	c.require(a.IsValid(), field, "missing")
	c.require(!a.IsValid() || a.Addr().Is4() && a.Port() != 0, field, "%s is not an IPv4 address with a port", a)
}

func (c *checker) common(s Common) {
	c.require(s.Name != "", "name", "missing")
	c.require(s.Zone != "", "zone", "missing")
	c.address(s.Ready, "ready")
	c.require(s.MaxFlowSeconds > 0, "maxFlowSeconds", "%v, want more than 0", s.MaxFlowSeconds)
	c.require(s.GraceSeconds > 0, "graceSeconds", "%v, want more than 0", s.GraceSeconds)
	c.require(lo.Contains([]string{"", "debug", "info", "warn", "error"}, s.LogLevel), "logLevel", "%q is not debug, info, warn or error", s.LogLevel)
	if s.Metrics != "" {
		_, err := netip.ParseAddrPort(s.Metrics)
		c.require(err == nil, "metrics", "%q is not an address with a port", s.Metrics)
	}
}

func (s Balancer) check(c *checker) {
	c.common(s.Common)
	c.address(s.Front, "front")
	c.address(s.Back, "back")
	c.address(s.Peer, "peer")
	c.require(s.AgentPort != 0, "agentPort", "missing")
	c.address(s.Platform, "platform")
}

func (s Agent) check(c *checker) {
	c.common(s.Common)
	c.require(s.Service != "", "service", "missing")
	c.address(s.Relay, "relay")
	c.address(s.Outbound, "outbound")
	c.address(s.Server, "server")
	c.address(s.Callers, "callers")
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
