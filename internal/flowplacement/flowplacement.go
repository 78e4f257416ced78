// Package flowplacement orders the agents that a new flow may be offered to, by what a balancer
// knows of their load.
package flowplacement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate is what a balancer knows of an agent that it compares for a new flow.
type Candidate struct {
	// Index identifies the agent to the caller.
	Index int
	// Outstanding is the number of requests in the latest report, and Placed the number of flows
	// that this balancer has offered to the agent since.
	Outstanding, Placed int
	// Flows and Rate are the open flows in that report, and their requests per second.
	Flows int
	Rate  float64
	// ServiceTime is the time that the server takes for a request, in seconds; more than 0.
	ServiceTime float64
	// Slots is how many requests the server processes concurrently; at least 1.
	Slots int
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// OwnZone is true if the agent is in the zone of the balancer.
	OwnZone bool
	// ZoneCost and FaultCost are added to the expected delay, in seconds: FaultCost for failures
	// and silence, which no free capacity makes up for.
	ZoneCost, FaultCost float64

	delay float64
}

const (
	// maxUtilization bounds the queueing term of the expected delay, which has no limit
	// as the utilization approaches 1.
	maxUtilization = 0.97
	// drawn is how many candidates are drawn and compared. With two, slow servers get more
	// than their share; with four, balancers choose the same servers more often.
	drawn = 3
)

// Best sorts the candidates by expected delay, the shortest first.
func Best(list []Candidate) {
	setDelays(list)
	sortByDelay(list)
}

// Policy places flows evenly although reports are old and many balancers place flows at the
// same time: it compares only a few candidates, drawn at random, so that the balancers do not
// all choose the same one. It is not safe for concurrent use.
type Policy struct {
	random *rand.Rand
}

// NewPolicy returns a policy that draws from the given source.
func NewPolicy(random *rand.Rand) *Policy {
	return &Policy{random: random}
}

// Order sorts the candidates: first the drawn ones by expected delay, one of them of the own
// zone if there is one, then the others in random order. Candidates whose cost of faults exceeds
// the lowest by more than their service time come last.
func (p *Policy) Order(list []Candidate) {
	setDelays(list)
	sound := list[:partitionSound(list)]
	p.random.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	if i := slices.IndexFunc(sound, func(c Candidate) bool { return c.OwnZone }); i > 0 {
		sound[0], sound[i] = sound[i], sound[0]
	}
	sortByDelay(sound[:min(drawn, len(sound))])
	sortByDelay(list[len(sound):])
}

// partitionSound moves the candidates that may be drawn to the front and returns their number.
func partitionSound(list []Candidate) int {
	if len(list) == 0 {
		return 0
	}
	lowest := slices.MinFunc(list, func(a, b Candidate) int { return cmp.Compare(a.FaultCost, b.FaultCost) }).FaultCost
	n := 0
	for i := range list {
		if list[i].FaultCost <= lowest+list[i].ServiceTime {
			list[n], list[i] = list[i], list[n]
			n++
		}
	}
	return n
}

// setDelays sets the expected time to an answer of each candidate, in seconds. It adds up the
// wait behind the requests that are outstanding, the queueing caused by the requests that the
// open flows are expected to send, and the costs.
func setDelays(list []Candidate) {
	perFlow := requestsPerFlow(list)
	for i := range list {
		c := &list[i]
		slots := float64(c.Slots)
		waiting := float64(c.Outstanding+c.Placed) + 1 - slots
		c.delay = c.ServiceTime
		if waiting > 0 {
			c.delay += waiting * c.ServiceTime / slots
		}
		demand := max(c.Rate, (float64(c.Flows)+float64(c.Placed))*perFlow)
		utilization := min(demand*c.ServiceTime/slots, maxUtilization)
		c.delay += c.ServiceTime*utilization*utilization/(1-utilization) + c.ZoneCost + c.FaultCost
	}
}

// requestsPerFlow returns the mean rate of requests of a flow at the candidates, in requests
// per second; 0 if they have no flows.
func requestsPerFlow(list []Candidate) float64 {
	var rate, flows float64
	for _, c := range list {
		rate += c.Rate
		flows += float64(c.Flows)
	}
	if flows == 0 {
		return 0
	}
	return rate / flows
}

func sortByDelay(list []Candidate) {
	slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(a.delay, b.delay) })
}
