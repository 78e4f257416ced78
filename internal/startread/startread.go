// Package startread decides when a balancer that has no complete catalog yet calls the platform, and
// how long a call may take. After a loss of power all balancers start together, perhaps before the
// platform answers: few of them call it often, so that one gets the first answer, and the others
// learn it from digests.
package startread

import "time"

const (
	// Readers is how many balancers, the first in the order of readers, call often.
	Readers = 3
	// callInterval is the interval between two calls of all Readers together.
	callInterval = 150 * time.Millisecond
	// shortLimit limits most of their calls, so that a call which began while the platform was
	// silent does not delay the next one. An answer usually takes some milliseconds.
	shortLimit = 300 * time.Millisecond
	// longEvery is the number of attempts of a balancer of which one has no short limit: a long list
	// may take longer over a slow link. The Readers make theirs longStep attempts apart, so that
	// two of them are never in a long call, which takes a second at most.
	longEvery = 9
	longStep  = 3
	// unheardDelay is how long a balancer that is no seed and has heard no other waits before its
	// first attempt: some round trips, in which the seeds get a first answer and spread it. New flows
	// of all callers wait for it.
	unheardDelay = 50 * time.Millisecond
	// alonePeriod is how long a balancer that knows no other calls as often as the first one, and
	// aloneInterval how often it calls afterwards, and one that has heard none of those it knows:
	// many that cannot reach each other must not all count as the first.
	alonePeriod   = time.Second
	aloneInterval = time.Second
)

// Reader is a balancer that has no complete catalog.
type Reader struct {
	// Rank is its place in the order of readers, from 0, and Count the number of these.
	Rank, Count int
	// Heard is true once another balancer has sent a digest.
	Heard bool
	// Seed is true if the settings of all balancers name this one: it need not hear others to know
	// that few do as it does.
	Seed bool
	// Started is when it started.
	Started time.Time
	// CalledAt is when its latest attempt to read the platform began, and Attempts their number;
	// zero if there was none.
	CalledAt time.Time
	Attempts int
	// FirstLate is when a balancer after the first Readers reads for the first time, unless it has
	// a catalog by then, and LateInterval the interval between its further attempts.
	FirstLate    time.Duration
	LateInterval time.Duration
}

// Due returns when the balancer begins its next attempt.
func (r Reader) Due() time.Time {
	switch {
	case r.Seed && r.Attempts == 0:
		return r.Started
	case r.Rank >= Readers && r.Attempts == 0:
		return r.Started.Add(r.FirstLate)
	case r.Rank >= Readers:
		return r.CalledAt.Add(r.LateInterval)
	case r.Attempts == 0 && r.Count > 1 && !r.Heard:
		return r.Started.Add(unheardDelay)
	case r.Attempts == 0:
		return r.Started.Add(time.Duration(r.Rank) * callInterval)
	case !r.Heard && (r.Count > 1 || r.CalledAt.Sub(r.Started) >= alonePeriod):
		return r.CalledAt.Add(aloneInterval)
	default:
		return r.CalledAt.Add(time.Duration(min(r.Count, Readers)) * callInterval)
	}
}

// Limit returns how long a call of the next attempt may take; 0 for the usual limit.
func (r Reader) Limit() time.Duration {
	if r.Rank >= Readers && (!r.Seed || r.Attempts > 0) || (r.Attempts+longStep*r.Rank)%longEvery == longEvery-1 {
		return 0
	}
	return shortLimit
}
