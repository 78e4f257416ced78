package selection

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// SearchPath appends to e the agents of the services that may hold an unknown flow, the
// likeliest first: all of them or, if there are more than an envelope holds, those that the
// flow was probably offered to. Later attempts start at other agents, so that an agent that
// does not answer cannot block the search of the others each time. Agents that do not answer
// are skipped and appended to skipped: the caller of the method sends each a direct copy.
// previous is the start of an earlier search as PreviousSearch returns it: agents that
// answered then are left out. The result is skipped with the agents appended.
func (s *Selection) SearchPath(e *steer.Envelope, skipped []steer.Candidate, hash uint64, services []string, previous, now time.Time) []steer.Candidate {
	s.scored = s.scored[:0]
	for _, service := range services {
		first := len(s.scored)
		for _, a := range s.byService[service] {
			if !a.notSearched() && (previous.IsZero() || a.missedSearch(previous, now)) {
				s.scored = append(s.scored, scored{a, s.ranker.Rank(hash, a.hash)})
				s.recordSearch(a, now)
			}
		}
		s.orderSearchPath(s.scored[first:], e.Attempt)
	}
	list := s.scored
	e.ListVersion, e.More = s.listVersion, len(list) > steer.MaxCandidates
	switch {
	case e.More && fansOut(e.Attempt):
		return skipped
	case e.More:
		list = list[:likelyFactor*comparedAgents]
	case fansOut(e.Attempt) && len(list) > 0:
		return append(skipped, lo.Map(list, func(c scored, _ int) steer.Candidate { return candidate(c.agent) })...)
	}
	for _, c := range list {
		if c.agent.suspect(now) {
			skipped = append(skipped, candidate(c.agent))
		} else {
			e.Append(candidate(c.agent))
		}
	}
	return skipped
}

// PreviousSearch returns the start of the previous search, given as previous, if only the
// agents that did not answer in it need to be searched now. It returns zero if all need to
// be: there was no search, the list of agents has changed, or more agents did not answer than
// an envelope holds.
func (s *Selection) PreviousSearch(previous time.Time, listVersion uint16, services []string, now time.Time) time.Time {
	if previous.IsZero() || listVersion != s.listVersion {
		return time.Time{}
	}
	missedSearch := 0
	for _, service := range services {
		missedSearch += lo.CountBy(s.byService[service], func(a *Agent) bool { return a.missedSearch(previous, now) })
	}
	if missedSearch > steer.MaxCandidates {
		return time.Time{}
	}
	return previous
}

// missedSearch reports whether the agent did not answer when a search began at start, or
// has resumed answering since.
func (a *Agent) missedSearch(start, now time.Time) bool {
	return a.suspect(now) || a.RecoveredAt.After(start)
}

// orderSearchPath sorts the agents of a service, which are scored by their rank for a flow:
// first those that the flow may have been offered to, even if the list has changed since,
// then the others, each part zone by zone.
func (s *Selection) orderSearchPath(list []scored, attempt uint8) {
	slices.SortStableFunc(list, byScore)
	likely := s.nearFirst(list, likelyFactor*comparedOwnZone, likelyFactor*comparedAgents)
	for _, part := range [][]scored{list[:likely], list[likely:]} {
		slices.SortStableFunc(part, s.compareZones)
		varyStart(part, attempt)
	}
}

// likelyFactor multiplies the number of agents compared for a new flow, to give the number
// that come first in a search: since the flow was placed, as many agents again may have
// joined the list or left it.
const likelyFactor = 2

// varyStart rotates a part of a search path, so that every second attempt starts at another
// agent, and reverses it for odd attempts.
func varyStart(part []scored, attempt uint8) {
	if len(part) == 0 {
		return
	}
	first := int(attempt) / 2 * attemptStep % len(part)
	slices.Reverse(part[:first])
	slices.Reverse(part[first:])
	slices.Reverse(part)
	if attempt%2 == 1 {
		slices.Reverse(part)
	}
}

// compareZones orders agents by zone, the balancer's own zone first.
func (s *Selection) compareZones(a, b scored) int {
	x, y := a.agent.Server.Zone, b.agent.Server.Zone
	switch {
	case x == y:
		return 0
	case x == s.zone:
		return -1
	case y == s.zone:
		return 1
	default:
		return cmp.Compare(x, y)
	}
}

// AllRecentlyStarted reports whether every listed server had recently started when it was first
// listed here, as after a power loss: flows that none of them holds are then older than the
// servers. A server whose agent states that it has stopped does not count: its entry is about to
// expire, and says nothing about when the others started. An empty list says nothing about any: all
// entries may have expired while the platform was unavailable.
func (s *Selection) AllRecentlyStarted() bool {
	listed := lo.Filter(lo.Values(s.agents), func(a *Agent, _ int) bool { return a.UnlistedSince.IsZero() && !s.foreign(a) })
	return len(listed) > 0 && lo.EveryBy(listed, func(a *Agent) bool { return a.recentlyStarted || a.serverStopped() })
}

// AllStartedTogether reports whether every listed server has started together with this balancer,
// or later.
func (s *Selection) AllStartedTogether() bool {
	return lo.EveryBy(lo.Values(s.agents), func(a *Agent) bool { return a.startedTogether || !s.mayRun(a) })
}

// mayRun reports whether the server of an agent is listed and not known to have stopped.
func (s *Selection) mayRun(a *Agent) bool {
	return a.UnlistedSince.IsZero() && !a.serverStopped() && !s.foreign(a)
}

// fansOut reports whether an attempt addresses every agent directly instead of sending one
// packet from agent to agent: with a copy to each, or a query if there are many. On links
// that lose packets, two searches along many agents may both fail, and the flow breaks if
// three packets miss their server within two seconds.
func fansOut(attempt uint8) bool {
	return attempt >= 2 && attempt%2 == 0
}

// attemptStep is how many agents the start of a search path moves with every second attempt.
const attemptStep = 3
