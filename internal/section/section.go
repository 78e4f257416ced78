// Package section defines the section of the operators' document that describes one
// service: its addresses, backend servers and limits.
package section

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Section describes one service. It is immutable once accepted.
type Section struct {
	// Service is the name of the service and of the section.
	Service string `json:"service"`
	// Owner names the team that edits the section.
	Owner string `json:"owner"`
	// Revision increases with every edit and is at least 1.
	Revision uint64 `json:"revision"`
	// Addresses are the service addresses that callers use, IPv4 with port; at least one.
	Addresses []netip.AddrPort `json:"addresses"`
	// Kinds are the kinds of requests that the service accepts; at least one.
	Kinds []request.Kind `json:"kinds"`
	// Endpoints are the backend servers; may be empty. Agents and VMs are unique in it.
	Endpoints []Endpoint `json:"endpoints"`
	// Evacuate are the availability zones whose endpoints accept no new work; unique. A zone
	// without endpoints has no effect.
	Evacuate []string `json:"evacuate,omitempty"`
	// Limits are the limits on the work that agents accept.
	Limits Limits `json:"limits"`
}

// Endpoint is one backend server and the agent beside it.
type Endpoint struct {
	// VM is the name of the backend server VM.
	VM string `json:"vm"`
	// Agent is the address of the agent: UDP for balancers, TCP for peers.
	Agent netip.AddrPort `json:"agent"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Slots is how many requests the backend server runs concurrently; at least 1.
	Slots int `json:"slots"`
	// Connections is how many flows and sessions it holds concurrently; at least 1.
	Connections int `json:"connections"`
	// Weight is the share of new flows relative to other endpoints; 0 receives none.
	Weight float64 `json:"weight"`
}

// Limits are the limits on the work that agents accept.
type Limits struct {
	// QueuePerSlot is how many requests may wait for each slot; 0 selects the default.
	QueuePerSlot int `json:"queuePerSlot,omitempty"`
	// GraceSeconds is how long a leaving agent waits for unfinished work; 0 selects the default.
	GraceSeconds int `json:"graceSeconds,omitempty"`
}

// Defaults of the limits.
const (
	DefaultQueuePerSlot = 8
	DefaultGraceSeconds = 4 * 3600
)

// ID returns the numeric ID of a service: a hash of its name, never 0.
func ID(service string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service))
	return max(h.Sum32(), 1)
}

// Endpoint returns the endpoint whose agent has the given address, and false if there is none.
func (s Section) Endpoint(agent netip.AddrPort) (Endpoint, bool) {
	for _, e := range s.Endpoints {
		if e.Agent == agent {
			return e, true
		}
	}
	return Endpoint{}, false
}

// Evacuates reports whether the endpoints in an availability zone accept no new work.
func (s Section) Evacuates(zone string) bool {
	return slices.Contains(s.Evacuate, zone)
}

// Evacuated returns how many endpoints are in evacuated zones.
func (s Section) Evacuated() int {
	return lo.CountBy(s.Endpoints, func(e Endpoint) bool { return s.Evacuates(e.Zone) })
}

// Accepts reports whether the service accepts requests of the kind.
func (s Section) Accepts(kind request.Kind) bool {
	for _, k := range s.Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// Queue returns how many requests may wait for each slot.
func (l Limits) Queue() int {
	return orDefault(l.QueuePerSlot, DefaultQueuePerSlot)
}

// Grace returns how long a leaving agent waits for unfinished work.
func (l Limits) Grace() time.Duration {
	return time.Duration(orDefault(l.GraceSeconds, DefaultGraceSeconds)) * time.Second
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
