package selection

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// Lost returns the agents that do not answer and whose servers hold no flow any
// more. It returns none while the balancer itself is cut off.
func (s *Selection) Lost(now time.Time) map[netip.AddrPort]bool {
	lost := make(map[netip.AddrPort]bool)
	if s.CutOff(now) {
		s.cutOffAt = now
		return lost
	}
	for address, a := range s.agents {
		if a.suspect(now) && !s.mayHideFlow(a, now) {
			lost[address] = true
		}
	}
	return lost
}

// CutOff reports whether more than half of the agents of listed servers do not
// answer: then others are likely to reach them better.
func (s *Selection) CutOff(now time.Time) bool {
	listed, silent := 0, 0
	for _, a := range s.agents {
		if !a.Missing.IsZero() {
			continue
		}
		listed++
		if a.suspect(now) {
			silent++
		}
	}
	return 2*silent > listed
}

// Stale returns the agents to ask for a report: those whose latest is older than
// the given time, and those that do not answer.
func (s *Selection) Stale(since, now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for _, a := range s.agents {
		if a.Heard.Before(since) || a.suspect(now) {
			list = append(list, a.Address)
		}
	}
	return list
}

// mayHideFlow reports whether the server of an agent that does not answer may
// live and hold flows.
func (s *Selection) mayHideFlow(a *Agent, now time.Time) bool {
	return a.suspect(now) && !a.left() && !s.silentForLong(a, now) && s.missing(a) < goneAfter
}

// silentForLong reports whether an agent has answered nothing for so long that its
// server cannot be reached either. Only the time counts in which the balancer
// reached most others.
func (s *Selection) silentForLong(a *Agent, now time.Time) bool {
	return now.Sub(a.Asked) > lostAfter && now.Sub(s.cutOffAt) > lostAfter
}

// left reports whether the server of an agent that does not answer has stopped as
// planned.
func (a *Agent) left() bool {
	return a.Server.State == catalog.Draining && !a.Missing.IsZero()
}
