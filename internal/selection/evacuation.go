package selection

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// Evacuations returns the newest set of evacuated zones that an update has brought.
func (s *Selection) Evacuations() catalog.Evacuations {
	return s.evacuations.Newest()
}

// ZoneEvacuated reports whether a zone is evacuated, so that its servers get no new flows. One that
// is retained stays so until a reading was made after the retention: the operator may have repeated
// the request shortly before its end.
func (s *Selection) ZoneEvacuated(zone string) bool {
	return s.evacuations.Has(zone, s.readSince)
}

// Evacuated reports whether a service has no server for new flows because of an evacuation: there
// are usable ones, all of them in evacuated zones.
func (s *Selection) Evacuated(service string) bool {
	evacuated := false
	for _, a := range s.byService[service] {
		if !s.usable(a) {
			continue
		}
		if !s.evacuated(a) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// evacuated reports whether the zone of an agent's server is evacuated.
func (s *Selection) evacuated(a *Agent) bool {
	return s.ZoneEvacuated(a.Server.Zone)
}

// updateEvacuations applies a set of evacuated zones, and tracks the agents that have to be told.
func (s *Selection) updateEvacuations(e catalog.Evacuations, now time.Time) {
	s.evacuations.Update(e, now)
	for _, a := range s.agents {
		if s.misinformed(a) {
			s.track(a)
		}
	}
}

// misinformed reports whether the latest ping to an agent has stated the opposite of what holds
// now for its zone.
func (s *Selection) misinformed(a *Agent) bool {
	return s.evacuated(a) != a.toldEvacuated
}

// noticeAge returns the age of a ping after which the agent of an evacuated zone is pinged again,
// whether or not it reports, because it may have restarted or the ping may have been lost.
func (s *Selection) noticeAge() time.Duration {
	evacuated := 0
	for _, a := range s.tracked {
		if s.evacuated(a) {
			evacuated++
		}
	}
	return max(inUsePeriod, time.Duration(evacuated)*meanPingInterval)
}
