package selection

import (
	"cmp"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Unavailable reports whether a service has had no usable server for so long that none is
// expected to return: entries that expired in an outage of the platform are back sooner.
func (s *Selection) Unavailable(service string, now time.Time) bool {
	since, empty := s.unavailableSince[service]
	return empty && now.Sub(since) > removedAfter
}

// Choices appends to e the candidates of a new flow of the service, at most MaxChoices,
// with the shortest expected delay first. None is in an evacuated zone.
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
	perFlow := s.requestsPerFlow()
	for i := range s.scored {
		c := &s.scored[i]
		c.score = s.delay(c.agent, e.Class, perFlow, now) + s.coldDelay(c.agent, now)
	}
	s.sort(func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	for _, c := range s.scored[:min(len(s.scored), MaxChoices)] {
		e.Append(candidate(c.agent))
	}
}

// delay returns the expected time to an answer of an agent to a new flow, in
// seconds. It adds up the wait behind the requests that are outstanding, the queueing
// caused by the requests that the agent's flows are expected to send, and penalties.
func (s *Selection) delay(a *Agent, class steer.Class, perFlow float64, now time.Time) float64 {
	serviceTime := a.serviceTime(now)
	slots := float64(max(a.Server.Slots, 1))
	waiting := float64(a.outstanding(now)) + 1 - slots
	delay := serviceTime
	if waiting > 0 {
		delay += waiting * serviceTime / slots
	}
	demand := max(float64(a.Load.RequestsPerSecond), (float64(a.Load.Flows)+float64(a.PlacedFlows))*perFlow)
	utilization := min(demand*serviceTime/slots, maxUtilization)
	delay += serviceTime * utilization * utilization / (1 - utilization)
	delay += failureCost * float64(a.Load.Failures) * float64(class.TargetMillis) / 1000
	if a.Server.Zone != s.zone {
		delay += otherZoneCost * float64(class.TargetMillis) / 1000
	}
	switch {
	case a.suspect(now):
		delay += suspectPenalty
	case a.Load.State == steer.Silent:
		delay += silentPenalty
	}
	return delay
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

// requestsPerFlow returns the mean rate of requests of a flow at the agents that are
// compared, in requests per second; 0 if they have no flows.
func (s *Selection) requestsPerFlow() float64 {
	var rate, flows float64
	for _, c := range s.scored {
		rate += float64(c.agent.Load.RequestsPerSecond)
		flows += float64(c.agent.Load.Flows)
	}
	if flows == 0 {
		return 0
	}
	return rate / flows
}
