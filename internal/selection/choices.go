package selection

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/flowplacement"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Unavailable reports whether a service has had no usable server for so long that none is
// expected to return: entries that expired in an outage of the platform are back sooner.
func (s *Selection) Unavailable(service string, now time.Time) bool {
	since, empty := s.unavailableSince[service]
	return empty && now.Sub(since) > removedAfter
}

// Choices appends to e the candidates of a new flow of the service, at most MaxChoices,
// in the order of the placement. None is in an evacuated zone.
func (s *Selection) Choices(e *steer.Envelope, hash uint64, service string, now time.Time) {
	s.near, s.far = s.near[:0], s.far[:0]
	for _, a := range s.byService[service] {
		if !s.usable(a) || s.evacuated(a) {
			continue
		}
		group := &s.far
		if a.Server.Zone == s.zone {
			group = &s.near
		}
		group.add(scored{a, s.ranker.Rank(hash, a.hash)}, comparedAgents)
	}
	far := min(comparedAgents-min(comparedOwnZone, len(s.near)), len(s.far))
	s.scored = append(append(s.scored[:0], s.near[:min(len(s.near), comparedAgents-far)]...), s.far[:far]...)
	if len(s.scored) > 0 {
		delete(s.unavailableSince, service)
	} else if _, ok := s.unavailableSince[service]; !ok {
		s.unavailableSince[service] = now
	}
	s.sort(byScore)
	s.applyOrder(e.Class, now)
	for _, c := range s.scored[:min(len(s.scored), MaxChoices)] {
		e.Append(candidate(c.agent))
	}
}

// applyOrder sorts the compared agents for a new flow of a class.
func (s *Selection) applyOrder(class steer.Class, now time.Time) {
	s.candidates = s.candidates[:0]
	for i, c := range s.scored {
		s.candidates = append(s.candidates, s.compared(i, c.agent, class, now))
	}
	s.order(s.candidates)
	n := len(s.scored)
	for _, c := range s.candidates {
		s.scored = append(s.scored, s.scored[c.Index])
	}
	s.scored = append(s.scored[:0], s.scored[n:]...)
}

// compared returns what is known of an agent, under the given index.
func (s *Selection) compared(index int, a *Agent, class steer.Class, now time.Time) flowplacement.Candidate {
	c := flowplacement.Candidate{
		Index:       index,
		Outstanding: a.outstanding(now) - a.PlacedFlows,
		Placed:      a.PlacedFlows,
		Flows:       int(a.Load.Flows),
		Rate:        float64(a.Load.RequestsPerSecond),
		ServiceTime: a.serviceTime(now),
		Slots:       int(max(a.Server.Slots, 1)),
		ReportAge:   now.Sub(a.LastReportAt),
		OwnZone:     a.Server.Zone == s.zone,
		FaultCost:   failureCost*float64(a.Load.Failures)*float64(class.TargetMillis)/1000 + s.coldDelay(a, now),
	}
	if !c.OwnZone {
		c.ZoneCost = otherZoneCost * float64(class.TargetMillis) / 1000
	}
	switch {
	case a.suspect(now):
		c.FaultCost += suspectPenalty
	case a.Load.State == steer.Silent:
		c.FaultCost += silentPenalty
	}
	return c
}

// Penalties, in seconds, that sort agents behind all that answer.
const (
	// silentPenalty is for agents whose backend server does not answer.
	silentPenalty = 100
	// suspectPenalty is for agents that do not answer themselves.
	suspectPenalty = 200
)

// serviceTime returns the service time of the agent's server, in seconds.
func (a *Agent) serviceTime(now time.Time) float64 {
	serviceTime := a.Load.ServiceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	if now.Before(a.WarmUntil) {
		return serviceTime.Seconds() * warmupFactor
	}
	return serviceTime.Seconds()
}
