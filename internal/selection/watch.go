package selection

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Limits of the pings to agents. They keep the number of a balancer's pings independent of
// the number of agents.
const (
	// monitoredLimit is how many agents of the own zone are always pinged; others are
	// only while they are used.
	monitoredLimit = 32
	// sampleSize is how many agents of all zones are pinged to find out whether the
	// balancer reaches the others.
	sampleSize = 16
	// inUsePeriod is how long an agent counts as used after the latest packet to it, and
	// how long its latest report counts as current.
	inUsePeriod = 2 * time.Second
	// searchedPeriod is how long after a search its agents are pinged: the caller repeats
	// its packet within 1.6 s.
	searchedPeriod = 2 * time.Second
	// minReportAge is the shortest age of a report after which an agent is pinged again.
	minReportAge = 250 * time.Millisecond
	// meanPingInterval is the mean interval between two pings of the balancer to agents
	// that answer: 100 pings a second take 3 KB.
	meanPingInterval = 10 * time.Millisecond
	// maxPings bounds the pings of one round, also while many agents do not answer.
	maxPings = 24
	// foreignPingInterval is the pause between two pings to the address of a foreign entry while there
	// may be an agent, and missingPingInterval the one afterwards: an agent may start later.
	foreignPingInterval = 300 * time.Millisecond
	missingPingInterval = 5 * time.Second
	// maxForeignPings bounds the pings of one round to such addresses, except first ones.
	maxForeignPings = 8
	// maxFirstPings bounds the pings of one round while there are agents that were never
	// pinged, or not since their zone was evacuated or returned. Each agent is pinged once as
	// soon as it is listed, so that searches do not fail at agents that are down.
	maxFirstPings = 256
)

// selectMonitored selects the agents that are pinged even while they are not used: some of
// the balancer's own zone, and a sample of all. Foreign entries have
// none, as far as is known.
func (s *Selection) selectMonitored() {
	var near, sample topScored
	for _, a := range s.agents {
		a.monitored, a.sampled = false, false
		if s.foreign(a) {
			continue
		}
		c := scored{a, s.ranker.Rank(s.key, a.hash)}
		sample.add(c, sampleSize)
		if a.Server.Zone == s.zone {
			near.add(c, monitoredLimit)
		}
	}
	for _, c := range sample {
		c.agent.sampled = true
		s.track(c.agent)
	}
	for _, c := range near {
		c.agent.monitored = true
		s.track(c.agent)
	}
}

// topScored holds the agents with the highest scores, in descending order of score.
type topScored []scored

// add inserts an agent, unless there are limit agents already whose scores are at least as
// high. Of more than limit agents, it drops the one with the lowest score.
func (b *topScored) add(c scored, limit int) {
	if len(*b) == limit && c.score <= (*b)[limit-1].score {
		return
	}
	if len(*b) < limit {
		*b = append(*b, c)
	}
	at := len(*b) - 1
	for ; at > 0 && (*b)[at-1].score < c.score; at-- {
		(*b)[at] = (*b)[at-1]
	}
	(*b)[at] = c
}

// DueForPing returns the agents to ping now: first those that were not pinged since their zone was
// evacuated or returned; then, the one whose latest ping is the oldest first, those that were
// never pinged, those that do not answer, those in use whose report is too old, and those of
// evacuated zones whose latest ping is too old; last, some foreign entries. Agents that were recently searched are due if
// their report is older than inUsePeriod.
func (s *Selection) DueForPing(now time.Time) []netip.AddrPort {
	inUse, uninformed := 0, 0
	for at, a := range s.tracked {
		switch {
		case s.foreign(a):
		case a.inUse(now):
			inUse++
		case s.evacuated(a) || a.toldEvacuated:
		case a.UnansweredSince.IsZero() && !a.wasSuspect && !a.recentlySearched(now) && !a.lastPingAt.IsZero():
			delete(s.tracked, at)
		}
		if a.lastPingAt.IsZero() || s.misinformed(a) {
			uninformed++
		}
	}
	maxAge, noticeAge := max(minReportAge, time.Duration(inUse)*meanPingInterval), s.noticeAge()
	var foreign []*Agent
	s.scored = s.scored[:0]
	for _, a := range s.tracked {
		if s.foreign(a) {
			foreign = append(foreign, a)
			continue
		}
		age := now.Sub(a.LastReportAt)
		if a.lastPingAt.IsZero() || a.suspect(now) || a.unpinged() || a.inUse(now) && age > maxAge || a.recentlySearched(now) && age > inUsePeriod ||
			s.misinformed(a) || s.evacuated(a) && now.Sub(a.lastPingAt) > noticeAge {
			s.scored = append(s.scored, scored{a, lo.Ternary(s.misinformed(a), 1.0, 0)})
		}
	}
	s.sort(func(a, b scored) int {
		return cmp.Or(byScore(a, b), a.agent.lastPingAt.Compare(b.agent.lastPingAt), a.agent.Address.Compare(b.agent.Address))
	})
	limit := max(maxPings, min(uninformed, maxFirstPings))
	due := lo.Map(s.scored[:min(len(s.scored), limit)], func(c scored, _ int) netip.AddrPort { return c.agent.Address })
	return lo.Uniq(append(due, s.foreignDue(foreign, now)...))
}

// foreignDue returns the foreign entries at whose addresses an agent is looked for now: first those where
// none was, then, at intervals, the one that was looked for the longest ago. They never delay the pings
// to other agents.
func (s *Selection) foreignDue(foreign []*Agent, now time.Time) []netip.AddrPort {
	due := lo.Filter(foreign, func(a *Agent, _ int) bool {
		return a.lastPingAt.IsZero() || now.Sub(a.lastPingAt) >= lo.Ternary(s.sought(a, now), foreignPingInterval, missingPingInterval)
	})
	slices.SortFunc(due, func(a, b *Agent) int {
		return cmp.Or(a.lastPingAt.Compare(b.lastPingAt), a.Address.Compare(b.Address))
	})
	first := lo.CountBy(due, func(a *Agent) bool { return a.lastPingAt.IsZero() })
	limit := max(maxForeignPings, min(first, maxFirstPings))
	return lo.Map(due[:min(len(due), limit)], func(a *Agent, _ int) netip.AddrPort { return a.Address })
}

// unpinged reports whether a message to the agent is unanswered that was not a ping. An agent that
// passes a new flow on does not answer it, and must not count as silent for that.
func (a *Agent) unpinged() bool {
	return a.UnansweredSince.After(a.lastPingAt)
}

// recordSearch records that an agent is searched for the holder of a flow.
func (s *Selection) recordSearch(a *Agent, now time.Time) {
	a.LastSearchedAt = now
	s.track(a)
}

// recentlySearched reports whether the agent was searched for the holder of a flow within
// searchedPeriod, so that it matters whether it answers.
func (a *Agent) recentlySearched(now time.Time) bool {
	return now.Sub(a.LastSearchedAt) < searchedPeriod
}

// inUse reports whether the balancer needs the current load of an agent: it is monitored, so
// that it may be chosen for a new flow, it holds flows that were used within inUsePeriod, or
// it has reported a fault or a stopped server, whose end only its own reports show.
func (a *Agent) inUse(now time.Time) bool {
	return a.monitored || a.sampled || now.Sub(a.LastUsedAt) < inUsePeriod || a.Load.State != steer.Up || a.Load.Failures > 0 || a.serverStopped()
}

// outstanding returns the number of requests that are served before a further one. A report
// older than inUsePeriod is ignored: its requests may have ended.
func (a *Agent) outstanding(now time.Time) int {
	if now.Sub(a.LastReportAt) > inUsePeriod {
		return a.PlacedFlows
	}
	return int(a.Load.Outstanding) + a.PlacedFlows
}

// byScore compares for descending order of score.
func byScore(a, b scored) int {
	return cmp.Compare(b.score, a.score)
}

// nearFirst moves the agents that a flow is offered to, or may have been, to the front of a
// list in order of score: the first near of the own zone, and as many of the others as
// complete count. It returns how many were moved; their order, and that of the rest, stays.
func (s *Selection) nearFirst(list []scored, near, count int) int {
	own := lo.CountBy(list, func(c scored) bool { return c.agent.Server.Zone == s.zone })
	far := min(count-min(near, own), len(list)-own)
	near = min(count-far, own)
	moved := 0
	for i, c := range list {
		left := &far
		if c.agent.Server.Zone == s.zone {
			left = &near
		}
		if *left == 0 {
			continue
		}
		*left--
		copy(list[moved+1:i+1], list[moved:i])
		list[moved] = c
		moved++
	}
	return moved
}
