package selection

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Walk adds the agents of the services that may hold an unknown flow, most likely first:
// all, or if there are too many those that probably do. Later attempts start elsewhere, so
// that an agent that does not answer cannot hide the others. Agents known not to answer are
// passed over, and appended to aside: each is sent a copy of its own. A search is complete
// only if it takes in all agents and passes over none whose server may live. Agents that
// were asked in an earlier search, which began at asked, are left out; asked is as
// AskedSince returns it.
func (s *Selection) Walk(e *steer.Envelope, aside []steer.Candidate, hash uint64, services []string, asked, now time.Time) []steer.Candidate {
	s.scored = s.scored[:0]
	for _, service := range services {
		first := len(s.scored)
		for _, a := range s.byService[service] {
			if asked.IsZero() || a.unasked(asked, now) {
				s.scored = append(s.scored, scored{a, s.ranker.Rank(hash, a.hash)})
				s.search(a, now)
			}
		}
		s.orderWalk(s.scored[first:], e.Attempt)
	}
	list := s.scored
	e.ListVersion, e.More = s.listed, len(list) > steer.MaxCandidates
	e.Partial = e.Partial || slices.ContainsFunc(list, func(c scored) bool { return s.mayHideFlow(c.agent, now) })
	switch {
	case e.More && fansOut(e.Attempt):
		return aside
	case e.More:
		list = list[:likelyFactor*ranked]
	case fansOut(e.Attempt) && len(list) > 0:
		e.Partial = true
		return append(aside, lo.Map(list, func(c scored, _ int) steer.Candidate { return candidate(c.agent) })...)
	}
	e.Complete = !e.More && !e.Partial
	for _, c := range list {
		if c.agent.suspect(now) {
			aside = append(aside, candidate(c.agent))
		} else {
			e.Append(candidate(c.agent))
		}
	}
	return aside
}

// AskedSince returns when the search began after which only agents that did not
// answer then need to be asked, or zero if all need to be: there was no search, the
// list of agents is no longer the same, or too many did not answer.
func (s *Selection) AskedSince(asked time.Time, list uint16, services []string, now time.Time) time.Time {
	if asked.IsZero() || list != s.listed {
		return time.Time{}
	}
	unasked := 0
	for _, service := range services {
		unasked += lo.CountBy(s.byService[service], func(a *Agent) bool { return a.unasked(asked, now) })
	}
	if unasked > steer.MaxCandidates {
		return time.Time{}
	}
	return asked
}

// unasked reports whether the agent did not answer when a search began.
func (a *Agent) unasked(began, now time.Time) bool {
	return a.suspect(now) || a.Returned.After(began)
}

// orderWalk sorts the agents of a service: first those that a flow of this hash may
// have been offered to, also if the list has changed since, then the others, each part
// zone by zone.
func (s *Selection) orderWalk(list []scored, attempt uint8) {
	slices.SortStableFunc(list, byScore)
	likely := s.nearFirst(list, likelyFactor*rankedNear, likelyFactor*ranked)
	for _, part := range [][]scored{list[:likely], list[likely:]} {
		slices.SortStableFunc(part, s.compareZones)
		vary(part, attempt)
	}
}

// likelyFactor is how many times the agents that a flow is offered to come first in a
// search: since the flow was placed, as many may have joined the list or left it.
const likelyFactor = 2

// vary lets each attempt begin elsewhere, and each second one go the other way round.
func vary(part []scored, attempt uint8) {
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

// compareZones puts the balancer's own zone first.
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

// AllFresh reports whether every listed server of the services had just started
// when it was first listed here, as after a loss of power: flows that it does not
// know are older than it.
func (s *Selection) AllFresh(services []string) bool {
	for _, service := range services {
		for _, a := range s.byService[service] {
			if a.Missing.IsZero() && !a.fresh {
				return false
			}
		}
	}
	return true
}

// fansOut reports whether an attempt asks every agent by itself instead of sending one
// packet along them: a copy to each, or a query if there are many. Where links lose packets,
// two searches along many agents may both break, and three packets that miss their server
// within two seconds would break the flow.
func fansOut(attempt uint8) bool {
	return attempt >= 2 && attempt%2 == 0
}

// attemptStep is how far the start of a walk moves with each second attempt.
const attemptStep = 3
