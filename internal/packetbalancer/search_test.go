package packetbalancer

import (
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestSearchAfterPowerLoss checks that after a search in which no agent held the flow, further
// packets are not sent to agents again while the list of servers may be incomplete, and that
// the caller is reset as soon as the list is complete.
func TestSearchAfterPowerLoss(t *testing.T) {
	const servers = 3
	f, agents := newSearchFleet(servers)
	complete := false
	f.balancer.config.Corroborated = func() bool { return complete }
	flow, raw := flowPacket(1, 200)
	for range 2 {
		f.balancer.HandleCallerPacket(raw)
		f.readList()
	}
	if f.visited != servers || f.queries != servers || f.resets != 0 {
		t.Errorf("%d visits, %d queries and %d resets while the list may be incomplete, want %d, %d and none", f.visited, f.queries, f.resets, servers, servers)
	}

	complete = true
	f.balancer.HandleCallerPacket(raw)
	if f.visited != servers || f.queries != servers || f.resets != 1 {
		t.Errorf("%d visits, %d queries and %d resets when no other server may run, want %d, %d and 1", f.visited, f.queries, f.resets, servers, servers)
	}

	f.balancer.cacheFlow(flow, agents[0])
	f.holder = agents[0]
	notFound := make([]byte, steer.NotFoundLen)
	steer.NotFoundNotice{Flow: flow, Searched: true}.Put(notFound)
	f.balancer.handleNotFound(notFound)
	f.balancer.HandleCallerPacket(raw)
	f.readList()
	if f.resets != 1 || f.balancer.Counts().Cached.Load() != 1 {
		t.Errorf("%d resets of a flow that was found in the meantime, want only the first", f.resets)
	}
}

// TestFlowOfNewServer guards against the reset of a flow whose server registered after the
// list was read: another balancer has placed the flow there, and this one, which learns of
// changes late, has no agent left to ask.
func TestFlowOfNewServer(t *testing.T) {
	f, _ := newSearchFleet(4)
	readAt := f.clock.Now()
	f.balancer.config.ReadAt = func() time.Time { return readAt }
	f.balancer.config.ReadSince = f.balancer.config.ReadAt
	f.clock.Advance(time.Second)
	_, raw := flowPacket(1, 200)
	for range 20 {
		f.balancer.HandleCallerPacket(raw)
		f.readList()
	}
	if f.resets != 0 {
		t.Errorf("%d resets of a flow that may be younger than the list, want none", f.resets)
	}
	list := f.balancer.config.Catalog().Servers.List
	joined := list[0]
	joined.ID, joined.Address = "joined", netip.MustParseAddr("10.9.9.9")
	f.holder = netip.AddrPortFrom(joined.Address, f.balancer.config.AgentPort)
	f.balancer.SetServers(catalog.NewServers(position.Position{Revision: 2}, append(slices.Clone(list), joined)))
	readAt = f.clock.Now()
	f.balancer.HandleCallerPacket(raw)
	f.readList()
	if !f.delivered || f.resets != 0 {
		t.Errorf("delivered %t, %d resets after the list was read again, want the packet at the new server", f.delivered, f.resets)
	}
}

// TestLateNoticeOfFormerSearch guards against the reset of a flow whose agent has restarted: the
// packet of the flow is on its way along the agents that cannot tell, and the end of another
// search must not count as the end of that path.
func TestLateNoticeOfFormerSearch(t *testing.T) {
	f, agents := newSearchFleet(4)
	f.holder = agents[2]
	f.unknown[f.holder] = true
	f.loseUnknown = true
	flow, raw := flowPacket(1, 200)
	f.balancer.HandleCallerPacket(raw)
	for n := range 2 * maxAttempts {
		attempt := uint8(n % maxAttempts)
		var notFound [steer.NotFoundLen]byte
		steer.NotFoundNotice{Flow: flow, Searched: true, Attempt: attempt, ListVersion: f.listVersion}.Put(notFound[:])
		f.balancer.handleNotFound(notFound[:])
	}
	for range 3 {
		f.readList()
	}
	if f.listVersion == 0 || f.resets != 0 {
		t.Errorf("%d resets while the packet is on its way to the agent that holds the flow, want none", f.resets)
	}
}

// TestFlowOfOtherService guards against the reset of a flow at a server of a service that its
// route no longer names: a balancer that has restarted doesn't know the former route.
func TestFlowOfOtherService(t *testing.T) {
	f, agents := newSearchFleet(4)
	list := slices.Clone(f.balancer.config.Catalog().Servers.List)
	list[3].Service = "portal"
	f.balancer.SetServers(catalog.NewServers(position.Position{Revision: 2}, list))
	f.holder = agents[3]
	for n, unknown := range []bool{true, false} {
		f.unknown[f.holder] = unknown
		f.delivered = false
		_, raw := flowPacket(n, 200)
		f.balancer.HandleCallerPacket(raw)
		for range 3 {
			f.readList()
		}
		if !f.delivered || f.resets != 0 {
			t.Errorf("agent unsure %t: delivered %t, %d resets", unknown, f.delivered, f.resets)
		}
	}
}

// TestFlowsOfLostVM checks that the flows of a server whose VM has stopped answering are
// searched again although the cache names their agent.
func TestFlowsOfLostVM(t *testing.T) {
	x, _, _ := newBenchBalancer(t, 4)
	clock := clockwork.NewFakeClock()
	x.config.Clock = clock
	sent := make(map[netip.AddrPort]int)
	agents := make(map[netip.AddrPort]bool)
	x.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error {
		if kind, _ := steer.KindOf(raw); kind == steer.Ping {
			agents[to] = true
		} else {
			sent[to]++
		}
		return nil
	}
	x.PingAgents()
	list := lo.Keys(agents)
	if len(list) != 4 {
		t.Fatalf("%d agents pinged, want 4", len(list))
	}
	silent, others := list[0], list[1:]
	f, raw := flowPacket(1, 200)
	x.cacheFlow(f, silent)
	x.HandleCallerPacket(raw)
	if sent[silent] != 1 {
		t.Fatalf("%d packets to the holder, want 1", sent[silent])
	}
	for range 60 {
		clock.Advance(PingInterval)
		for _, a := range others {
			var report [steer.ReportLen]byte
			steer.PutReport(report[:], steer.Load{State: steer.Up}, packet.Flow{})
			x.handleReport(report[:], a)
		}
		x.PingAgents()
	}
	x.HandleCallerPacket(raw)
	searched := lo.CountBy(others, func(a netip.AddrPort) bool { return sent[a] > 0 })
	if searched != 1 {
		t.Errorf("the search began at %d other agents, want 1", searched)
	}
}

// TestSearchesOfTwoTasks runs searches in the goroutine of callers' packets and in that of the
// fleet's datagrams concurrently, past silent agents, to be checked by the race detector.
func TestSearchesOfTwoTasks(t *testing.T) {
	x, _, agent := newBenchBalancer(t, 40)
	x.transport.SendFleetDatagram = func([]byte, netip.AddrPort) error { return nil }
	x.PingAgents()
	for range 2 {
		time.Sleep(PingInterval)
		x.PingAgents()
	}
	const searches = 200
	// The flows are found soon, else the balancer would query all agents first.
	found := func(f packet.Flow) {
		var report [steer.ReportLen]byte
		steer.PutReport(report[:], steer.Load{}, f)
		x.handleReport(report[:], netip.MustParseAddrPort("10.9.9.9:27001"))
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range searches {
			f, raw := flowPacket(n, 100)
			x.HandleCallerPacket(raw)
			found(f)
		}
	})
	wg.Go(func() {
		for n := range searches {
			f, raw := flowPacket(searches+n, 100)
			e := steer.Envelope{Kind: steer.Return, Balancer: agent, Best: steer.NoBest, More: true}
			e.Append(steer.Candidate{Agent: agent})
			returned := make([]byte, e.Len(), e.Len()+len(raw))
			e.Put(returned)
			x.handleReturn(append(returned, raw...), agent)
			found(f)
		}
	})
	wg.Wait()
	x.sendQueries()
	if n := x.Counts().Searches.Load(); n < searches {
		t.Errorf("%d searches, want at least %d", n, searches)
	}
	if n := x.Counts().Queried.Load(); n != 2*searches {
		t.Errorf("agents were queried about %d flows, want %d", n, 2*searches)
	}
}
