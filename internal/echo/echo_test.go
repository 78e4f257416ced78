package echo

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRounds checks that only numbers of the latest rounds are known, with the time at which each began,
// also after the numbers have started again.
func TestRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Uint16().Draw(t, "first")
		r := NewRounds(first)
		began := make(map[uint16]time.Time)
		var order []uint16
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 3*remembered).Draw(t, "rounds") {
			now = now.Add(time.Millisecond)
			number := r.Begin(now)
			began[number], order = now, append(order, number)
		}
		for n := range math.MaxUint16 + 1 {
			number := uint16(n)
			at, ok := r.BeganAt(number)
			known := false
			for _, v := range order[max(0, len(order)-remembered):] {
				known = known || v == number
			}
			// A skipped 0 leaves room for one more.
			if ok && !at.Equal(began[number]) || known && !ok {
				t.Fatalf("number %d: %v, %t, want %v, %t", number, at, ok, began[number], known)
			}
		}
	})
}
