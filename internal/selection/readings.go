package selection

import "time"

// unlistedFor returns for how long readings of the list have not contained the server of
// an agent. Time in which the list could not be read does not count, since it is unknown
// then whether the server lives; entries that expired in an outage of the platform return
// some time after its end.
func (s *Selection) unlistedFor(a *Agent) time.Duration {
	if a.UnlistedSince.IsZero() {
		return 0
	}
	since := a.UnlistedSince
	if s.readsResumedAt.After(since) {
		since = s.readsResumedAt
	}
	return s.lastReadAt.Sub(since)
}

// provedMissing returns for how long a server is certainly missing from the list: like unlistedFor, but
// by readings whose time other balancers need not be believed.
func (s *Selection) provedMissing(a *Agent) time.Duration {
	return s.unlistedFor(a) - s.lastReadAt.Sub(s.readSince)
}

// RecordRead records when the list of servers was last read, by this balancer or another reader, as
// far as is known, and a time after which it was read for certain.
func (s *Selection) RecordRead(at, since time.Time) {
	gap := at.Sub(s.lastReadAt)
	if !s.readSince.IsZero() {
		gap = max(gap, since.Sub(s.readSince))
	}
	if gap > s.bounds.MaxReadingAge()+readGapMargin {
		s.readsResumedAt = at
		if !s.lastReadAt.IsZero() {
			s.interruptedUntil = at.Add(removedAfter)
		}
	}
	s.lastReadAt, s.readSince = at, since
}

// RecordRun records that the balancer runs, which it must call at least every runInterval. Time in which
// it stood still is no time in which agents were silent: their answers have waited.
func (s *Selection) RecordRun(now time.Time) {
	pause := now.Sub(s.ranAt)
	known := !s.ranAt.IsZero()
	s.ranAt = now
	if !known || pause <= runInterval+runDelay {
		return
	}
	for _, a := range s.tracked {
		if !a.UnansweredSince.IsZero() {
			a.UnansweredSince = a.UnansweredSince.Add(pause - runInterval)
		}
	}
}

// Interrupted reports whether the platform was unavailable, or returned from a backup, so
// recently that entries of live servers may still be missing from the list.
func (s *Selection) Interrupted() bool {
	return s.readSince.Before(s.interruptedUntil)
}
