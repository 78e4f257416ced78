package directory

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/routehistory"
)

// Age returns the time since the catalog was read from the platform, by this balancer
// or another one, and false if it never was.
func (d *Directory) Age() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Clock.Since(d.readAt), !d.readAt.IsZero()
}

// ProvedAge returns the time after which the catalog was read from the platform for certain, by this
// balancer's own clock, as an age, and false if there is none.
func (d *Directory) ProvedAge() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Clock.Since(d.provedAt), !d.provedAt.IsZero()
}

// ReadAt returns when the servers that were last passed to Changed were read from the platform, by
// this balancer or another one; zero if they never were.
func (d *Directory) ReadAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passedAt
}

// recordPassed updates the time of the latest reading that was passed to Changed. The caller
// holds the lock.
func (d *Directory) recordPassed() {
	if d.sum == d.passedSum {
		d.passedAt, d.passedProvedAt = d.readAt, d.provedAt
	}
}

// advanceReading sets the time of the latest reading unless it is earlier than the present one.
// If that was so old that others may be about to read as well, they are notified at once. The
// caller holds the lock.
func (d *Directory) advanceReading(at time.Time) {
	if !at.After(d.readAt) {
		return
	}
	overdue := !d.readAt.IsZero() && at.Sub(d.readAt) > d.pace(readInterval+rankStep)
	// What was listed before a gap is remembered, so a list that was complete stays so. Before, entries
	// may have expired in the gap that this directory has never read.
	d.confirmed = d.corroboratedLocked()
	if overdue && !d.confirmed {
		d.readableSince = at
	}
	d.readAt = at
	d.recordPassed()
	if overdue && !d.config.Replica {
		go d.sendDigests()
	}
}

// RouteHistory returns the services that the routes have led to.
func (d *Directory) RouteHistory() *routehistory.History {
	return d.routes
}

// RoutesKnownFor returns for how long every service is known that a route has led to, at most the time
// for which a flow may last; 0 while another directory has named a version whose services are unknown.
func (d *Directory) RoutesKnownFor() time.Duration {
	return d.routes.KnownFor(d.config.Clock.Now())
}

// Corroborated reports whether the list holds every server that may run: either a
// balancer with a complete list has sent its recently expired entries, or this one has
// read the platform for long enough that all of them have returned.
func (d *Directory) Corroborated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.corroboratedLocked()
}

// corroboratedLocked is Corroborated for a caller that holds the lock.
func (d *Directory) corroboratedLocked() bool {
	return d.confirmed || d.provedAt.Sub(d.readableSince) > corroborationPeriod
}

// NoCorroboratedPeer reports whether no other balancer has a complete list of the servers that may
// run: there is none, or all of them have just started, as after a loss of power. It is
// false until the balancers named in the settings have answered or failed to answer.
func (d *Directory) NoCorroboratedPeer() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seedsTried && !d.peerCorroborated
}
