package selection

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Holders lists the agents that may hold an unknown flow.
type Holders struct {
	// Agents are those to query: first those of the given services, the likeliest holder first,
	// then those of the others.
	Agents []netip.AddrPort
	// Silent are agents of the given services that do not answer, at most
	// steer.MaxCandidates.
	Silent []steer.Candidate
	// ListVersion is the version of the list of agents, and Changes the number of the latest
	// change of an agent.
	ListVersion uint16
	Changes     uint64
}

// Holders returns the agents of the services, and those of all others if it is unknown which may
// hold a flow of the given hash. It records that they are searched. If the agents up to the change
// with the number denied have denied the flow, only those that have changed since are returned;
// denied is 0 if none has.
func (s *Selection) Holders(hash uint64, services []string, all bool, denied uint64, now time.Time) Holders {
	h := Holders{ListVersion: s.listVersion, Changes: s.changes}
	for _, service := range services {
		for _, c := range s.ordered(service, hash) {
			if c.agent.notSearched() || c.agent.deniedBy(denied) {
				continue
			}
			s.recordSearch(c.agent, now)
			if !c.agent.suspect(now) {
				h.Agents = append(h.Agents, c.agent.Address)
			} else if len(h.Silent) < steer.MaxCandidates {
				h.Silent = append(h.Silent, candidate(c.agent))
			}
		}
	}
	for service, agents := range s.byService {
		if !all || slices.Contains(services, service) {
			continue
		}
		for _, a := range agents {
			if s.foreign(a) || a.notSearched() || a.deniedBy(denied) {
				continue
			}
			s.recordSearch(a, now)
			if !a.suspect(now) {
				h.Agents = append(h.Agents, a.Address)
			}
		}
	}
	h.Agents = lo.Uniq(h.Agents)
	return h
}

// WithoutStopped returns those of the agents whose servers have not stopped for good.
func (s *Selection) WithoutStopped(agents []netip.AddrPort) []netip.AddrPort {
	return lo.Reject(agents, func(at netip.AddrPort, _ int) bool {
		return len(s.byAddress[at]) > 0 && lo.EveryBy(s.byAddress[at], (*Agent).stoppedForGood)
	})
}

// deniedBy reports whether the agent is among those that have denied a flow, up to the change with
// the given number.
func (a *Agent) deniedBy(denied uint64) bool {
	return denied > 0 && a.changed <= denied
}

// OfServices returns those of the agents that are of the services, or all of them.
func (s *Selection) OfServices(agents []netip.AddrPort, services []string, all bool) []netip.AddrPort {
	return lo.Filter(agents, func(at netip.AddrPort, _ int) bool {
		return all || lo.SomeBy(s.byAddress[at], func(a *Agent) bool { return slices.Contains(services, a.Server.Service) })
	})
}

// NeverPinged returns those of the agents that have not been pinged yet.
func (s *Selection) NeverPinged(agents []netip.AddrPort) []netip.AddrPort {
	return lo.Filter(agents, func(at netip.AddrPort, _ int) bool { return s.neverPinged(at) })
}

// NeverPingedOf does the same for the candidates of an envelope.
func (s *Selection) NeverPingedOf(e *steer.Envelope) (agents []netip.AddrPort) {
	for _, c := range e.Candidates[:e.Count] {
		if s.neverPinged(c.Agent) {
			agents = append(agents, c.Agent)
		}
	}
	return agents
}

func (s *Selection) neverPinged(at netip.AddrPort) bool {
	for _, a := range s.byAddress[at] {
		if a.lastPingAt.IsZero() {
			return true
		}
	}
	return false
}

// registrationPeriod is how long after the first reading of the list servers may still register
// that have started together with this balancer.
const registrationPeriod = 600 * time.Millisecond

// Registering reports whether servers that have started together with this balancer are about to
// register: some have, and the list was first read a moment ago.
func (s *Selection) Registering(now time.Time) bool {
	return !s.listedAt.IsZero() && now.Sub(s.listedAt) < registrationPeriod &&
		lo.SomeBy(lo.Values(s.agents), func(a *Agent) bool { return a.startedTogether && !s.foreign(a) })
}

// SilentMayHold reports whether an agent of the services, or any agent, does not answer although
// its server may live and hold flows.
func (s *Selection) SilentMayHold(services []string, all bool, now time.Time) bool {
	return lo.SomeBy(lo.Values(s.tracked), func(a *Agent) bool {
		return (all || slices.Contains(services, a.Server.Service)) && s.silentMayHold(a, now)
	})
}

// AllListed reports whether the agents that h lists, those that have denied the flow before, and
// those that were silent then are all agents that answer now.
func (s *Selection) AllListed(h Holders) bool {
	return h.Changes == s.changes
}

// ordered returns the agents of a service in the order of a first search. The list is
// valid until the next call of any method.
func (s *Selection) ordered(service string, hash uint64) []scored {
	s.scored = s.scored[:0]
	for _, a := range s.byService[service] {
		s.scored = append(s.scored, scored{a, s.ranker.Rank(hash, a.hash)})
	}
	s.orderSearchPath(s.scored, 0)
	return s.scored
}
