// Package vm defines, decodes and checks the platform's entry of a VM.
package vm

import (
	"fmt"
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
)

// Role is the process of the system that a VM runs.
type Role string

// Roles of VMs.
const (
	Balancer Role = "balancer"
	Agent    Role = "agent"
)

// State is the state of a VM in the platform's list, which changes later than the VM itself.
type State string

// States of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	// Name is unique in the fleet.
	Name string `json:"vm"`
	// Revision increases with every change of the entry and is at least 1.
	Revision uint64 `json:"revision"`
	// Role is Balancer or Agent.
	Role Role `json:"role"`
	// Address is the TCP address at which the VM's process accepts connections of peers.
	Address netip.AddrPort `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// State is Live, Leaving or Gone.
	State State `json:"state"`
}

// Parse decodes and checks the JSON text of an entry.
func Parse(raw []byte) (VM, []fault.Fault) {
	v, lines, faults := strictjson.Decode[VM](raw)
	require := func(ok bool, field, reason string, args ...any) {
		if !ok {
			faults = append(faults, lines.Fault(field, "%s", fmt.Sprintf(reason, args...)))
		}
	}
	if len(faults) > 0 {
		return v, faults
	}
	require(v.Name != "", "vm", "missing")
	require(v.Revision > 0, "revision", "missing or 0, want at least 1")
	require(v.Role == Balancer || v.Role == Agent, "role", "%q is not balancer or agent", string(v.Role))
	require(v.Address.IsValid() && v.Address.Addr().Is4(), "address", "%s is not an IPv4 address with a port", v.Address)
	require(v.State == Live || v.State == Leaving || v.State == Gone, "state", "%q is not live, leaving or gone", string(v.State))
	return v, faults
}
