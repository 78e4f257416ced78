package selection

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Bounds of the questions to agents. They keep the messages of a balancer
// independent of the number of agents.
const (
	// nearLimit is how many agents of the own zone are always asked; others only
	// while they are used.
	nearLimit = 32
	// sampleSize is how many agents of all zones tell whether the balancer reaches
	// the others.
	sampleSize = 16
	// usedFor is how long an agent counts as used after the latest packet to it, and
	// as known after its latest report.
	usedFor = 2 * time.Second
	// searchFor is how long after a search its agents are asked: the caller repeats its
	// packet within 1.6 s.
	searchFor = 2 * time.Second
	// freshReport is the least age of a report after which an agent is asked again.
	freshReport = 250 * time.Millisecond
	// askPause is the pause between two questions of the balancer to agents that
	// answer, on average: 100 questions a second take 3 KB.
	askPause = 10 * time.Millisecond
	// maxDue bounds the questions of one round, also while many do not answer.
	maxDue = 24
	// maxNew bounds the questions of one round to agents that were never asked; each is
	// asked once as soon as it is listed, so that searches do not break at dead ones.
	maxNew = 256
)

// watch selects the agents that are asked although they are not used: those nearest
// to this balancer, and a sample of all.
func (s *Selection) watch() {
	var near, sample best
	for _, a := range s.agents {
		a.watched, a.probe = false, false
		c := scored{a, s.ranker.Rank(s.key, a.hash)}
		sample.add(c, sampleSize)
		if a.Server.Zone == s.zone {
			near.add(c, nearLimit)
		}
	}
	for _, c := range sample {
		c.agent.probe = true
		s.tracked[c.agent.Address] = c.agent
	}
	for _, c := range near {
		c.agent.watched = true
		s.tracked[c.agent.Address] = c.agent
	}
}

// best holds the agents with the highest scores, in descending order.
type best []scored

// add takes an agent, unless there are limit with a higher score.
func (b *best) add(c scored, limit int) {
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

// Due returns the agents to ask for a report now, the one whose question is the
// oldest first: those that were never asked, those that do not answer, and those in use
// whose report is too old. Those that are searched are due as well if not heard lately.
func (s *Selection) Due(now time.Time) []netip.AddrPort {
	inUse, unasked := 0, 0
	for address, a := range s.tracked {
		switch {
		case a.inUse(now):
			inUse++
		case a.Asked.IsZero() && !a.wasSuspect && !a.searched(now) && !a.pinged.IsZero():
			delete(s.tracked, address)
		}
		if a.pinged.IsZero() {
			unasked++
		}
	}
	fresh := max(freshReport, time.Duration(inUse)*askPause)
	s.scored = s.scored[:0]
	for _, a := range s.tracked {
		age := now.Sub(a.Heard)
		if a.pinged.IsZero() || a.suspect(now) || a.inUse(now) && age > fresh || a.searched(now) && age > usedFor {
			s.scored = append(s.scored, scored{agent: a})
		}
	}
	s.sort(func(a, b scored) int {
		return cmp.Or(a.agent.pinged.Compare(b.agent.pinged), a.agent.Address.Compare(b.agent.Address))
	})
	most := max(maxDue, min(unasked, maxNew))
	due := make([]netip.AddrPort, 0, most)
	for _, c := range s.scored[:min(len(s.scored), most)] {
		due = append(due, c.agent.Address)
	}
	return due
}

// search notes that an agent is searched for the holder of a flow.
func (s *Selection) search(a *Agent, now time.Time) {
	a.Searched = now
	s.tracked[a.Address] = a
}

// searched reports whether the agent was lately searched for the holder of a flow, so
// that it matters whether it answers.
func (a *Agent) searched(now time.Time) bool {
	return now.Sub(a.Searched) < searchFor
}

// inUse reports whether the balancer needs to know the load of an agent: it may be
// chosen soon, holds flows that were used lately, or has told of a fault whose end
// nobody else would tell.
func (a *Agent) inUse(now time.Time) bool {
	return a.watched || a.probe || now.Sub(a.Used) < usedFor || a.Load.State != steer.Up || a.Load.Failures > 0
}

// outstanding returns the requests that go before a further one. Reports that are
// older than an agent's requests tell nothing.
func (a *Agent) outstanding(now time.Time) int {
	if now.Sub(a.Heard) > usedFor {
		return a.Placed
	}
	return int(a.Load.Outstanding) + a.Placed
}

// byScore orders by descending score.
func byScore(a, b scored) int {
	return cmp.Compare(b.score, a.score)
}

// nearFirst moves the agents that a flow is offered to, or may have been, to the front
// of a list in order of score: the first few of the own zone, and of the others as many
// as are missing from count. It returns how many were moved; the order stays.
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
