package packetbalancer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestRegistrationAfterPowerLoss guards against packets of lost flows at every server, against
// queries to all agents after each change of the list, and against resets before the last agent has
// denied the flow: after a loss of power, servers replace their former entries one by one, and an
// agent can tell which flows its server holds as soon as the present entry is listed.
func TestRegistrationAfterPowerLoss(t *testing.T) {
	const servers = 40
	f, agents := newSearchFleet(servers)
	f.balancer.config.NoCorroboratedPeer = func() bool { return true }
	list := slices.Clone(f.balancer.config.Catalog().Servers.List)
	register := func(n int) {
		list[n].ID, list[n].Born = list[n].ID+"x", f.clock.Now().UnixMilli()
		f.balancer.SetServers(catalog.NewServers(position.Position{Revision: 2}, slices.Clone(list)))
		f.unknown[agents[n]] = n == servers-1
	}
	for _, a := range agents {
		f.unknown[a] = true
	}
	register(0)
	_, raw := flowPacket(1, 100)
	f.balancer.HandleCallerPacket(raw)
	if f.visited != 0 || f.queries != servers {
		t.Errorf("%d agents got the packet and %d were queried, want none and %d", f.visited, f.queries, servers)
	}
	for n := range agents[1:] {
		if f.resets != 0 {
			t.Fatalf("%d resets before agent %d has denied the flow", f.resets, n+1)
		}
		register(n + 1)
		f.clock.Advance(10 * time.Millisecond)
		f.balancer.PingAgents()
	}
	// The table of the last agent is complete only after a further ping.
	f.readList()
	if f.resets != 0 {
		t.Errorf("%d resets before the last agent has denied the flow", f.resets)
	}
	f.unknown[agents[servers-1]] = false
	var report [steer.ReportLen]byte
	steer.PutReport(report[:], steer.Load{TableComplete: true}, packet.Flow{})
	f.balancer.handleReport(report[:], agents[servers-1])
	f.clock.Advance(20 * time.Millisecond)
	f.balancer.PingAgents()
	if f.resets != 1 || f.visited != 0 || f.queries > 2*servers {
		t.Errorf("%d resets, %d packets to agents and %d queries, want 1, none and at most %d", f.resets, f.visited, f.queries, 2*servers)
	}
}

// TestScopeGrowsAfterDenial guards against the reset of a flow at a server of another service: the
// agents of the service of its route have denied it, and then it turns out that the route may have
// led elsewhere, since a server is older than the balancer.
func TestScopeGrowsAfterDenial(t *testing.T) {
	f, agents := newSearchFleet(2)
	list := slices.Clone(f.balancer.config.Catalog().Servers.List)
	portal := list[0]
	portal.ID, portal.Service, portal.Address = "portal", "portal", netip.MustParseAddr("10.9.9.9")
	list = append(list, portal)
	for n := range list {
		list[n].Born = f.clock.Now().UnixMilli()
	}
	f.balancer.SetServers(catalog.NewServers(position.Position{Revision: 2}, slices.Clone(list)))
	f.holder = netip.AddrPortFrom(portal.Address, agents[0].Port())
	complete := false
	f.balancer.config.Corroborated = func() bool { return complete }
	_, raw := flowPacket(1, 100)
	f.balancer.HandleCallerPacket(raw)
	if f.queries != 2 || f.delivered {
		t.Fatalf("%d queries, delivered %t; want one to each agent of the service", f.queries, f.delivered)
	}
	old := portal
	old.ID, old.Born, old.Address = "old", 1, old.Address.Next()
	f.balancer.SetServers(catalog.NewServers(position.Position{Revision: 3}, append(list, old)))
	complete = true
	for range 4 {
		f.readList()
	}
	if !f.delivered || f.resets != 0 {
		t.Errorf("delivered %t, %d resets", f.delivered, f.resets)
	}
}

// TestPathOfUnsureAgentsIsLost guards against an open flow whose packets all get lost at the same
// server: after a restart of all balancers and agents the packet is sent along the agents, which
// cannot tell, and a server that is down swallows it. Later packets take the usual paths, which vary.
func TestPathOfUnsureAgentsIsLost(t *testing.T) {
	f, agents := newSearchFleet(8)
	for _, a := range agents {
		f.unknown[a] = true
	}
	// All servers have started together with the balancer, and none is about to register.
	list := slices.Clone(f.balancer.config.Catalog().Servers.List)
	for i := range list {
		list[i].Born = f.clock.Now().UnixMilli()
	}
	f.balancer.SetServers(catalog.NewServers(position.Position{Revision: 2}, list))
	f.clock.Advance(time.Second)
	f.holder, f.loseUnknown = agents[5], true
	flow, raw := flowPacket(1, 100)
	for range 2 {
		if f.delivered || f.visited != 0 {
			t.Fatal("the packet did not take the path along the agents that cannot tell")
		}
		f.balancer.HandleCallerPacket(raw)
		f.clock.Advance(answerTimeout + searchTimeout)
		f.balancer.PingAgents()
	}
	entry, _ := f.balancer.cache.Get(flow)
	if !f.delivered || entry.attempts != 2 {
		t.Errorf("delivered %t after %d attempts, want the second to take another path", f.delivered, entry.attempts)
	}
}
