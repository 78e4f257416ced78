// Package coldstart limits how many new flows a cold backend server receives in any span of one
// second.
package coldstart

import (
	"math"
	"slices"
	"time"
)

// Window is the span over which opening packets are counted. It exceeds the second to which the
// bound applies, because packets reach the server some milliseconds after they were counted: those
// counted just more than a second apart may arrive less than a second apart.
const Window = time.Second + 20*time.Millisecond

// Limit returns the largest number of opening packets in a Window that a server bears whose stated
// rate is perSecond.
func Limit(perSecond, overage, slack float64) int {
	return int(math.Floor(perSecond*max(overage, 1) + slack))
}

// Limiter counts the opening packets of one server. It holds at most as many counted and
// as many expected times as the limit. The zero value has counted none. It is not safe for
// concurrent use.
type Limiter struct {
	// taken holds the times of the packets in the Window, in ascending order.
	taken []time.Time
	// expected holds the times at which copies of dropped packets arrive, in ascending order.
	expected []time.Time
}

// Full reports whether a further packet would exceed the limit now.
func (l *Limiter) Full(now time.Time, limit int) bool {
	l.prune(now)
	return len(l.taken) >= limit
}

// Take counts a packet and returns true, unless it would exceed the limit.
func (l *Limiter) Take(now time.Time, limit int) bool {
	if l.Full(now, limit) {
		return false
	}
	l.taken = insert(l.taken, now)
	return true
}

// Forget drops the packets that were counted before a time: no present server has received them.
func (l *Limiter) Forget(before time.Time) {
	l.taken = slices.Delete(l.taken, 0, search(l.taken, before))
}

// Count returns the number of packets in the Window.
func (l *Limiter) Count(now time.Time) int {
	l.prune(now)
	return len(l.taken)
}

// NextAt returns when a further packet may be taken, if no other one is until then: now or later.
// It returns false if the limit admits none.
func (l *Limiter) NextAt(now time.Time, limit int) (time.Time, bool) {
	l.prune(now)
	switch over := len(l.taken) - limit; {
	case limit <= 0:
		return time.Time{}, false
	case over < 0:
		return now, true
	default:
		return l.taken[over].Add(Window), true
	}
}

// Expect reports whether a packet that arrives at a later time will not exceed the limit, as far as
// the packets counted and expected by then show. If so, it is expected from now on.
func (l *Limiter) Expect(at, now time.Time, limit int) bool {
	l.prune(now)
	held := len(l.taken) - search(l.taken, at.Add(-Window))
	if len(l.expected) >= limit || held+search(l.expected, at) >= limit {
		return false
	}
	l.expected = insert(l.expected, at)
	return true
}

// prune removes the packets that have left the Window, and the expected ones whose time has come.
func (l *Limiter) prune(now time.Time) {
	l.taken = slices.Delete(l.taken, 0, search(l.taken, now.Add(-Window)))
	l.expected = slices.Delete(l.expected, 0, search(l.expected, now))
}

// search returns how many times in an ascending list are not after t.
func search(list []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(list, t, func(a, t time.Time) int {
		if a.After(t) {
			return 1
		}
		return -1
	})
	return n
}

// insert adds a time to an ascending list.
func insert(list []time.Time, t time.Time) []time.Time {
	return slices.Insert(list, search(list, t), t)
}
