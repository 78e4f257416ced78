package selection

import (
	"cmp"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Hopeless reports whether a service has had no usable server for so long that
// none is about to return: entries that lapsed in an outage are back sooner.
func (s *Selection) Hopeless(service string, now time.Time) bool {
	since, empty := s.emptySince[service]
	return empty && now.Sub(since) > goneAfter
}

// Choices adds the agents that a new flow of the service should be offered to,
// best first.
func (s *Selection) Choices(e *steer.Envelope, hash uint64, service string, now time.Time) {
	s.near, s.far = s.near[:0], s.far[:0]
	for _, a := range s.byService[service] {
		if !s.usable(a) {
			continue
		}
		group := &s.far
		if a.Server.Zone == s.zone {
			group = &s.near
		}
		group.add(scored{a, s.ranker.Rank(hash, a.hash)}, ranked)
	}
	far := min(ranked-min(rankedNear, len(s.near)), len(s.far))
	s.scored = append(append(s.scored[:0], s.near[:min(len(s.near), ranked-far)]...), s.far[:far]...)
	if len(s.scored) > 0 {
		delete(s.emptySince, service)
	} else if _, ok := s.emptySince[service]; !ok {
		s.emptySince[service] = now
	}
	s.sort(byScore)
	perFlow := s.requestsPerFlow()
	for i := range s.scored {
		c := &s.scored[i]
		c.score = s.delay(c.agent, e.Class, perFlow, now)
	}
	s.sort(func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	for _, c := range s.scored[:min(len(s.scored), MaxChoices)] {
		e.Append(candidate(c.agent))
	}
}

// delay scores an agent for a new flow: the expected time to an answer, in
// seconds, from the requests that it has and from those that its flows will bring.
func (s *Selection) delay(a *Agent, class steer.Class, perFlow float64, now time.Time) float64 {
	service := a.service(now)
	slots := float64(max(a.Server.Slots, 1))
	waiting := float64(a.outstanding(now)) + 1 - slots
	delay := service
	if waiting > 0 {
		delay += waiting * service / slots
	}
	demand := max(float64(a.Load.RequestsPerSecond), (float64(a.Load.Flows)+float64(a.Placed))*perFlow)
	utilization := min(demand*service/slots, maxUtilization)
	delay += service * utilization * utilization / (1 - utilization)
	delay += failureCost * float64(a.Load.Failures) * float64(class.TargetMillis) / 1000
	if a.Server.Zone != s.zone {
		delay += localShare * float64(class.TargetMillis) / 1000
	}
	switch {
	case a.suspect(now):
		delay += suspectPenalty
	case a.Load.State == steer.Silent:
		delay += silentPenalty
	}
	return delay
}

// Penalties, in seconds, that put agents behind all others that answer.
const (
	silentPenalty  = 100
	suspectPenalty = 200
)

func (a *Agent) service(now time.Time) float64 {
	service := a.Load.ServiceTime
	if service == 0 {
		service = usualService
	}
	if now.Before(a.warm) {
		return service.Seconds() * coldFactor
	}
	return service.Seconds()
}

// requestsPerFlow returns the rate that a flow has on average among the agents
// that are compared.
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
