package packetbalancer

import (
	"net/netip"
	"testing"
	"time"
)

// TestReadingThatWaited guards against the reset of a flow by a list that only seems to be younger than the
// flow's packet: the digest that states its age has waited in the socket.
func TestReadingThatWaited(t *testing.T) {
	f, _ := newSearchFleet(4)
	readSince := f.clock.Now()
	f.balancer.config.ReadSince = func() time.Time { return readSince }
	_, raw := flowPacket(1, 200)
	for range 5 {
		f.clock.Advance(300 * time.Millisecond)
		f.balancer.HandleCallerPacket(raw)
		f.readList()
	}
	if f.resets != 0 {
		t.Errorf("%d resets although nothing proves that the list is younger than the packet, want none", f.resets)
	}
	readSince = f.clock.Now()
	f.balancer.HandleCallerPacket(raw)
	f.readList()
	if f.resets != 1 {
		t.Errorf("%d resets after a reading that is younger for certain, want 1", f.resets)
	}
}

// TestSilenceWhileStandingStill guards against the reset of a flow whose agent counts as lost because the
// balancer itself stood still, several times, for longer than an agent may be silent: the answer to its ping
// has waited.
func TestSilenceWhileStandingStill(t *testing.T) {
	f, agents := newSearchFleet(4)
	f.holder = agents[2]
	f.balancer.PingAgents()
	receive := f.balancer.transport.SendFleetDatagram
	f.balancer.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error {
		if to == f.holder {
			return nil
		}
		return receive(raw, to)
	}
	for range 5 {
		f.clock.Advance(PingInterval)
		f.balancer.PingAgents()
	}
	for range 4 {
		f.clock.Advance(f.balancer.config.Bounds.LostTimeout() / 3)
		f.balancer.PingAgents()
	}
	_, raw := flowPacket(1, 200)
	f.balancer.HandleCallerPacket(raw)
	f.readList()
	if f.resets != 0 {
		t.Errorf("%d resets of a flow whose agent has answered while the balancer stood still, want none", f.resets)
	}
}
