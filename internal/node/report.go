package node

import (
	"fmt"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/status"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Report returns the status report of the process.
func (n *Node) Report() status.Report {
	r := status.Report{
		Name:     n.config.Common.Name,
		Role:     n.config.Role,
		Zone:     n.config.Common.Zone,
		State:    n.config.State(),
		Started:  n.started,
		Members:  n.memberReport(),
		Counters: n.config.Counters(),
	}
	r.Sections, r.Overlaps = n.sectionReports()
	r.Refused = lo.Map(n.Ledger.Refusals(), func(x ledger.Refusal, _ int) status.Refused {
		return status.Refused{Key: x.Entry.Key, Revision: x.Entry.Revision, Since: x.Since, Faults: x.Faults}
	})
	return r
}

func (n *Node) sectionReports() ([]status.Section, []status.Overlap) {
	var sections []status.Section
	var overlaps []status.Overlap
	owners := make(map[netip.AddrPort]string)
	for _, in := range n.Ledger.List(entry.SectionPrefix) {
		s := in.Value.Section
		sections = append(sections, status.Section{
			Service:   s.Service,
			Owner:     s.Owner,
			Revision:  s.Revision,
			Hash:      fmt.Sprintf("%016x", in.Entry.Ref().Hash),
			Since:     in.Since,
			Endpoints: len(s.Endpoints),
		})
		for _, a := range s.Addresses {
			if used, ok := owners[a]; ok {
				overlaps = append(overlaps, status.Overlap{Address: a.String(), Used: used, Ignored: s.Service})
				continue
			}
			owners[a] = s.Service
		}
	}
	return sections, overlaps
}

func (n *Node) memberReport() status.Members {
	counts := n.Ledger.Counts()
	m := status.Members{
		Neighbours:    n.Members.Connected(),
		SentBytes:     n.Server.Traffic().Sent.Load(),
		ReceivedBytes: n.Server.Traffic().Received.Load(),
		Conflicts:     counts.Conflicts,
		Lowered:       counts.Lowered,
	}
	n.mu.Lock()
	m.Reader = n.reading
	n.mu.Unlock()
	for _, in := range n.Ledger.List(entry.VMPrefix) {
		switch in.Value.VM.State {
		case vm.Live:
			m.Live++
		case vm.Leaving:
			m.Leaving++
		case vm.Gone:
			m.Gone++
		}
	}
	return m
}

func (n *Node) registerMetrics() {
	counter := func(name, help string, value func() float64) {
		n.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bergamotgw_" + name, Help: help}, value))
	}
	traffic := n.Server.Traffic()
	counter("control_sent_bytes_total", "Bytes of control traffic sent, without TCP and IP headers.", func() float64 { return float64(traffic.Sent.Load()) })
	counter("control_received_bytes_total", "Bytes of control traffic received, without TCP and IP headers.", func() float64 { return float64(traffic.Received.Load()) })
	counter("conflicts_total", "Offers with the revision in force but another text.", func() float64 { return float64(n.Ledger.Counts().Conflicts) })
	counter("lowered_total", "Offers with a revision lower than the one in force.", func() float64 { return float64(n.Ledger.Counts().Lowered) })
	n.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bergamotgw_neighbours", Help: "Connected neighbours."},
		func() float64 { return float64(n.Members.Connected()) }))
	n.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bergamotgw_refused_entries", Help: "Entries whose latest revision is refused."},
		func() float64 { return float64(len(n.Ledger.Refusals())) }))
}
