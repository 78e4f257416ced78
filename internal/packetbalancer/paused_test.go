package packetbalancer

import (
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
