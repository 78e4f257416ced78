package packetagent

import (
	"net/netip"
	"syscall"
	"testing"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// TestServerStartsAfterAgent checks that an agent that started before its server, as after
// a power loss, does not deliver packets of unknown flows to the server, which cannot hold
// a flow that is not in the table. An agent that restarted without its server has to query it.
func TestServerStartsAfterAgent(t *testing.T) {
	for _, down := range []bool{false, true} {
		a := newBenchAgent()
		delivered := 0
		a.transport.SendToServer = func([]byte) error { delivered++; return nil }
		if down {
			a.RecordProbe(a.config.Clock.Now(), syscall.ECONNREFUSED)
		}
		a.HandleFleetDatagram(forwarded(7, packet.Packet{Ack: true, Seq: 1, AckSeq: 1, Data: []byte("x")}), balancer)
		if queried := delivered > 0; queried == down {
			t.Errorf("server down at the start %t: query sent %t", down, queried)
		}
		if returned := a.counts.Returned.Load() > 0; returned != down {
			t.Errorf("server down at the start %t: packet returned %t", down, returned)
		}
	}
}

// TestServerIsAskedOnce checks that an agent that has started after its server delivers to
// it only one packet of an unknown flow. After the server has bounced that packet, it can
// hold the flow only if a SYN passes.
func TestServerIsAskedOnce(t *testing.T) {
	a := newBenchAgent()
	delivered := 0
	a.transport.SendToServer = func([]byte) error { delivered++; return nil }
	const n = 7
	late := packet.Packet{Ack: true, Seq: 1, AckSeq: 1, Data: []byte("x")}
	bounced := late
	bounced.SourceIP, bounced.SourcePort, bounced.Bounced = [4]byte{100, 64, 0, 0}, n, true
	a.HandleFleetDatagram(forwarded(n, late), balancer)
	a.HandleServerPacket(standin.EncodePacket(bounced))
	a.HandleFleetDatagram(forwarded(n, late), balancer)
	if delivered != 1 {
		t.Errorf("%d packets to a server that does not hold their flow, want 1", delivered)
	}
	a.open(n)
	before := delivered
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("x")}), balancer)
	if delivered != before+1 {
		t.Error("a packet of a flow that was opened since did not reach the server")
	}
}

// TestFlowOfFormerShare guards against the loss of a flow that was opened when the route selected
// the agent's service for it, and selects another one since: an agent that has restarted must
// not forward its packets as if the server did not hold it.
func TestFlowOfFormerShare(t *testing.T) {
	a := newBenchAgent()
	a.config.Service = 7
	delivered, notFound := 0, 0
	a.transport.SendToServer = func([]byte) error { delivered++; return nil }
	a.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
		if _, ok := steer.ParseNotFound(raw); ok {
			notFound++
		}
		return nil
	}
	e := steer.Envelope{Kind: steer.Forward, Balancer: balancer, Best: steer.NoBest, Service: 8}
	e.Append(steer.Candidate{Agent: relay})
	raw := make([]byte, e.Len())
	e.Put(raw)
	p := packet.Packet{SourceIP: [4]byte{100, 64, 0, 0}, SourcePort: 7, Ack: true, Seq: 1, AckSeq: 1, Data: []byte("x")}
	a.HandleFleetDatagram(append(raw, standin.EncodePacket(p)...), balancer)
	if delivered != 1 || notFound != 0 {
		t.Errorf("%d packets to the server, %d notices that it does not hold the flow, want 1 and none", delivered, notFound)
	}
}

// TestNoticeCompletesTable guards against the denial of open flows after an agent has restarted and
// a ping names an entry of another service at its address, which has started later, and against
// queries to a server that a ping proves to have started after the agent.
func TestNoticeCompletesTable(t *testing.T) {
	for _, own := range []bool{false, true} {
		a := newBenchAgent()
		a.config.Service = 7
		var load steer.Load
		a.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
			load, _, _ = steer.ParseReport(raw)
			return nil
		}
		n := steer.Notice{ServerKnown: true, Service: 8, Born: a.config.Clock.Now().UnixMilli()}
		if own {
			n.Service, n.CommonStart = a.config.Service, true
		}
		var ping [steer.PingLen]byte
		steer.PutPing(ping[:], n)
		a.HandleFleetDatagram(ping[:], balancer)
		if load.TableComplete != own {
			t.Errorf("server of the agent's service %t: reported a complete table %t", own, load.TableComplete)
		}
	}
}
