package selection

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// LostAgents returns the agents that do not answer and whose servers no longer hold any flow.
// It returns none while the balancer itself is cut off.
func (s *Selection) LostAgents(now time.Time) map[netip.AddrPort]bool {
	lost := make(map[netip.AddrPort]bool)
	if s.CutOff(now) {
		s.lastCutOffAt = now
		return lost
	}
	for _, a := range s.tracked {
		if a.suspect(now) && lo.NoneBy(s.byAddress[a.Address], func(a *Agent) bool { return s.silentMayHold(a, now) }) {
			lost[a.Address] = true
		}
	}
	return lost
}

// CutOff reports whether more than half of the agents of listed servers do not answer, so
// that other balancers are likely to reach them better. It requires this both of a sample
// of all agents and of all agents that are pinged: the loss of one zone then does not
// count as the loss of this balancer's own connection.
func (s *Selection) CutOff(now time.Time) bool {
	var sample, pinged ratio
	for _, a := range s.tracked {
		if !a.UnlistedSince.IsZero() || s.foreign(a) {
			continue
		}
		if a.sampled {
			sample.add(a.suspect(now))
		}
		if a.suspect(now) || now.Sub(a.LastReportAt) < inUsePeriod {
			pinged.add(a.suspect(now))
		}
	}
	return sample.majoritySilent() && pinged.majoritySilent()
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

func (r *ratio) majoritySilent() bool {
	return 2*r.silent > r.all
}

// silentMayHold reports whether an agent does not answer, or has not had the time to, although its
// server may live and hold flows.
func (s *Selection) silentMayHold(a *Agent, now time.Time) bool {
	if a.unheard() {
		return !a.suspect(now)
	}
	if s.foreign(a) {
		return s.sought(a, now) && s.provedMissing(a) < removedAfter
	}
	return a.suspect(now) && !a.stoppedForGood() && !a.leftAfterDraining() && !s.silentPastLimit(a, now) && s.provedMissing(a) < removedAfter
}

// sought reports whether there may be an agent beside the server of a foreign entry: it may be one of a
// service that the operator no longer defines, and restart at present. Only an agent that has left pings
// unanswered for as long as others may be silent counts as missing.
func (s *Selection) sought(a *Agent, now time.Time) bool {
	return a.UnansweredSince.IsZero() || now.Sub(a.UnansweredSince) <= s.bounds.LostTimeout()
}

// unheard reports whether the agent of a server that counts as gone has not answered yet. The server
// may live and hold flows without reaching the platform, so the agent is pinged, and searched once it
// answers.
func (a *Agent) unheard() bool {
	return a.countsAsGone && a.LastReportAt.IsZero() && a.RecoveredAt.IsZero()
}

// silentPastLimit reports whether an agent has not answered for so long that its server
// counts as unreachable, too. Only time since the balancer was last cut off counts.
func (s *Selection) silentPastLimit(a *Agent, now time.Time) bool {
	limit := s.bounds.LostTimeout()
	return now.Sub(a.UnansweredSince) > limit && now.Sub(s.lastCutOffAt) > limit
}

// serverStopped reports whether the agent has stated that the listed server has stopped. Its
// statement does not apply to a server that started later at the address.
func (a *Agent) serverStopped() bool {
	return a.Load.StoppedServer != 0 && a.Load.StoppedServer == uint32(a.Server.Born)
}

// stoppedForGood reports whether the listed server has stopped by the statement of its agent, and holds
// no flow even if the agent no longer answers. A server that starts to listen after the statement
// gets no packet if the agent was leaving, before another one answers; otherwise it is listed.
func (a *Agent) stoppedForGood() bool {
	return a.serverStopped() && (a.Load.State == steer.Leaving || !a.UnlistedSince.IsZero())
}

// notSearched reports whether no search asks the agent: it has not answered yet, or its server has
// stopped for good.
func (a *Agent) notSearched() bool {
	return a.unheard() || a.stoppedForGood()
}

// NotifyStopped calls changed for each agent that states since the previous call that its listed
// server has stopped, or no longer does.
func (s *Selection) NotifyStopped(changed func(a Agent, stopped bool)) {
	for _, a := range s.tracked {
		if stopped := a.serverStopped(); stopped != a.wasStopped {
			a.wasStopped = stopped
			changed(*a, stopped)
		}
	}
}

// StoppedServers returns how many listed servers of a service have stopped by the statement of their
// agents.
func (s *Selection) StoppedServers(service string) int {
	return lo.CountBy(s.byService[service], func(a *Agent) bool { return a.UnlistedSince.IsZero() && a.serverStopped() })
}

// AllStoppedServers returns how many listed servers of all services have stopped by the statement of
// their agents.
func (s *Selection) AllStoppedServers() int {
	return lo.SumBy(lo.Keys(s.byService), s.StoppedServers)
}

// leftAfterDraining reports whether the server of an agent has stopped as planned: it was
// draining when it was last listed, and is no longer listed. A server that is listed there instead
// may hold flows, even if it states an earlier start.
func (a *Agent) leftAfterDraining() bool {
	return a.Server.State == catalog.Draining && !a.UnlistedSince.IsZero() && !a.earlierListed
}
