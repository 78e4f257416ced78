package packetagent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// newFlow returns the SYN of the nth flow, which the agent must take or refuse. number is
// 0 for the first SYN, and counts its copies.
func newFlow(n int, number uint32) []byte {
	e := steer.Envelope{
		Kind: steer.Forward, MustAdmit: true, Balancer: balancer, Best: steer.NoBest,
		Class: steer.Class{TargetMillis: 100, TimeoutMillis: 1000},
	}
	e.Append(steer.Candidate{Agent: relay, Slots: 2})
	raw := make([]byte, e.Len())
	e.Put(raw)
	return append(raw, standin.EncodePacket(packet.Packet{
		SourceIP: [4]byte{100, 64, 0, 1}, SourcePort: uint16(n), Syn: true, Seq: 1, AckSeq: number,
	})...)
}

// TestRefusalInOverload checks that a flow that cannot be served in time is refused
// immediately, but that a copy of a SYN is not: the first SYN may have opened the flow at
// another server.
func TestRefusalInOverload(t *testing.T) {
	a := newBenchAgent()
	var resets int
	a.transport.SendFleetDatagram = func(_ []byte, to netip.AddrPort) error {
		if to.Addr() == netip.AddrFrom4([4]byte{100, 64, 0, 1}) {
			resets++
		}
		return nil
	}
	a.service.Observe(time.Second, 1, 2)
	for n := range 10 {
		a.open(n)
	}
	a.HandleFleetDatagram(newFlow(1000, 1), balancer)
	if resets != 0 || a.counts.Refused.Load() != 0 {
		t.Errorf("%d resets of a copy, want none", resets)
	}
	a.HandleFleetDatagram(newFlow(1000, 0), balancer)
	if resets != 1 || a.counts.Refused.Load() != 1 {
		t.Errorf("%d resets of the first SYN, want 1", resets)
	}
}

// TestBouncedCopy checks that the flow stays in the table when the server bounces a late
// copy of the SYN that opened it.
func TestBouncedCopy(t *testing.T) {
	a := newBenchAgent()
	a.open(1)
	a.HandleServerPacket(standin.EncodePacket(packet.Packet{
		SourceIP: [4]byte{100, 64, 0, 0}, SourcePort: 1, Syn: true, Bounced: true, Seq: 1, AckSeq: 1,
	}))
	if a.Flows() != 1 {
		t.Errorf("%d flows, want 1", a.Flows())
	}
}

// sendRequest sends a request with a response-time objective of 100 ms on the nth flow,
// which must be open.
func (a *Agent) sendRequest(n int) {
	p := packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("GET / HTTP/1.1\r\n\r\n")}
	p.SourceIP, p.SourcePort = [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, uint16(n)
	e := steer.Envelope{
		Kind: steer.Forward, Cached: true, Balancer: balancer, Best: steer.NoBest,
		Class: steer.Class{TargetMillis: 100, TimeoutMillis: 1000},
	}
	e.Append(steer.Candidate{Agent: relay, Slots: 2})
	raw := make([]byte, e.Len())
	e.Put(raw)
	a.HandleFleetDatagram(append(raw, standin.EncodePacket(p)...), balancer)
}

// TestLateBacklogAfterPowerLoss checks that held requests which are past their objective
// do not count as load of an agent; they are delivered only when no timely request waits.
// Otherwise new flows would go to other servers, and would be refused here.
func TestLateBacklogAfterPowerLoss(t *testing.T) {
	a := newBenchAgent()
	a.service.Observe(30*time.Millisecond, 1, 2)
	const requests = 40
	for n := range requests {
		a.open(n)
		a.sendRequest(n)
	}
	running := a.slotCount() + extraRequests
	if got := int(a.Load().Outstanding); got != requests {
		t.Errorf("%d requests outstanding at first, want all %d", got, requests)
	}
	time.Sleep(expectedTimeout)
	if got := int(a.Load().Outstanding); got != running {
		t.Errorf("%d requests outstanding when the others are late, want the %d that run", got, running)
	}
}

// TestLowPriorityInOverload guards against flows of low priority that take the server's time from
// others although they can only be answered late, and against refusals of copies and of open flows.
func TestLowPriorityInOverload(t *testing.T) {
	a := newBenchAgent()
	var resets int
	a.transport.SendFleetDatagram = func(_ []byte, to netip.AddrPort) error {
		if to.Addr() == netip.AddrFrom4([4]byte{100, 64, 0, 1}) {
			resets++
		}
		return nil
	}
	a.service.Observe(30*time.Millisecond, 1, 2)
	for n := range 10 {
		a.open(n)
	}
	low := func(n int, number uint32) []byte {
		raw := newFlow(n, number)
		raw[5] = 2 // The offset of the priority in an envelope.
		return raw
	}
	a.HandleFleetDatagram(low(999, 0), balancer) // The share that the kind keeps.
	a.HandleFleetDatagram(low(1000, 1), balancer)
	if shed := a.counts.ShedPriority.Load(); shed != 1 || resets != 0 {
		t.Errorf("%d flows shed and %d resets after a copy, want 1 and 0", shed, resets)
	}
	a.HandleFleetDatagram(low(1001, 0), balancer)
	a.HandleFleetDatagram(low(1002, 0), balancer)
	if shed, retries := a.counts.ShedPriority.Load(), a.counts.ShedRetry.Load(); shed != 2 || retries != 1 || resets != 2 {
		t.Errorf("%d flows and %d retries shed, %d resets, want 2, 1 and 2", shed, retries, resets)
	}
	a.HandleFleetDatagram(newFlow(1003, 0), balancer)
	if admitted := a.counts.Admitted.Load(); admitted != 12 || a.Flows() != 12 {
		t.Errorf("%d flows admitted and %d in the table, want 12", admitted, a.Flows())
	}
}
