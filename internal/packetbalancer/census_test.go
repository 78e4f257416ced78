package packetbalancer

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// searchFleet is a fleet of agents that answer at once, without network.
type searchFleet struct {
	balancer *Balancer
	clock    *clockwork.FakeClock
	// holder holds every flow; unset if none does. unsure agents can only ask their server.
	holder netip.AddrPort
	unsure map[netip.AddrPort]bool
	// passed counts the agents that a packet went to, queries and bytes what the balancer
	// sent besides, resets what callers got.
	passed, queries, bytes, resets int
	delivered                      bool
}

func newSearchFleet(agents int) (*searchFleet, []netip.AddrPort) {
	b, clock, _ := newZonedBalancer(agents)
	f := &searchFleet{balancer: b, clock: clock, unsure: make(map[netip.AddrPort]bool)}
	b.wire.ToFleet = func(raw []byte, to netip.AddrPort) error { f.receive(raw, to); return nil }
	b.wire.ToCaller = func([]byte, netip.AddrPort) error { f.resets++; return nil }
	var all []netip.AddrPort
	for _, s := range b.config.Catalog().Servers.List {
		all = append(all, netip.AddrPortFrom(s.Address, b.config.AgentPort))
	}
	return f, all
}

// receive plays the agents: a packet passes along its candidates to the holder.
func (f *searchFleet) receive(raw []byte, to netip.AddrPort) {
	if id, flows, ok := steer.ParseQuery(raw); ok {
		f.queries++
		f.bytes += len(raw)
		holdings := make([]steer.Holding, len(flows))
		for i := range holdings {
			switch {
			case to == f.holder && !f.unsure[to]:
				holdings[i] = steer.Held
			case f.unsure[to]:
				holdings[i] = steer.Unsure
			}
		}
		var answer [steer.AnswerMaxLen]byte
		f.balancer.handleAnswer(answer[:steer.PutAnswer(answer[:], id, holdings)], to)
		return
	}
	var e steer.Envelope
	rest, ok := e.Parse(raw)
	if !ok {
		return
	}
	for i := range e.Count {
		f.passed++
		if e.Candidates[i].Agent == f.holder {
			f.delivered = true
			return
		}
	}
	switch {
	case e.More && !e.Aside:
		e.Kind = steer.Return
		returned := make([]byte, e.Len(), e.Len()+len(rest))
		e.Put(returned)
		f.balancer.handleReturn(append(returned, rest...), e.Candidates[e.Count-1].Agent)
	default:
		p, _ := f.balancer.config.Codec.Parse(rest)
		var lost [steer.LostLen]byte
		steer.LostNotice{Flow: p.SentFlow(), Complete: e.Complete, Searched: !e.Aside, Attempt: e.Attempt, List: e.List}.Put(lost[:])
		f.balancer.handleLost(lost[:])
		if e.Complete {
			f.resets++
		}
	}
}

// TestSearchAtScale searches for flows among 109 and 1,000 servers: held by any of them,
// by none, and by one whose agent has just started.
func TestSearchAtScale(t *testing.T) {
	for _, servers := range []int{109, 1000} {
		const flows = 40
		passed := 0
		for n := range flows {
			f, agents := newSearchFleet(servers)
			f.holder = agents[n*servers/flows]
			f.unsure[f.holder] = n%4 == 0
			_, raw := flowPacket(n, 100)
			f.balancer.FromCaller(raw)
			if !f.delivered || f.resets > 0 {
				t.Errorf("%d servers: delivered %t, %d resets", servers, f.delivered, f.resets)
			}
			passed += f.passed
		}
		if mean, most := passed/flows, 2*ranked+2; mean > most {
			t.Errorf("%d servers: a packet passed %d agents on average, want at most %d", servers, mean, most)
		}
		f, _ := newSearchFleet(servers)
		_, raw := flowPacket(1, 100)
		f.balancer.FromCaller(raw)
		if f.resets != 1 || f.queries != servers {
			t.Errorf("%d servers: %d resets of a flow that nobody holds, %d queries; want 1 and one for each server", servers, f.resets, f.queries)
		}
	}
}

// ranked is how many agents a flow is offered to.
const ranked = 8

// TestSearchAfterRotationChange searches for flows that another balancer of the zone has
// placed: a packet passes few agents, whatever the number of servers, also when every
// fifth server has joined since.
func TestSearchAfterRotationChange(t *testing.T) {
	for _, servers := range []int{109, 1000} {
		const flows, most = 200, 4
		passed := 0
		for n := range flows {
			placing, agents := newSearchFleet(servers)
			f, _ := newSearchFleet(servers * 5 / 4)
			placing.balancer.wire.ToFleet = func(_ []byte, to netip.AddrPort) error { f.holder = to; return nil }
			flow, raw := flowPacket(n, 100)
			placing.balancer.FromCaller(standin.PutPacket(packet.Packet{
				SourceIP: flow.CallerIP, SourcePort: flow.CallerPort, DestinationIP: flow.ServiceIP, DestinationPort: flow.ServicePort, Syn: true,
			}))
			if !slices.Contains(agents, f.holder) {
				t.Fatalf("flow %d placed at %v", n, f.holder)
			}
			f.balancer.FromCaller(raw)
			if !f.delivered {
				t.Errorf("%d servers: flow %d was not found", servers, n)
			}
			passed += f.passed
		}
		if mean := float64(passed) / flows; mean > most {
			t.Errorf("%d servers: a packet passed %.1f agents on average, want at most %d", servers, mean, most)
		}
	}
}

// TestFlowsLostTogether searches for many flows that a lost server held: they share
// queries, so that each costs some bytes at each agent and not a packet.
func TestFlowsLostTogether(t *testing.T) {
	const servers, flows = 109, 64
	f, _ := newSearchFleet(servers)
	for n := range flows {
		_, raw := flowPacket(n, 1000)
		f.balancer.FromCaller(raw)
	}
	f.balancer.tendInquiries(f.balancer.config.Clock.Now())
	if f.resets != flows {
		t.Errorf("%d resets of %d flows that nobody holds", f.resets, flows)
	}
	if most := 3 * servers; f.queries > most {
		t.Errorf("%d queries, want at most %d", f.queries, most)
	}
	if each := f.bytes / flows / servers; each > 32 {
		t.Errorf("%d bytes for each flow and agent, want at most 32", each)
	}
}

// TestUnsureAgents checks that a flow which no agent holds is reset only when the servers
// of those that could not tell have bounced it.
func TestUnsureAgents(t *testing.T) {
	f, agents := newSearchFleet(109)
	for _, a := range agents[:70] {
		f.unsure[a] = true
	}
	_, raw := flowPacket(1, 100)
	f.balancer.FromCaller(raw)
	if f.resets != 1 || f.queries != len(agents) {
		t.Errorf("%d resets, %d queries, want 1 and %d", f.resets, f.queries, len(agents))
	}
}

// TestSearchIsRepeated checks that the balancer does not wait for a caller to repeat its
// packet when a former search could prove nothing, and shows no packet to servers then.
func TestSearchIsRepeated(t *testing.T) {
	f, agents := newSearchFleet(109)
	whole := false
	f.balancer.config.Corroborated = func() bool { return whole }
	_, raw := flowPacket(1, 100)
	f.balancer.FromCaller(raw)
	if f.resets != 0 || f.queries != len(agents) {
		t.Fatalf("%d resets, %d queries; want none while servers may not be listed, and %d", f.resets, f.queries, len(agents))
	}
	f.clock.Advance(repeatPause)
	f.balancer.tendInquiries(f.clock.Now())
	if f.resets != 0 || f.queries != len(agents) {
		t.Errorf("%d resets, %d queries while a search can prove nothing", f.resets, f.queries)
	}
	whole = true
	f.balancer.tendInquiries(f.clock.Now())
	if f.resets != 1 || f.queries != 2*len(agents) {
		t.Errorf("%d resets, %d queries when it can, want 1 and %d", f.resets, f.queries, 2*len(agents))
	}

	f, agents = newSearchFleet(109)
	f.unsure[agents[3]] = true
	whole = false
	f.balancer.config.Corroborated = func() bool { return whole }
	f.balancer.FromCaller(raw)
	passed := f.passed
	whole = true
	f.clock.Advance(repeatPause)
	f.balancer.tendInquiries(f.clock.Now())
	if f.resets != 0 || f.passed != passed {
		t.Errorf("%d resets, %d packets to agents in a repeated search that an agent could not answer, want none", f.resets, f.passed-passed)
	}
}

// TestSilentAgentHidesFlow checks that no flow is reset while an agent that does not
// answer may hold it.
func TestSilentAgentHidesFlow(t *testing.T) {
	f, agents := newSearchFleet(109)
	now := f.balancer.config.Clock.Now()
	f.balancer.mu.Lock()
	f.balancer.selection.RecordPing(agents[77], now.Add(-answerTime))
	f.balancer.mu.Unlock()
	_, raw := flowPacket(1, 100)
	f.balancer.FromCaller(raw)
	if f.resets != 0 {
		t.Errorf("%d resets", f.resets)
	}
	var report [steer.ReportLen]byte
	steer.PutReport(report[:], steer.Load{}, packet.Flow{})
	f.balancer.handleReport(report[:], agents[77])
	f.balancer.FromCaller(raw)
	if f.resets != 1 {
		t.Errorf("%d resets after the agent has answered, want 1", f.resets)
	}
}
