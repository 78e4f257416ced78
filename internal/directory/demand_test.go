package directory

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestReadingOnDemand guards against a proof that no server holds a flow which rests on a list read
// before the flow's packet arrived, and against a wait for the next regular reading: a reading that
// a balancer requests begins after the request, also if the first reader does not answer.
func TestReadingOnDemand(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	first, second := f.start(1), f.start(2)
	third := f.start(3)
	for _, d := range []*Directory{first, second, third} {
		await(t, d, 1, 1, changeBound)
	}
	for deadline := time.Now().Add(changeBound); third.Peers() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the balancers do not know each other")
		}
	}
	var confirmed atomic.Int32
	third.config.Confirmed = func() { confirmed.Add(1) }
	request := func(limit time.Duration) {
		t.Helper()
		before, since := confirmed.Load(), time.Now()
		for deadline := since.Add(limit); confirmed.Load() == before; time.Sleep(5 * time.Millisecond) {
			if third.RequestReading(); time.Now().After(deadline) {
				t.Fatalf("no reading within %v", limit)
			}
		}
		if got := third.ReadSince(); got.Before(since) {
			t.Errorf("read since %v, want after the request at %v", got, since)
		}
	}
	request(readInterval / 2)
	if first.Counts().ReadingsOnDemand.Load() == 0 {
		t.Error("the first reader made no reading on demand")
	}
	f.connect(first, false)
	request(memberTimeout)
	if second.Counts().ReadingsOnDemand.Load() == 0 {
		t.Error("the next reader made no reading on demand")
	}
}
