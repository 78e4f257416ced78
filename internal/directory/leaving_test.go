package directory

import (
	"testing"
	"time"
)

// TestLeavingBalancerFollowsChanges guards against a balancer that forwards packets by an old list
// until it stops, because the others send it no more digests once it has announced that it leaves.
func TestLeavingBalancerFollowsChanges(t *testing.T) {
	const others = 6
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	for n := range byte(others) {
		f.start(n + 1)
	}
	leaving, stop := f.run(others+1, false)
	await(t, leaving, 1, 1, changeBound)
	for deadline := time.Now().Add(changeBound); leaving.Peers() < others; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d peers, want %d", leaving.Peers(), others)
		}
	}
	leaving.Leave()
	for version := uint64(2); version <= 3; version++ {
		f.store.publish(version, version, "a", "b")
		await(t, leaving, version, version, readInterval+rankStep+2*digestInterval)
	}
	stop()
	time.Sleep(memberTimeout + 2*digestInterval)
	for _, d := range f.all {
		d.mu.Lock()
		_, known := d.members[leaving.config.Self]
		d.mu.Unlock()
		if known {
			t.Errorf("%v still sends digests to a balancer that has stopped", d.config.Self)
		}
	}
}
