package coldstart

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

// TestAnySpan guards against a limit that holds in fixed intervals only: it compares the limiter
// with a recount of every span that ends at a packet, and checks that packets are refused only while
// the span is full, that NextAt is the end of that time, and that the state is bounded.
func TestAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		var taken []time.Time
		now := time.Unix(1000, 0)
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		for range rapid.IntRange(1, 200).Draw(t, "packets") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pauseMillis")) * time.Millisecond)
			within := func(at time.Time) int {
				return lo.CountBy(taken, func(o time.Time) bool { return at.Sub(o) < Window })
			}
			full := within(now) >= limit
			next, ok := l.NextAt(now, limit)
			if ok != (limit > 0) || ok && (within(next) >= limit || next.Before(now) || full && within(next.Add(-1)) < limit) {
				t.Fatalf("the next packet may be taken at %v, %t", next, ok)
			}
			l.Expect(now.Add(200*time.Millisecond), now, limit)
			if got := l.Take(now, limit); got == full {
				t.Fatalf("packet taken %t, although %d of %d were in the span", got, within(now), limit)
			} else if got {
				taken = append(taken, now)
			}
			if within(now) > limit || len(l.taken) > limit || len(l.expected) > limit {
				t.Fatalf("%d packets in a span, %d and %d kept, limit %d", within(now), len(l.taken), len(l.expected), limit)
			}
		}
	})
}

// TestExpectedCopies guards against a herd of dropped packets whose copies all count on the same
// free place.
func TestExpectedCopies(t *testing.T) {
	var l Limiter
	now := time.Unix(1000, 0)
	for range 3 {
		l.Take(now, 3)
	}
	if l.Expect(now.Add(Window-time.Millisecond), now, 3) {
		t.Error("a packet is expected while the window is full")
	}
	copies := lo.Times(5, func(int) bool { return l.Expect(now.Add(Window), now, 3) })
	if got := lo.Count(copies, true); got != 3 {
		t.Errorf("%d copies expected, want 3", got)
	}
	if got := Limit(10, 1.5, 5); got != 20 {
		t.Errorf("limit %d, want 20", got)
	}
}
