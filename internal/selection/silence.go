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
	for address, a := range s.tracked {
		if a.suspect(now) && !s.mayHideFlow(a, now) {
			lost[address] = true
		}
	}
	return lost
}

// CutOff reports whether more than half of the agents of listed servers do not
// answer: then others are likely to reach them better. It is judged by a sample of
// all agents, and by all that are asked, so that the loss of one zone is not taken
// for it.
func (s *Selection) CutOff(now time.Time) bool {
	var sample, asked ratio
	for _, a := range s.tracked {
		if !a.Missing.IsZero() {
			continue
		}
		if a.probe {
			sample.add(a.suspect(now))
		}
		if a.suspect(now) || now.Sub(a.Heard) < usedFor {
			asked.add(a.suspect(now))
		}
	}
	return sample.most() && asked.most()
}

// ratio counts agents, and those of them that do not answer.
type ratio struct {
	all, silent int
}

func (r *ratio) add(silent bool) {
	r.all++
	if silent {
		r.silent++
	}
}

func (r *ratio) most() bool {
	return 2*r.silent > r.all
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
	limit := s.bounds.LostTimeout()
	return now.Sub(a.Asked) > limit && now.Sub(s.cutOffAt) > limit
}

// left reports whether the server of an agent that does not answer has stopped as
// planned.
func (a *Agent) left() bool {
	return a.Server.State == catalog.Draining && !a.Missing.IsZero()
}
