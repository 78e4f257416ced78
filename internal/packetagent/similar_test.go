package packetagent

import (
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// answered returns a packet of the server to the caller of the nth flow.
func answered(n int, p packet.Packet) []byte {
	p.DestinationIP, p.DestinationPort = [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, uint16(n)
	return standin.EncodePacket(p)
}

// TestLeaveRightAfterAdmission checks that an agent which has to leave immediately after it
// admitted a flow waits for the request on it.
func TestLeaveRightAfterAdmission(t *testing.T) {
	a := newBenchAgent()
	clock := clockwork.NewFakeClock()
	a.config.Clock = clock
	a.HandleFleetDatagram(newFlow(1, 0), balancer)
	a.Leave()
	if a.PendingRequests() == 0 {
		t.Error("an agent that has just admitted a flow is not busy")
	}
	clock.Advance(2 * expectedTimeout)
	if n := a.PendingRequests(); n != 0 {
		t.Errorf("%d requests are expected on a flow without packets for twice the timeout", n)
	}
}

// TestPortUsedAgain checks that late packets of a flow that has ended are not taken for
// packets of a new flow of the same port: the server of the new flow never receives them,
// and its answers do not count as answers to the request of the former flow.
func TestPortUsedAgain(t *testing.T) {
	a := newBenchAgent()
	var toServer, returned int
	a.transport.SendToServer = func([]byte) error { toServer++; return nil }
	a.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
		if kind, ok := steer.KindOf(raw); ok && kind == steer.Return {
			returned++
		}
		return nil
	}
	const n = 1
	a.open(n)
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("GET / HTTP/1.1\r\n\r\n")}), balancer)
	a.HandleServerPacket(answered(n, packet.Packet{Ack: true, Fin: true, Seq: 501, AckSeq: 20, Data: []byte("HTTP/1.1 200 OK\r\n\r\n")}))
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Ack: true, Fin: true, Seq: 20, AckSeq: 521}), balancer)
	if got := a.counts.Answered.Load(); got != 1 {
		t.Fatalf("%d answers, want 1", got)
	}

	const first = 9_000_000
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Syn: true, Seq: first}), balancer)
	a.HandleServerPacket(answered(n, packet.Packet{Syn: true, Ack: true, Seq: 7_000_000, AckSeq: first + 1}))
	before := toServer
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("GET / HTTP/1.1\r\n\r\n")}), balancer)
	if toServer != before || returned != 1 {
		t.Errorf("a late request of the former flow: %d packets to the server, %d returned; want 0 and 1", toServer-before, returned)
	}
	if a.PendingRequests() > 1 || a.counts.Answered.Load() != 1 {
		t.Errorf("%d requests and %d answers after a late request", a.PendingRequests(), a.counts.Answered.Load())
	}
}

// TestNothingEndsAnAnswer checks that an agent never sends the end of an answer that its
// server did not complete: callers receive the unchanged packets of the server, and resets.
func TestNothingEndsAnAnswer(t *testing.T) {
	a := newBenchAgent()
	codec := platform.PacketCodec()
	var ended bool
	a.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error {
		if p, ok := codec.Parse(raw); ok && to.Addr() != balancer.Addr() {
			ended = ended || p.Fin
		}
		return nil
	}
	const n = 3
	a.open(n)
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("GET / HTTP/1.1\r\n\r\n")}), balancer)
	a.HandleServerPacket(answered(n, packet.Packet{Ack: true, Seq: 501, AckSeq: 20, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf")}))
	bounced := packet.Packet{
		SourceIP: [4]byte{100, 64, 0, 0}, SourcePort: n, Ack: true, Bounced: true, Seq: 20, AckSeq: 540,
	}
	a.HandleServerPacket(standin.EncodePacket(bounced))
	a.Leave()
	a.Maintain()
	if ended {
		t.Error("a caller received the end of an answer that its server did not send")
	}
}

// TestSlowServerKeepsItsRequests checks that a request at a server that is only slow is
// neither delivered to another server nor reported as failed: it only stops counting as load.
func TestSlowServerKeepsItsRequests(t *testing.T) {
	a := newBenchAgent()
	clock := clockwork.NewFakeClock()
	a.config.Clock = clock
	sent := 0
	a.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error {
		if to.Addr() != balancer.Addr() {
			sent++
		}
		return nil
	}
	const n = 4
	a.open(n)
	sent = 0
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("POST / HTTP/1.1\r\n\r\n")}), balancer)
	for range 100 {
		clock.Advance(MaintainInterval)
		a.Maintain()
	}
	if sent != 0 {
		t.Errorf("%d packets to the caller or to others while its server processes the request, want 0", sent)
	}
	a.HandleServerPacket(answered(n, packet.Packet{Ack: true, Seq: 501, AckSeq: 21, Data: []byte("HTTP/1.1 200 OK\r\n\r\n")}))
	if sent != 1 {
		t.Errorf("%d packets to the caller after 5 s, want the late answer", sent)
	}
}
