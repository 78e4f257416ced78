package packetagent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// offer offers a new flow to the agent, and reports whether the agent admitted it. lastResort
// is whether every other candidate has passed it on.
func (a *Agent) offer(n int, freeSlot, lastResort bool) bool {
	e := steer.Envelope{Kind: steer.Forward, FreeSlot: freeSlot, Balancer: balancer, Best: steer.NoBest}
	other := steer.Candidate{Agent: netip.MustParseAddrPort("10.0.0.9:7001"), Slots: 2}
	self := steer.Candidate{Agent: relay, Slots: 2}
	if lastResort {
		e.Append(other)
		e.Append(self)
		e.Hop, e.Best, e.BestDelayMillis = 1, 0, 1000
	} else {
		e.Append(self)
		e.Append(other)
	}
	raw := make([]byte, e.Len())
	e.Put(raw)
	before := a.counts.Admitted.Load()
	a.HandleFleetDatagram(append(raw, standin.EncodePacket(packet.Packet{
		SourceIP: [4]byte{100, 64, 0, 1}, SourcePort: uint16(n), Syn: true, Seq: 1,
	})...), balancer)
	return a.counts.Admitted.Load() > before
}

// TestFreeSlot checks that an agent without a free slot passes a flow on if its balancer
// demands a free slot, so that the flow does not wait while another server idles; that it
// admits the flow if nobody else would; and that it keeps an extra place for other balancers.
func TestFreeSlot(t *testing.T) {
	a := newBenchAgent()
	a.service.Observe(20*time.Millisecond, 1, 2)
	for n := range 2 {
		if !a.offer(n, true, false) {
			t.Fatalf("flow %d not admitted although a slot is free", n)
		}
	}
	if a.offer(2, true, false) {
		t.Error("a flow admitted without a free slot")
	}
	if !a.offer(3, false, false) {
		t.Error("a flow passed on although the extra place is free")
	}
	if !a.offer(4, true, true) {
		t.Error("a flow not admitted although every candidate has passed it on")
	}
}
