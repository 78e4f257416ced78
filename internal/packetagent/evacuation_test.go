package packetagent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// otherAgent is the agent of a zone that is not evacuated.
var otherAgent = netip.MustParseAddrPort("127.0.0.3:1")

// serverAddr stands for the server as a receiver.
var serverAddr = netip.MustParseAddr("127.0.0.4")

// newRecordedAgent returns an agent, its clock, and the kinds of datagrams that it has sent by
// receiver; the kind of packets for callers and the server is 0.
func newRecordedAgent() (*Agent, *clockwork.FakeClock, map[netip.Addr][]steer.Kind) {
	a, clock, sent := newBenchAgent(), clockwork.NewFakeClock(), make(map[netip.Addr][]steer.Kind)
	a.config.Clock = clock
	a.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error {
		kind, _ := steer.KindOf(raw)
		sent[to.Addr()] = append(sent[to.Addr()], kind)
		return nil
	}
	a.transport.SendToServer = func([]byte) error {
		sent[serverAddr] = append(sent[serverAddr], 0)
		return nil
	}
	return a, clock, sent
}

// ping passes the ping of a balancer to the agent.
func (a *Agent) ping(evacuated bool, epoch, revision uint64) {
	var b [steer.PingLen]byte
	steer.PutPing(b[:], steer.Notice{EvacuationsKnown: true, Evacuated: evacuated, EvacuationsAt: position.Position{Epoch: epoch, Revision: revision}})
	a.HandleFleetDatagram(b[:], balancer)
}

// offered returns a copy of the SYN of the nth flow, offered to this agent and to others, of which
// best has declined it with the shortest delay.
func offered(n int, number uint32, mustAdmit bool, best uint8, candidates ...netip.AddrPort) []byte {
	e := steer.Envelope{Kind: steer.Forward, MustAdmit: mustAdmit, Balancer: balancer, Best: best}
	for _, c := range candidates {
		e.Append(steer.Candidate{Agent: c, Slots: 2})
		if c == relay {
			e.Hop = e.Count - 1
		}
	}
	raw := make([]byte, e.Len())
	e.Put(raw)
	return append(raw, standin.EncodePacket(packet.Packet{SourceIP: [4]byte{100, 64}, SourcePort: uint16(n), Syn: true, Seq: 1, AckSeq: number})...)
}

// TestSynInEvacuatedZone guards against an opening packet that reaches the server of an evacuated
// zone, whatever an older balancer demands, against one that is lost although another agent can
// take it, and against a reset of a flow that an earlier copy may have opened.
func TestSynInEvacuatedZone(t *testing.T) {
	a, _, sent := newRecordedAgent()
	caller := netip.AddrFrom4([4]byte{100, 64})
	a.open(1)
	a.HandleFleetDatagram(offered(2, 0, false, steer.NoBest, relay), balancer)
	a.ping(true, 1, 7)
	for _, c := range []struct {
		name     string
		syn      []byte
		receiver netip.Addr
		kind     steer.Kind
	}{
		{"nextCandidate", offered(3, 0, false, steer.NoBest, relay, otherAgent), otherAgent.Addr(), steer.Forward},
		{"bestCandidate", offered(3, 0, false, 0, otherAgent, relay), otherAgent.Addr(), steer.Forward},
		{"noCandidate", offered(3, 0, false, steer.NoBest, relay), caller, 0},
		{"mustAdmit", offered(3, 0, true, 0, relay, otherAgent), caller, 0},
		{"copy", offered(3, 1, true, 0, relay), balancer.Addr(), steer.NotFound},
		{"openingFlow", offered(2, 0, false, steer.NoBest, relay), balancer.Addr(), steer.NotFound},
		{"copyOfOpenFlow", forwarded(1, packet.Packet{Syn: true, Seq: 1, AckSeq: 1}), serverAddr, 0},
	} {
		clear(sent)
		a.HandleFleetDatagram([]byte{c.syn[0], byte(steer.Ping)}, balancer)
		a.HandleFleetDatagram(c.syn, balancer)
		got := sent[c.receiver]
		if len(got) == 0 || got[len(got)-1] != c.kind || (len(sent[serverAddr]) > 0) != (c.receiver == serverAddr) {
			t.Errorf("%s: sent %v", c.name, sent)
		}
	}
	if got := a.counts.Evacuated.Load(); got != 6 {
		t.Errorf("%d SYNs passed on, want 6", got)
	}
}

// TestStatementsOfBalancers guards against an agent that follows a balancer which has missed a
// change, and against one that admits flows because the store lost the request in a backup.
func TestStatementsOfBalancers(t *testing.T) {
	a, clock, _ := newRecordedAgent()
	for _, c := range []struct {
		name            string
		evacuated       bool
		epoch, revision uint64
		after           time.Duration
		want            bool
	}{
		{"request", true, 1, 7, 0, true},
		{"partitionedBalancer", false, 1, 6, 0, true},
		{"removal", false, 1, 8, 0, false},
		{"balancerThatMissedTheRemoval", true, 1, 7, 0, false},
		{"requestAgain", true, 1, 9, 0, true},
		{"lostByBackup", false, 2, 3, 0, true},
		{"retained", false, 2, 4, 2 * time.Second, true},
		{"notRepeated", false, 2, 5, time.Second, false},
	} {
		clock.Advance(c.after)
		a.ping(c.evacuated, c.epoch, c.revision)
		if got := a.evacuated(clock.Now()); got != c.want {
			t.Errorf("%s: evacuated %t, want %t", c.name, got, c.want)
		}
	}
}
