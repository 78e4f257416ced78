// Package bounds derives the intervals and timeouts of balancers and agents from the bounds
// that the operators of a deployment set.
package bounds

import "time"

// Bounds holds the time limits of a deployment: those that its operators guarantee to the
// programs, and those that the programs guarantee to the operators.
type Bounds struct {
	// Contact is how long a VM must have been undisturbed to count as in contact.
	Contact time.Duration
	// Change is the time within which a change of routes or servers must be in force on
	// every balancer.
	Change time.Duration
	// AddressReuse is the shortest time after which the address of a removed server may
	// belong to another service.
	AddressReuse time.Duration
}

// Default bounds, and the smallest bounds that the programs can keep.
const (
	// DefaultContact, DefaultChange and DefaultAddressReuse are the bounds of the smallest
	// deployments in use.
	DefaultContact      = 4 * time.Second
	DefaultChange       = 3 * time.Second
	DefaultAddressReuse = 2 * time.Second
	// MinContact, MinChange and MinAddressReuse leave time for some pings, some reads of the
	// platform, and a round of digests.
	MinContact      = time.Second
	MinChange       = time.Second
	MinAddressReuse = 500 * time.Millisecond
)

// Margins between a bound and the periods derived from it.
const (
	// lostMargin is how much longer than the contact bound an agent has to be silent before
	// its flows count as lost: an agent that was only paused must not lose them.
	lostMargin = time.Second
	// readingShare is the part of the change bound after which a balancer reads the platform
	// whatever the others do; the rest is for the reading itself.
	readingShare = 2.0 / 3
	// expiryShare is the part of the reuse bound for which a server stays in use after its
	// entry was removed or has expired.
	expiryShare = 0.9
)

// Default returns the default bounds.
func Default() Bounds {
	return Bounds{Contact: DefaultContact, Change: DefaultChange, AddressReuse: DefaultAddressReuse}
}

// LostTimeout returns how long an agent may leave every message unanswered before the flows
// of its server count as lost, although the server is still listed.
func (b Bounds) LostTimeout() time.Duration {
	return b.Contact + lostMargin
}

// ExpiryGrace returns how long a ready server that is no longer listed stays usable: entries
// that expired in an outage of the platform return within 2 s of its end.
func (b Bounds) ExpiryGrace() time.Duration {
	return time.Duration(expiryShare * float64(min(b.AddressReuse, DefaultAddressReuse)))
}

// MaxReadingAge returns the age of the list of servers at which a balancer reads the platform
// itself. A change must be in force within the change bound although all other balancers may
// have stopped, or be unable to read.
func (b Bounds) MaxReadingAge() time.Duration {
	return time.Duration(readingShare * float64(min(b.Change, DefaultChange)))
}

// ScalePeriod scales a period of the exchange of state, which is given for the default change
// bound, to the bound in b. A bound longer than the default does not lengthen the period.
func (b Bounds) ScalePeriod(period time.Duration) time.Duration {
	return time.Duration(float64(period) * min(1, float64(b.Change)/float64(DefaultChange)))
}
