package load

import (
	"testing"
	"time"
)

// TestMayHaveSlot checks that a full server is tried again only after a slot may
// have become free.
func TestMayHaveSlot(t *testing.T) {
	full := Report{Slots: 2, Used: 2, MeanServiceMicros: 60_000}
	for _, c := range []struct {
		name   string
		report Report
		age    time.Duration
		want   bool
	}{
		{"free", Report{Slots: 2, Used: 1}, 0, true},
		{"free but with a queue", Report{Slots: 2, Used: 1, Queued: 1}, 0, false},
		{"full now", full, 0, false},
		{"full before the next slot becomes free", full, 29 * time.Millisecond, false},
		{"full in a stale report", full, 31 * time.Millisecond, true},
		{"full, service time unknown", Report{Slots: 2, Used: 2}, 4 * time.Millisecond, false},
		{"full, slow service", Report{Slots: 1, Used: 1, MeanServiceMicros: 60_000_000}, time.Second, true},
	} {
		c.report.Age = c.age
		if got := c.report.MayHaveSlot(); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestMayQueue checks that a full queue is not tried again immediately.
func TestMayQueue(t *testing.T) {
	r := Report{Slots: 2, Used: 2, Queue: 16, Queued: 15, MeanServiceMicros: 60_000}
	if !r.MayQueue() {
		t.Error("a queue with room is not tried")
	}
	r.Queued = 16
	if r.MayQueue() {
		t.Error("a full queue is tried immediately")
	}
	r.Age = 31 * time.Millisecond
	if !r.MayQueue() {
		t.Error("a queue whose full report is stale is not tried")
	}
}
