// Package presence decides whether the backend server that balancers list beside an agent has
// stopped. A wrong statement takes a server out of service at every balancer, so it rests on what
// the agent observes itself, and only for as long as observations renew it. Times of day are not
// compared: a server states when its process started, which is before it listens, and by a clock
// that may have been set since.
package presence

import "time"

// Times of probes, which are connection attempts to the server on the same VM.
const (
	// ProbeInterval is the time between two probes while no server listens. A server that has
	// started is taken for stopped for at most as long once it listens.
	ProbeInterval = 100 * time.Millisecond
	// ProbeTimeout limits a probe. The VM accepts or refuses a connection within a millisecond.
	ProbeTimeout = 200 * time.Millisecond
	// refusalTimeout is how long a refused probe proves that no server listens: until the next
	// one has ended, even if that gets no answer and the VM is short of processor time.
	refusalTimeout = 500 * time.Millisecond
)

// Evidence is what shows that a server runs, or no longer proves that it does not.
type Evidence string

// Evidence that a server may run.
const (
	// None means that the listed server has stopped, or that none is listed.
	None Evidence = ""
	// Unprobed means that no probe has ended yet.
	Unprobed Evidence = "unprobed"
	// Accepted means that a probe was accepted.
	Accepted Evidence = "accepted"
	// Unanswered means that a probe was neither accepted nor refused.
	Unanswered Evidence = "unanswered"
	// Packet means that the server has sent a packet on a flow.
	Packet Evidence = "packet"
	// Outdated means that the latest refused probe is too old.
	Outdated Evidence = "outdated"
	// OtherListed means that balancers list another server, which has not been probed.
	OtherListed Evidence = "otherListed"
)

// Presence is what an agent knows about the server on its VM. The zero value knows nothing. It is
// not safe for concurrent use.
type Presence struct {
	// probeDueAt is when the next probe is due while no server is known to run.
	probeDueAt time.Time
	// refusedAt is when the latest probe began that was refused; zero if a server may run.
	refusedAt time.Time
	// mayRunAt is when the latest evidence was found that a server may run, and evidence what it
	// was; zero before. It is never after refusedAt unless that is zero.
	mayRunAt time.Time
	evidence Evidence
	// doubtedSince is when a server that is known to run began to leave packets unanswered, as
	// RecordUnanswered stated last, and doubted is true until the probe for that is due.
	doubtedSince time.Time
	doubted      bool
	// listed is the start of the server that balancers list, as a Unix time in milliseconds, and
	// listedAt when a ping stated it first; zero before the first statement.
	listed   int64
	listedAt time.Time
}

// ProbeDue reports whether a probe is due, and if so takes it as begun. None is while a server is
// known to run: its packets show that from then on, until it leaves one unanswered.
func (p *Presence) ProbeDue(now time.Time) bool {
	known := p.refusedAt.IsZero() && !p.mayRunAt.IsZero() && !p.doubted
	if known || now.Before(p.probeDueAt) {
		return false
	}
	p.probeDueAt, p.doubted = now.Add(ProbeInterval), false
	return true
}

// RecordUnanswered records that the server has left a packet unanswered since a time which a running
// server answers at once. One probe is due for each such time.
func (p *Presence) RecordUnanswered(since time.Time) {
	if since.After(p.doubtedSince) {
		p.doubtedSince, p.doubted = since, true
	}
}

// RecordRefused records that a probe was refused that began at the given time: no server listened
// at some time since.
func (p *Presence) RecordRefused(began time.Time) {
	if began.After(p.mayRunAt) && began.After(p.refusedAt) {
		p.refusedAt = began
	}
}

// RecordMayRun records evidence that a server may run now.
func (p *Presence) RecordMayRun(e Evidence, now time.Time) {
	p.refusedAt, p.mayRunAt, p.evidence = time.Time{}, now, e
}

// RecordListed records the start of the server that a ping states. Balancers read the platform at
// different times, so the server that started last counts. A probe is due for another one.
func (p *Presence) RecordListed(born int64, now time.Time) {
	if born > p.listed {
		p.listed, p.listedAt, p.probeDueAt = born, now, now
	}
}

// Stopped returns the start of the listed server if that has stopped, as a Unix time in
// milliseconds, or 0 if it may run. A server has stopped if a connection to it is refused after
// balancers have listed it: it is listed once it listens. One that is listed before it listens is
// taken for stopped until it does.
func (p *Presence) Stopped(now time.Time) int64 {
	if p.Evidence(now) != None {
		return 0
	}
	return p.listed
}

// Evidence returns why the listed server may run, or None.
func (p *Presence) Evidence(now time.Time) Evidence {
	switch {
	case p.refusedAt.IsZero() && p.mayRunAt.IsZero():
		return Unprobed
	case p.refusedAt.IsZero():
		return p.evidence
	case !p.listedAt.Before(p.refusedAt):
		return OtherListed
	case now.Sub(p.refusedAt) > refusalTimeout:
		return Outdated
	default:
		return None
	}
}

// Down reports whether no server listened at the latest probe.
func (p *Presence) Down() bool {
	return !p.refusedAt.IsZero()
}
