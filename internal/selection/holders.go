package selection

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Holders lists the agents that may hold an unknown flow.
type Holders struct {
	// Agents are those to query, the likeliest holder first.
	Agents []netip.AddrPort
	// Silent are those that do not answer, at most steer.MaxCandidates.
	Silent []steer.Candidate
	// SilentMayHold is true if an agent that does not answer may hold the flow.
	SilentMayHold bool
	// ListVersion is the version of the list of agents.
	ListVersion uint16
}

// Holders returns all agents of the services that may hold a flow of the given hash, and
// records that they are searched.
func (s *Selection) Holders(hash uint64, services []string, now time.Time) Holders {
	h := Holders{ListVersion: s.listVersion}
	for _, service := range services {
		for _, c := range s.ordered(service, hash) {
			s.recordSearch(c.agent, now)
			if !c.agent.suspect(now) {
				h.Agents = append(h.Agents, c.agent.Address)
			} else if len(h.Silent) < steer.MaxCandidates {
				h.Silent = append(h.Silent, candidate(c.agent))
			}
			h.SilentMayHold = h.SilentMayHold || s.silentMayHold(c.agent, now)
		}
	}
	return h
}

// AnySilentMayHold reports whether any agent of the services does not answer but may hold
// flows.
func (s *Selection) AnySilentMayHold(services []string, now time.Time) bool {
	return slices.ContainsFunc(services, func(service string) bool {
		return slices.ContainsFunc(s.byService[service], func(a *Agent) bool { return s.silentMayHold(a, now) })
	})
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
