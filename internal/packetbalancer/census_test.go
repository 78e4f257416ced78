package packetbalancer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// searchFleet simulates agents that answer immediately, without a network.
type searchFleet struct {
	balancer *Balancer
	clock    *clockwork.FakeClock
	// holder holds every flow; unset if no agent does. Agents in unknown cannot determine whether
	// their server holds a flow.
	holder  netip.AddrPort
	unknown map[netip.AddrPort]bool
	// loseUnknown drops packets on their way along the agents that answered Unknown, whose list of
	// agents has the version listVersion.
	loseUnknown bool
	listVersion uint16
	// visited counts the agents that received a packet, queries and bytes the queries that the
	// balancer sent, resets the resets to callers.
	visited, queries, bytes, resets int
	delivered                       bool
}

func newSearchFleet(agents int) (*searchFleet, []netip.AddrPort) {
	b, clock, _ := newZonedBalancer(agents)
	f := &searchFleet{balancer: b, clock: clock, unknown: make(map[netip.AddrPort]bool)}
	b.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error { f.receive(raw, to); return nil }
	b.transport.SendToCaller = func([]byte, netip.AddrPort) error { f.resets++; return nil }
	var all []netip.AddrPort
	for _, s := range b.config.Catalog().Servers.List {
		all = append(all, netip.AddrPortFrom(s.Address, b.config.AgentPort))
	}
	return f, all
}

// receive simulates the agents: it answers queries, and passes a packet along its candidates
// until it reaches the holder.
func (f *searchFleet) receive(raw []byte, to netip.AddrPort) {
	if id, flows, ok := steer.ParseQuery(raw); ok {
		f.queries++
		f.bytes += len(raw)
		holdings := make([]steer.Holding, len(flows))
		for i := range holdings {
			switch {
			case to == f.holder && !f.unknown[to]:
				holdings[i] = steer.Held
			case f.unknown[to]:
				holdings[i] = steer.Unknown
			}
		}
		var answer [steer.AnswerMaxLen]byte
		f.balancer.handleAnswer(answer[:steer.PutAnswer(answer[:], id, holdings)], to)
		return
	}
	if kind, _ := steer.KindOf(raw); kind == steer.Ping {
		var report [steer.ReportLen]byte
		steer.PutReport(report[:], steer.Load{}, packet.Flow{})
		f.balancer.handleReport(report[:], to)
		return
	}
	var e steer.Envelope
	rest, ok := e.Parse(raw)
	if !ok {
		return
	}
	if f.loseUnknown && e.Page == unknownPage {
		f.listVersion = e.ListVersion
		return
	}
	for i := range e.Count {
		f.visited++
		if e.Candidates[i].Agent == f.holder {
			f.delivered = true
			return
		}
	}
	switch {
	case e.More && !e.Direct:
		e.Kind = steer.Return
		returned := make([]byte, e.Len(), e.Len()+len(rest))
		e.Put(returned)
		f.balancer.handleReturn(append(returned, rest...), e.Candidates[e.Count-1].Agent)
	default:
		p, _ := f.balancer.config.Codec.Parse(rest)
		var notFound [steer.NotFoundLen]byte
		steer.NotFoundNotice{Flow: p.FlowFromCaller(), Searched: !e.Direct, Attempt: e.Attempt, ListVersion: e.ListVersion}.Put(notFound[:])
		f.balancer.handleNotFound(notFound[:])
	}
}

// readList advances the time by that of a reading, so that the list counts as read after all packets
// so far, and lets the balancer judge its searches again.
func (f *searchFleet) readList() {
	f.clock.Advance(150*time.Millisecond + time.Millisecond)
	f.balancer.PingAgents()
}

// TestSearchAtScale searches for flows among 109 and 1,000 servers: flows held by any of them,
// by none, and by one whose agent has just started.
func TestSearchAtScale(t *testing.T) {
	for _, servers := range []int{109, 1000} {
		const flows = 40
		visited := 0
		for n := range flows {
			f, agents := newSearchFleet(servers)
			f.holder = agents[n*servers/flows]
			f.unknown[f.holder] = n%4 == 0
			_, raw := flowPacket(n, 100)
			f.balancer.HandleCallerPacket(raw)
			if !f.delivered || f.resets > 0 {
				t.Errorf("%d servers: delivered %t, %d resets", servers, f.delivered, f.resets)
			}
			visited += f.visited
		}
		if mean, most := visited/flows, 2*ranked+2; mean > most {
			t.Errorf("%d servers: a packet visited %d agents on average, want at most %d", servers, mean, most)
		}
		f, _ := newSearchFleet(servers)
		_, raw := flowPacket(1, 100)
		f.balancer.HandleCallerPacket(raw)
		if f.resets != 0 {
			t.Errorf("%d servers: %d resets before the list was read again, want none", servers, f.resets)
		}
		f.readList()
		if f.resets != 1 || f.queries != servers {
			t.Errorf("%d servers: %d resets of a flow that no agent holds, %d queries; want 1 and one for each server", servers, f.resets, f.queries)
		}
	}
}

// ranked is the number of agents to which a new flow is offered.
const ranked = 8

// TestSearchAfterRotationChange searches for flows that another balancer of the zone has
// placed. A packet visits few agents, whatever the number of servers, also when a fifth of the
// servers have joined since.
func TestSearchAfterRotationChange(t *testing.T) {
	for _, servers := range []int{109, 1000} {
		const flows, most = 200, 4
		visited := 0
		for n := range flows {
			placing, agents := newSearchFleet(servers)
			f, _ := newSearchFleet(servers * 5 / 4)
			placing.balancer.transport.SendFleetDatagram = func(_ []byte, to netip.AddrPort) error { f.holder = to; return nil }
			flow, raw := flowPacket(n, 100)
			placing.balancer.HandleCallerPacket(standin.EncodePacket(packet.Packet{
				SourceIP: flow.CallerIP, SourcePort: flow.CallerPort, DestinationIP: flow.ServiceIP, DestinationPort: flow.ServicePort, Syn: true,
			}))
			if !slices.Contains(agents, f.holder) {
				t.Fatalf("flow %d placed at %v", n, f.holder)
			}
			f.balancer.HandleCallerPacket(raw)
			if !f.delivered {
				t.Errorf("%d servers: flow %d was not found", servers, n)
			}
			visited += f.visited
		}
		if mean := float64(visited) / flows; mean > most {
			t.Errorf("%d servers: a packet visited %.1f agents on average, want at most %d", servers, mean, most)
		}
	}
}

// TestFlowsLostTogether searches for many flows of a server that failed. They share queries, so
// that each flow costs each agent some bytes and not a packet.
func TestFlowsLostTogether(t *testing.T) {
	const servers, flows = 109, 64
	f, _ := newSearchFleet(servers)
	for n := range flows {
		_, raw := flowPacket(n, 1000)
		f.balancer.HandleCallerPacket(raw)
	}
	f.balancer.maintainSearches(f.balancer.config.Clock.Now())
	f.readList()
	if f.resets != flows {
		t.Errorf("%d resets of %d flows that no agent holds", f.resets, flows)
	}
	if most := 3 * servers; f.queries > most {
		t.Errorf("%d queries, want at most %d", f.queries, most)
	}
	if each := f.bytes / flows / servers; each > 32 {
		t.Errorf("%d bytes for each flow and agent, want at most 32", each)
	}
}

// TestUnknownAgents checks that a flow which no agent holds is reset only after the servers of
// the agents that answered Unknown have bounced its packet.
func TestUnknownAgents(t *testing.T) {
	f, agents := newSearchFleet(109)
	for _, a := range agents[:70] {
		f.unknown[a] = true
	}
	_, raw := flowPacket(1, 100)
	f.balancer.HandleCallerPacket(raw)
	f.readList()
	if f.resets != 1 || f.queries != len(agents) {
		t.Errorf("%d resets, %d queries, want 1 and %d", f.resets, f.queries, len(agents))
	}
}

// TestSearchIsRepeated checks that the balancer resolves a search that could prove nothing without
// waiting for the caller to repeat its packet: by the former answers if they still cover all
// agents, else by a further query to those that have changed since, or to all if some have not
// denied the flow. After it, the balancer sends no packet to servers.
func TestSearchIsRepeated(t *testing.T) {
	f, agents := newSearchFleet(109)
	complete := false
	f.balancer.config.Corroborated = func() bool { return complete }
	_, raw := flowPacket(1, 100)
	f.balancer.HandleCallerPacket(raw)
	if f.resets != 0 || f.queries != len(agents) {
		t.Fatalf("%d resets, %d queries; want none while the list of servers may be incomplete, and %d", f.resets, f.queries, len(agents))
	}
	f.clock.Advance(retryInterval)
	f.balancer.maintainSearches(f.clock.Now())
	if f.resets != 0 || f.queries != len(agents) {
		t.Errorf("%d resets, %d queries while a search can prove nothing", f.resets, f.queries)
	}
	complete = true
	f.balancer.maintainSearches(f.clock.Now())
	if f.resets != 1 || f.queries != len(agents) {
		t.Errorf("%d resets, %d queries when the former answers prove that no agent holds the flow, want 1 and %d", f.resets, f.queries, len(agents))
	}

	for _, unsure := range []string{"none", "former", "joined"} {
		f, agents = newSearchFleet(109)
		f.unknown[agents[3]] = unsure == "former"
		f.balancer.HandleCallerPacket(raw)
		visited, queries := f.visited, f.queries
		joined := f.join()
		f.unknown[joined] = unsure == "joined"
		f.clock.Advance(retryInterval)
		f.balancer.maintainSearches(f.clock.Now())
		if want := lo.Ternary(unsure == "joined", 0, 1); f.resets != want || f.visited != visited || f.queries != queries+1 {
			t.Errorf("unsure agent %s: %d resets, %d packets to agents and %d queries after another has joined, want %d, none and 1",
				unsure, f.resets, f.visited-visited, f.queries-queries, want)
		}
	}

	// No agent has denied the flow for certain, so all are queried again.
	f, agents = newSearchFleet(109)
	f.unknown[agents[3]], f.loseUnknown = true, true
	f.balancer.HandleCallerPacket(raw)
	visited, queries := f.visited, f.queries
	f.join()
	f.clock.Advance(answerTimeout + searchTimeout)
	f.balancer.maintainSearches(f.clock.Now())
	if f.resets != 0 || f.visited != visited || f.queries != queries+len(agents)+1 {
		t.Errorf("%d resets, %d packets to agents and %d queries in a repeated search, want none, none and %d",
			f.resets, f.visited-visited, f.queries-queries, len(agents)+1)
	}
}

// join adds an agent to the list of servers.
func (f *searchFleet) join() netip.AddrPort {
	list := slices.Clone(f.balancer.config.Catalog().Servers.List)
	joined := list[0]
	joined.ID, joined.Address = "joined", netip.MustParseAddr("10.9.9.9")
	f.balancer.SetServers(catalog.NewServers(position.Position{Revision: 2}, append(list, joined)))
	return netip.AddrPortFrom(joined.Address, f.balancer.config.AgentPort)
}

// TestSilentAgentHidesFlow checks that no flow is reset while an agent that does not answer may
// hold it.
func TestSilentAgentHidesFlow(t *testing.T) {
	f, agents := newSearchFleet(109)
	now := f.balancer.config.Clock.Now()
	f.balancer.mu.Lock()
	f.balancer.selection.RecordPing(agents[77], now.Add(-answerTimeout))
	f.balancer.mu.Unlock()
	_, raw := flowPacket(1, 100)
	f.balancer.HandleCallerPacket(raw)
	if f.resets != 0 {
		t.Errorf("%d resets", f.resets)
	}
	var report [steer.ReportLen]byte
	steer.PutReport(report[:], steer.Load{}, packet.Flow{})
	f.balancer.handleReport(report[:], agents[77])
	f.balancer.HandleCallerPacket(raw)
	f.readList()
	if f.resets != 1 {
		t.Errorf("%d resets after the agent has answered, want 1", f.resets)
	}
}
