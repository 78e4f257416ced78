package selection

import (
	"net/netip"
	"time"
)

// coldPenalty, in seconds, sorts cold servers that have got their share of new flows behind all
// others that answer.
const coldPenalty = 50

// SetColdRates sets how many new flows a second a cold server can accept, by service. The map must
// not be changed afterwards.
func (s *Selection) SetColdRates(perSecond map[string]float64) {
	s.coldRates = perSecond
}

// coldRate returns how many new flows a second the agent's server can accept; 0 if it is not cold
// or its service has no limit.
func (s *Selection) coldRate(a *Agent, now time.Time) float64 {
	if !now.Before(a.WarmUntil) {
		return 0
	}
	return s.coldRates[a.Server.Service]
}

// coldDelay returns the penalty of a cold server that has got its share of new flows; else 0.
func (s *Selection) coldDelay(a *Agent, now time.Time) float64 {
	if s.coldRate(a, now) == 0 || a.coldShare.Due(now) {
		return 0
	}
	return coldPenalty
}

// RecordOutcome records whether the agent that a new flow was first offered to has admitted it.
// It reports whether that agent's server is cold and its new flows are limited.
func (s *Selection) RecordOutcome(offered netip.AddrPort, admitted bool, now time.Time) (limited bool) {
	for _, a := range s.byAddress[offered] {
		if s.coldRate(a, now) == 0 {
			continue
		}
		limited = true
		if admitted {
			a.coldShare.RecordAdmitted()
		} else {
			a.coldShare.RecordPassedOn(now)
		}
	}
	return limited
}
