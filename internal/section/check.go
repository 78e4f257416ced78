package section

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
)

// Limits of a section.
const (
	// MaxBytes is the maximum length of the JSON text of a section, in bytes.
	MaxBytes       = 256 << 10
	maxAddresses   = 64
	maxEndpoints   = 1024
	maxEvacuated   = 64
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxWeight      = 1000
	maxSeconds     = 7 * 24 * 3600
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse decodes and checks the JSON text of a section. The result depends on the text
// alone, so that all processes accept or refuse the same sections. The section is valid
// only if there are no faults.
func Parse(raw []byte) (Section, []fault.Fault) {
	if len(raw) > MaxBytes {
		return Section{}, []fault.Fault{{Line: 1, Field: "(size)", Reason: fmt.Sprintf("%d bytes, at most %d allowed", len(raw), MaxBytes)}}
	}
	s, lines, faults := strictjson.Decode[Section](raw)
	if len(faults) == 0 {
		c := &checker{lines: lines}
		c.section(s)
		faults = c.faults
	}
	for i := range faults {
		faults[i] = faults[i].WithSection(s.Service)
	}
	return s, faults
}

// checker collects the faults of one section.
type checker struct {
	lines  strictjson.Lines
	faults []fault.Fault
}

// require adds a fault for the field unless ok.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, c.lines.Fault(field, format, args...))
	}
}

func (c *checker) section(s Section) {
	c.require(namePattern.MatchString(s.Service), "service", "%q is not a name of lower-case letters, digits and hyphens", s.Service)
	c.require(s.Owner != "", "owner", "missing")
	c.require(s.Revision > 0, "revision", "missing or 0, want at least 1")
	c.addresses(s.Addresses)
	c.kinds(s)
	c.endpoints(s.Endpoints)
	c.evacuate(s.Evacuate)
	c.limits(s.Limits)
}

func (c *checker) addresses(list []netip.AddrPort) {
	c.require(len(list) > 0 && len(list) <= maxAddresses, "addresses", "%d addresses, want 1 to %d", len(list), maxAddresses)
	seen := make(map[netip.AddrPort]bool, len(list))
	for i, a := range list {
		field := fmt.Sprintf("addresses[%d]", i)
		c.require(isIPv4WithPort(a), field, "%s is not an IPv4 address with a port", a)
		c.require(!seen[a], field, "%s is listed twice", a)
		seen[a] = true
	}
}

func (c *checker) kinds(s Section) {
	c.require(len(s.Kinds) > 0, "kinds", "missing, want session, once or repeatable")
	for i, k := range s.Kinds {
		c.require(k.Valid(), fmt.Sprintf("kinds[%d]", i), "%q is not session, once or repeatable", string(k))
	}
}

func (c *checker) endpoints(list []Endpoint) {
	c.require(len(list) <= maxEndpoints, "endpoints", "%d endpoints, at most %d allowed", len(list), maxEndpoints)
	names := make(map[string]bool, len(list))
	agents := make(map[netip.AddrPort]bool, len(list))
	for i, e := range list {
		field := fmt.Sprintf("endpoints[%d]", i)
		c.endpoint(field, e)
		c.require(!names[e.VM], field+".vm", "%q is listed twice", e.VM)
		c.require(!agents[e.Agent], field+".agent", "%s is listed twice", e.Agent)
		names[e.VM], agents[e.Agent] = true, true
	}
}

func (c *checker) endpoint(field string, e Endpoint) {
	c.require(namePattern.MatchString(e.VM), field+".vm", "%q is not a name of lower-case letters, digits and hyphens", e.VM)
	c.require(isIPv4WithPort(e.Agent), field+".agent", "%s is not an IPv4 address with a port", e.Agent)
	c.require(namePattern.MatchString(e.Zone), field+".zone", "%q is not a name of lower-case letters, digits and hyphens", e.Zone)
	c.require(e.Slots >= 1 && e.Slots <= maxSlots, field+".slots", "%d, want 1 to %d", e.Slots, maxSlots)
	c.require(e.Connections >= 1 && e.Connections <= maxConnections, field+".connections", "%d, want 1 to %d", e.Connections, maxConnections)
	c.require(e.Weight >= 0 && e.Weight <= maxWeight, field+".weight", "%g, want 0 to %d", e.Weight, maxWeight)
}

func (c *checker) evacuate(zones []string) {
	c.require(len(zones) <= maxEvacuated, "evacuate", "%d zones, at most %d allowed", len(zones), maxEvacuated)
	seen := make(map[string]bool, len(zones))
	for i, z := range zones {
		field := fmt.Sprintf("evacuate[%d]", i)
		c.require(namePattern.MatchString(z), field, "%q is not a name of lower-case letters, digits and hyphens", z)
		c.require(!seen[z], field, "%q is listed twice", z)
		seen[z] = true
	}
}

func (c *checker) limits(l Limits) {
	c.require(l.QueuePerSlot >= 0 && l.QueuePerSlot <= maxSlots, "limits.queuePerSlot", "%d, want 0 to %d", l.QueuePerSlot, maxSlots)
	c.require(l.GraceSeconds >= 0 && l.GraceSeconds <= maxSeconds, "limits.graceSeconds", "%d, want 0 to %d", l.GraceSeconds, maxSeconds)
}

func isIPv4WithPort(a netip.AddrPort) bool {
	return a.IsValid() && a.Addr().Is4() && a.Port() != 0
}
