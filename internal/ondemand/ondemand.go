// Package ondemand decides when the platform is read out of turn. A balancer that searches lost
// flows needs a reading that began after their packets arrived; after a loss of power all balancers
// do so for seconds, for other flows each time.
package ondemand

import "time"

const (
	// interval is the least time between two readings on demand, and between two requests of a
	// balancer. Callers expect their answers within some 200 ms, and besides the reading these take
	// the query of the agents, the reset and another handshake.
	interval = 40 * time.Millisecond
	// requestsPerSecond limits the requests of all balancers that a reader receives.
	requestsPerSecond = 1000
	// burst is how many readings on demand a reader makes in a row, and refill the time after which
	// it may make one more: calls of the platform cost money. All flows of a deployment are used
	// within some seconds after a loss of power.
	burst  = 150
	refill = time.Second
)

// Reader limits the readings on demand of one balancer. Its zero value is ready to use. It is not
// safe for concurrent use.
type Reader struct {
	// readAt is when the latest reading began; zero before the first one.
	readAt time.Time
	// used is how many of the burst were used up at readAt.
	used float64
}

// Due returns when the next reading on demand may begin.
func (r *Reader) Due() time.Time {
	if r.used+1 <= burst {
		return r.readAt.Add(interval)
	}
	return r.readAt.Add(time.Duration((r.used + 1 - burst) * float64(refill)))
}

// Record records that a reading on demand begins.
func (r *Reader) Record(now time.Time) {
	if !r.readAt.IsZero() {
		r.used -= now.Sub(r.readAt).Seconds() / refill.Seconds()
	}
	r.used, r.readAt = max(r.used, 0)+1, now
}

// Requester chooses when a balancer requests a reading, and from which reader. Its zero value is
// ready to use. It is not safe for concurrent use.
type Requester struct {
	// number counts the requests, and sent holds when the latest ones were sent, by number.
	number uint32
	sent   [remembered]time.Time
	// answered is the number of the latest request that was answered, and waitingSince when the
	// first one after it was sent, or when the reader was last changed; zero if there is none.
	answered     uint32
	waitingSince time.Time
	// changes counts how often the reader was changed because it did not answer.
	changes int
}

const (
	// remembered is how many requests may be answered: those of answerTimeout.
	remembered = 8
	// answerTimeout is how long a reader may take: a reading, the interval before it, and some
	// round trips.
	answerTimeout = 300 * time.Millisecond
)

// Due reports whether the pause since the latest request is over, in a fleet of that many balancers.
func (q *Requester) Due(balancers int, now time.Time) bool {
	pause := max(interval, time.Duration(balancers)*time.Second/requestsPerSecond)
	latest := q.sent[q.number%remembered]
	return latest.IsZero() || now.Sub(latest) >= pause
}

// Next returns the index of the reader to request a reading from, out of readers in their order, and
// the number of the request. It returns false if none is due: balancers is the number of all
// balancers, which share the capacity of the readers.
func (q *Requester) Next(readers, balancers int, now time.Time) (reader int, number uint32, ok bool) {
	if readers == 0 || !q.Due(balancers, now) {
		return 0, 0, false
	}
	switch {
	case q.waitingSince.IsZero():
		q.waitingSince = now
	case now.Sub(q.waitingSince) > answerTimeout:
		q.waitingSince = now
		q.changes++
	}
	q.number++
	q.sent[q.number%remembered] = now
	return q.changes % readers, q.number, true
}

// Answered returns when the request with the given number was sent, and records that it was
// answered. It returns false if a later one was answered already, or if it is too old.
func (q *Requester) Answered(number uint32) (sentAt time.Time, ok bool) {
	if number <= q.answered || number > q.number || q.number-number >= remembered {
		return time.Time{}, false
	}
	q.answered, q.waitingSince = number, time.Time{}
	if number < q.number {
		q.waitingSince = q.sent[(number+1)%remembered]
	}
	return q.sent[number%remembered], true
}
