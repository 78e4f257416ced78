package packetbalancer

import (
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// recordOutcome records which agent has admitted a flow, and whether that is the one to which the
// flow was first offered; admitted is the zero value if none has. From this the rate of new flows to
// cold servers is estimated.
func (b *Balancer) recordOutcome(flow packet.Flow, admitted netip.AddrPort) {
	if len(b.config.Catalog().Routes.ColdFlowsPerSecond) == 0 {
		return
	}
	entry, ok := b.cache.Get(flow)
	if !ok || !entry.agent.IsValid() {
		return
	}
	b.mu.Lock()
	limited := b.selection.RecordOutcome(entry.agent, entry.agent == admitted, b.config.Clock.Now())
	b.mu.Unlock()
	switch {
	case !limited:
	case entry.agent == admitted:
		b.counts.ColdAdmitted.Add(1)
	default:
		b.counts.ColdPassedOn.Add(1)
	}
}
