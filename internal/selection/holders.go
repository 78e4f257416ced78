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
	// ListVersion is the version of the list of agents, and Recoveries how often one of them had
	// answered again after it had been silent.
	ListVersion uint16
	Recoveries  uint32
}

// Holders returns the agents of the services, and those of all others if it is unknown which may
// hold a flow of the given hash. It records that they are searched.
func (s *Selection) Holders(hash uint64, services []string, all bool, now time.Time) Holders {
	h := Holders{ListVersion: s.listVersion, Recoveries: s.recoveries}
	for _, service := range services {
		for _, c := range s.ordered(service, hash) {
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
			if s.foreign(a) {
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

// SilentMayHold reports whether an agent of the services, or any agent, does not answer although
// its server may live and hold flows.
func (s *Selection) SilentMayHold(services []string, all bool, now time.Time) bool {
	return lo.SomeBy(lo.Values(s.tracked), func(a *Agent) bool {
		return (all || slices.Contains(services, a.Server.Service)) && s.silentMayHold(a, now)
	})
}

// AllListed reports whether the agents that h lists, and those that were silent then, are all
// agents that answer now.
func (s *Selection) AllListed(h Holders) bool {
	return h.ListVersion == s.listVersion && h.Recoveries == s.recoveries
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
