// Package routes maps service addresses to services and their agents, and ranks the agents
// for a new flow.
package routes

import (
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Table is an immutable routing table, built from all sections.
type Table struct {
	// byAddress holds the route of each service address.
	byAddress map[netip.AddrPort]*route
	ranker    rendezvous.Ranker
	// evacuated counts the endpoints in evacuated zones.
	evacuated int
}

// route holds the agents of one service; the slices have equal length.
type route struct {
	service uint32
	agents  []netip.AddrPort
	hashes  []uint64
	weights []float64
}

// NewTable builds the table from the sections and VM states in force. Agents on VMs
// that are leaving or have stopped, and those in evacuated zones, get no new flows. An address
// that two sections list belongs to the section whose name sorts first.
func NewTable(l *ledger.Ledger, ranker rendezvous.Ranker) *Table {
	t := &Table{byAddress: make(map[netip.AddrPort]*route), ranker: ranker}
	for _, in := range l.List(entry.SectionPrefix) {
		t.add(*in.Value.Section, l)
	}
	return t
}

func (t *Table) add(s section.Section, l *ledger.Ledger) {
	r := &route{service: section.ID(s.Service)}
	t.evacuated += s.Evacuated()
	for _, e := range s.Endpoints {
		weight := e.Weight
		if s.Evacuates(e.Zone) || !available(l, e.VM) {
			weight = 0
		}
		r.agents = append(r.agents, e.Agent)
		r.hashes = append(r.hashes, t.ranker.Hash([]byte(e.Agent.String())))
		r.weights = append(r.weights, weight)
	}
	for _, a := range s.Addresses {
		if _, taken := t.byAddress[a]; !taken {
			t.byAddress[a] = r
		}
	}
}

// available reports whether new flows may go to the VM. That includes VMs that are not in
// the ledger: they may be too new for their entry to have arrived.
func available(l *ledger.Ledger, name string) bool {
	v, ok := l.VM(name)
	return !ok || v.State == vm.Live
}

// Candidates writes the agents for a new flow into list, best first and at most 16, and
// returns the service and the number of agents, 0 if none may get it. It returns false if no
// section lists the address.
func (t *Table) Candidates(address netip.AddrPort, flow []byte, list []netip.AddrPort) (service uint32, n int, ok bool) {
	r := t.byAddress[address]
	if r == nil {
		return 0, 0, false
	}
	var best [16]int
	n = t.ranker.Top(t.ranker.Hash(flow), r.hashes, r.weights, best[:min(len(list), len(best))])
	for i := range n {
		list[i] = r.agents[best[i]]
	}
	return r.service, n, true
}

// Addresses returns the number of service addresses in the table.
func (t *Table) Addresses() int {
	return len(t.byAddress)
}

// Evacuated returns the number of endpoints in evacuated zones.
func (t *Table) Evacuated() int {
	return t.evacuated
}
