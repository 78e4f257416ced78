package packetbalancer

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestSearchAfterPowerLoss checks that after a search in which no agent held the flow, further
// packets are not sent to agents again while the list of servers may be incomplete, and that
// the caller is reset as soon as the list is complete.
func TestSearchAfterPowerLoss(t *testing.T) {
	x, _, agent := newBenchBalancer(t, 3)
	complete := false
	x.config.Corroborated = func() bool { return complete }
	var searches []steer.Envelope
	resets := 0
	x.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
		var e steer.Envelope
		if _, ok := e.Parse(raw); !ok {
			t.Fatalf("datagram %x to an agent, want a packet", raw)
		}
		searches = append(searches, e)
		return nil
	}
	x.transport.SendToCaller = func([]byte, netip.AddrPort) error { resets++; return nil }
	f, raw := flowPacket(1, 200)
	x.HandleCallerPacket(raw)
	if len(searches) != 1 || searches[0].Count != 3 || searches[0].Complete {
		t.Fatalf("%d searches, want one that is not complete: %+v", len(searches), searches)
	}

	x.HandleCallerPacket(raw)
	if len(searches) != 2 {
		t.Fatalf("%d searches before the first has ended, want 2", len(searches))
	}
	notFound := make([]byte, steer.NotFoundLen)
	e := searches[1]
	steer.NotFoundNotice{Flow: f, Searched: true, Attempt: e.Attempt, ListVersion: e.ListVersion}.Put(notFound)
	x.handleNotFound(notFound)
	x.HandleCallerPacket(raw)
	if len(searches) != 2 || resets != 0 {
		t.Errorf("%d searches and %d resets after the flow was not found, want 2 and none", len(searches), resets)
	}

	complete = true
	x.HandleCallerPacket(raw)
	if len(searches) != 2 || resets != 1 {
		t.Errorf("%d searches and %d resets when no other server may run, want 2 and 1", len(searches), resets)
	}

	x.cacheFlow(f, agent)
	x.handleNotFound(notFound)
	x.HandleCallerPacket(raw)
	if resets != 1 || x.Counts().Cached.Load() != 1 {
		t.Errorf("%d resets of a flow that was found in the meantime, want only the first", resets)
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
	time.Sleep(200 * time.Millisecond)
	const searches = 200
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range searches {
			_, raw := flowPacket(n, 100)
			x.HandleCallerPacket(raw)
		}
	})
	wg.Go(func() {
		for n := range searches {
			_, raw := flowPacket(searches+n, 100)
			e := steer.Envelope{Kind: steer.Return, Balancer: agent, Best: steer.NoBest, More: true}
			e.Append(steer.Candidate{Agent: agent})
			returned := make([]byte, e.Len(), e.Len()+len(raw))
			e.Put(returned)
			x.handleReturn(append(returned, raw...), agent)
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
