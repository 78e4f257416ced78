// Package evenload simulates, without network and in virtual time, how balancers place packet
// flows by reports of the agents' loads that are old, and measures how even the load becomes.
// Balancers use the selection of the product; agents and servers are models.
package evenload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Parameters of the model.
const (
	zones = 3
	slots = 2
	// Demand of a zone varies by the sine of swing around its mean, with a period of
	// swingPeriod; zones are a third of the period apart.
	swing       = 0.55
	swingPeriod = 15 * time.Second
	// hop is the time that a datagram takes.
	hop = 500 * time.Microsecond
	// flowRate is the mean number of requests per second of a long flow, and lifetime its mean
	// duration. Each flow has a rate of its own, between 0.5 and 1.5 of the mean.
	flowRate = 2.0
	lifetime = time.Minute
	// startup is the time in which callers open the first long flows, settle the time before the
	// measurement, and measured its length.
	startup  = 5 * time.Second
	settle   = 20 * time.Second
	measured = 60 * time.Second
	// A request takes shortWork, or longWork with the probability longShare, at speed 1; both
	// are means of exponential distributions.
	shortWork = 8 * time.Millisecond
	longWork  = 60 * time.Millisecond
	longShare = 0.1
)

// objective is the class of all flows.
var objective = steer.Class{TargetMillis: 100, TimeoutMillis: 3000}

// Scenario is a size, a load and a way to place flows.
type Scenario struct {
	// Servers and Balancers are their numbers.
	Servers, Balancers int
	// Uneven makes every other server run at 1.2 of the nominal speed, and the rest at 0.55.
	Uneven bool
	// Long makes flows last for a minute on average; otherwise each request has its own flow.
	Long bool
	// Utilization is the mean demand relative to the capacity of all servers.
	Utilization float64
	// Placement names the way to place flows.
	Placement string
	// Seed is the seed of all random choices.
	Seed uint64
}

// simulation is the state of a run.
type simulation struct {
	Scenario
	// random draws for balancers and the network, demand for callers, so that all placements
	// meet the same demand.
	random, demand *rand.Rand
	start          time.Time
	now            time.Time
	events         events
	sequence       uint64
	balancers      []*balancer
	servers        []*server
	// placement is the way to place flows, of the name Scenario.Placement.
	placement placement
	// flows counts the flows opened so far.
	flows uint64
	// idle counts the servers without a request, and busy sums up the work of each server in
	// the measured time.
	idle    int
	busy    []time.Duration
	outcome Outcome
}

// Run simulates the scenario.
func (c Scenario) Run() Outcome {
	s := &simulation{Scenario: c, random: rand.New(rand.NewPCG(c.Seed, 0)), demand: rand.New(rand.NewPCG(c.Seed, 1)), start: time.Unix(1_000_000, 0)}
	s.now = s.start
	s.outcome.Scenario, s.placement = c, placements[c.Placement]
	s.busy = make([]time.Duration, c.Servers)
	for i := range c.Servers {
		s.servers = append(s.servers, newServer(s, i))
	}
	s.idle = len(s.servers)
	for i := range c.Balancers {
		s.balancers = append(s.balancers, newBalancer(s, i))
	}
	capacity := 0.0
	for _, v := range s.servers {
		capacity += v.speed * slots
	}
	requests := c.Utilization * capacity / meanWork().Seconds()
	for z := range zones {
		if c.Long {
			s.openFlows(z, requests/zones/flowRate)
		} else {
			s.arrive(z, requests/zones)
		}
	}
	end := s.start.Add(settle + measured)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.outcome.withTotals(s.busy)
}

// meanWork returns the mean service time at speed 1.
func meanWork() time.Duration {
	return time.Duration((1-longShare)*float64(shortWork) + longShare*float64(longWork))
}

// work draws the service time of a request at speed 1.
func work(r *rand.Rand) time.Duration {
	mean := shortWork
	if r.Float64() < longShare {
		mean = longWork
	}
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// after schedules an event.
func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

// exponential draws the time to the next event of a Poisson process.
func exponential(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}

// wanted reports whether an event at the highest rate of a zone's demand is one at its present
// rate.
func (s *simulation) wanted(zone int, r *rand.Rand) bool {
	phase := s.now.Sub(s.start).Seconds()/swingPeriod.Seconds() + float64(zone)/zones
	return r.Float64()*(1+swing) < 1+swing*math.Sin(2*math.Pi*phase)
}

// arrive lets requests of a zone arrive, each on its own flow.
func (s *simulation) arrive(zone int, perSecond float64) {
	s.after(exponential(s.demand, perSecond*(1+swing)), func() {
		s.arrive(zone, perSecond)
		if s.wanted(zone, s.demand) {
			s.open(&flow{zone: zone})
		}
	})
}

// openFlows opens the first long flows of a zone, and as many more as end.
func (s *simulation) openFlows(zone int, count float64) {
	longFlow := func() {
		s.open(&flow{zone: zone, rate: flowRate * (0.5 + s.demand.Float64()), endsAt: s.now.Add(exponential(s.demand, 1/lifetime.Seconds()))})
	}
	for range int(count) {
		s.after(time.Duration(s.demand.Float64()*float64(startup)), longFlow)
	}
	var next func()
	next = func() {
		longFlow()
		s.after(exponential(s.demand, count/lifetime.Seconds()), next)
	}
	s.after(exponential(s.demand, count/lifetime.Seconds()), next)
}

// open sends the SYN of a flow to a random balancer of the zone.
func (s *simulation) open(f *flow) {
	s.flows++
	f.random = rand.New(rand.NewPCG(s.Seed, 2+s.flows))
	b := s.balancerOf(f.zone)
	var e steer.Envelope
	e.Class = objective
	b.selection.Choices(&e, s.random.Uint64(), serviceName, s.now)
	if e.Count == 0 {
		s.outcome.Unplaced++
		return
	}
	b.selection.RecordPlacement(e.Candidates[0].Agent, s.now)
	s.count(1)
	s.after(hop, func() { s.offer(b, f, &e, 0, nil) })
}

// balancerOf returns a random balancer of a zone.
func (s *simulation) balancerOf(zone int) *balancer {
	perZone := (len(s.balancers) - zone + zones - 1) / zones
	return s.balancers[zone+zones*s.random.IntN(perZone)]
}

// offer passes a SYN along its candidates until one admits it. best is the server with the
// shortest delay among those that have passed it on.
func (s *simulation) offer(b *balancer, f *flow, e *steer.Envelope, at uint8, best *server) {
	v := s.serverAt(e.Candidates[at].Agent)
	v.subscribers[b] = s.now
	if !v.ready() {
		if best == nil || v.delay() < best.delay() {
			best = v
		}
		if at+1 < e.Count {
			s.forward()
			s.after(hop, func() { s.offer(b, f, e, at+1, best) })
			return
		}
		if best != v {
			s.forward()
			s.after(hop, func() { best.admit(b, f, e) })
			return
		}
	}
	v.admit(b, f, e)
}

// forward counts a SYN that an agent passes on.
func (s *simulation) forward() {
	s.count(1)
	if s.measuring() {
		s.outcome.Forwarded++
	}
}

// measuring reports whether the measured time has begun.
func (s *simulation) measuring() bool {
	return s.now.Sub(s.start) >= settle
}

// count counts messages between balancers and agents, without packets of open flows.
func (s *simulation) count(n int) {
	if s.measuring() {
		s.outcome.Messages += n
	}
}

// event is something that happens at a time; sequence orders those of the same time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
