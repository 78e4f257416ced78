// Package bounds derives the periods of balancers and agents from the bounds that the
// operators of a deployment set.
package bounds

import "time"

// Bounds is what operators promise, and are promised.
type Bounds struct {
	// Contact is how long a VM must have been undisturbed to count as in touch.
	Contact time.Duration
	// Change is the time within which a change of routes or servers must be in force
	// on every balancer.
	Change time.Duration
	// AddressReuse is how soon the address of a server that has gone may belong to
	// another service.
	AddressReuse time.Duration
}

// Bounds of deployments that set none, and the least that can be kept.
const (
	// DefaultContact, DefaultChange and DefaultAddressReuse are those of the smallest
	// deployments in use.
	DefaultContact      = 4 * time.Second
	DefaultChange       = 3 * time.Second
	DefaultAddressReuse = 2 * time.Second
	// MinContact, MinChange and MinAddressReuse leave time for some pings, some
	// readings, and a round of digests.
	MinContact      = time.Second
	MinChange       = time.Second
	MinAddressReuse = 500 * time.Millisecond
)

// Margins between a bound and the periods that serve it.
const (
	// lostMargin is how much longer than the contact bound an agent is silent before
	// its flows count as gone: one that was only paused must not lose them.
	lostMargin = time.Second
	// lapseShare is the part of the reuse bound for which a server whose entry has
	// vanished stays in use.
	lapseShare = 0.9
)

// Default returns the bounds of a deployment that sets none.
func Default() Bounds {
	return Bounds{Contact: DefaultContact, Change: DefaultChange, AddressReuse: DefaultAddressReuse}
}

// LostAfter is how long an agent may leave every message unanswered before the flows
// of its server count as gone, although the server is listed.
func (b Bounds) LostAfter() time.Duration {
	return b.Contact + lostMargin
}

// LapseGrace is how long a ready server that is no longer listed stays usable. Entries
// that lapsed in an outage return within 2 s of its end.
func (b Bounds) LapseGrace() time.Duration {
	return time.Duration(lapseShare * float64(min(b.AddressReuse, DefaultAddressReuse)))
}

// Pace scales a period of the exchange that was made for the default change bound.
// Longer bounds do not slow it down.
func (b Bounds) Pace(period time.Duration) time.Duration {
	return time.Duration(float64(period) * min(1, float64(b.Change)/float64(DefaultChange)))
}
