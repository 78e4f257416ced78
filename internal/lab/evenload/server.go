package evenload

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/servicetime"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Parameters of internal/packetagent and internal/packetbalancer that the models follow.
const (
	extraRequests             = 1
	expectedTimeout           = 100 * time.Millisecond
	maintainInterval          = 50 * time.Millisecond
	reportInterval            = 100 * time.Millisecond
	reportIntervalPerBalancer = 10 * time.Millisecond
	subscriptionTimeout       = 2 * time.Second
	sweepInterval             = 500 * time.Millisecond
	activeWindow              = 5 * time.Second
	pingInterval              = 100 * time.Millisecond
	rateWindow                = time.Second
	rateGain                  = 0.5

	agentPort   = 7001
	serviceName = "s"
)

// flow is a flow of a caller.
type flow struct {
	random *rand.Rand
	zone   int
	// rate is the mean number of requests per second; 0 if the flow has a single request.
	rate     float64
	endsAt   time.Time
	lastSeen time.Time
}

// request is a request that waits or runs at a server.
type request struct {
	flow        *flow
	arrivedAt   time.Time
	deliveredAt time.Time
	// concurrent is the number of requests at the server when this one was delivered.
	concurrent int
	// work is the time that the server takes for the request.
	work time.Duration
}

// server is a model of an agent and its server.
type server struct {
	sim     *simulation
	index   int
	address netip.AddrPort
	speed   float64
	// delivered holds the requests at the server, of which the first slots run; queue those
	// that the agent holds.
	delivered, queue []*request
	expected         map[*flow]time.Time
	flows            map[*flow]bool
	// active is the number of flows with a packet in activeWindow, as of sweptAt.
	active      int
	service     servicetime.Estimator
	windowStart time.Time
	windowCount int
	rate        float64
	subscribers map[*balancer]time.Time
	reportedAt  time.Time
	reported    steer.Load
	sweptAt     time.Time
}

// entry returns the entry of a server in the list.
func (s *simulation) entry(i int) catalog.Server {
	return catalog.Server{
		ID: fmt.Sprintf("i-%d", i), Service: serviceName, Zone: fmt.Sprint(i % zones), Slots: slots, State: catalog.Ready,
		Address: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}),
	}
}

// newServer returns a server that is idle, and has no service time before its first answer.
func newServer(s *simulation, i int) *server {
	v := &server{
		sim: s, index: i, address: netip.AddrPortFrom(s.entry(i).Address, agentPort), speed: 1,
		expected: make(map[*flow]time.Time), flows: make(map[*flow]bool), subscribers: make(map[*balancer]time.Time),
	}
	if s.Uneven {
		v.speed = 0.55
		if i/zones%2 == 0 {
			v.speed = 1.2
		}
	}
	s.after(time.Duration(s.random.Int64N(int64(maintainInterval))), v.maintain)
	return v
}

func (s *simulation) serverAt(a netip.AddrPort) *server {
	b := a.Addr().As4()
	return s.servers[int(b[2])<<8|int(b[3])]
}

// outstanding returns the number of requests that precede one that arrives now.
func (v *server) outstanding() int {
	for f, at := range v.expected {
		if v.sim.now.Sub(at) > expectedTimeout {
			delete(v.expected, f)
		}
	}
	return len(v.expected) + len(v.queue) + len(v.delivered)
}

// ready reports whether a new flow is admitted without an offer to other candidates.
func (v *server) ready() bool {
	extra := extraRequests
	if v.sim.placement.freeSlot {
		extra = 0
	}
	return v.outstanding()+1-slots <= extra
}

// delay returns how long a further request would wait.
func (v *server) delay() time.Duration {
	return time.Duration(max(v.outstanding()+1-slots, 0)) * v.service.Mean() / slots
}

// admit admits a flow that was offered along the candidates of e, and lets it send its first
// request.
func (v *server) admit(b *balancer, f *flow, e *steer.Envelope) {
	f.lastSeen = v.sim.now
	v.flows[f] = true
	v.expected[f] = v.sim.now
	v.report(b)
	if first := e.Candidates[0].Agent; first != v.address {
		b.selection.RecordPassedOn(first, v.sim.now)
	}
	v.sim.after(2*hop, func() { v.receive(f) })
}

// receive receives a request of a flow.
func (v *server) receive(f *flow) {
	s := v.sim
	now := s.now
	f.lastSeen = now
	delete(v.expected, f)
	v.closeWindow()
	v.windowCount++
	// Packets of open flows reach a random balancer of the caller's zone.
	b := s.balancerOf(f.zone)
	b.selection.RecordUse(v.address, now)
	v.subscribers[b] = now
	r := &request{flow: f, arrivedAt: now, work: time.Duration(float64(work(f.random)) / v.speed)}
	held := len(v.delivered) >= slots+extraRequests
	if s.measuring() {
		if f.zone != v.index%zones {
			s.outcome.Outside++
		}
		s.outcome.addRequest(len(v.delivered) >= slots, held, s.idle > 0)
	}
	if held {
		v.queue = append(v.queue, r)
		return
	}
	v.deliver(r)
}

// deliver passes a request to the server, which starts it if a slot is free.
func (v *server) deliver(r *request) {
	if len(v.delivered) == 0 {
		v.sim.idle--
	}
	v.delivered = append(v.delivered, r)
	r.deliveredAt, r.concurrent = v.sim.now, len(v.delivered)
	if len(v.delivered) <= slots {
		v.begin(r)
	}
}

// begin lets a request run in a slot.
func (v *server) begin(r *request) {
	if v.sim.measuring() {
		v.sim.outcome.Waits = append(v.sim.outcome.Waits, v.sim.now.Sub(r.arrivedAt))
	}
	v.sim.after(r.work, func() { v.finish(r) })
}

// finish ends a request, starts the next one, and continues or closes the flow.
func (v *server) finish(r *request) {
	s := v.sim
	for i, x := range v.delivered {
		if x == r {
			v.delivered = append(v.delivered[:i], v.delivered[i+1:]...)
			break
		}
	}
	v.service.Observe(s.now.Sub(r.deliveredAt), r.concurrent, slots)
	if s.measuring() {
		s.outcome.Responses = append(s.outcome.Responses, s.now.Sub(r.arrivedAt))
		s.busy[v.index] += r.work
	}
	if len(v.delivered) >= slots {
		v.begin(v.delivered[slots-1])
	}
	if len(v.delivered) == 0 {
		s.idle++
	}
	if len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		v.deliver(next)
	}
	r.flow.lastSeen = s.now
	if r.flow.rate == 0 {
		delete(v.flows, r.flow)
		return
	}
	v.think(r.flow)
}

// think waits for the next request of a long flow, or closes it.
func (v *server) think(f *flow) {
	s := v.sim
	s.after(exponential(f.random, f.rate*(1+swing)), func() {
		switch {
		case s.now.After(f.endsAt):
			delete(v.flows, f)
		case s.wanted(f.zone, f.random):
			v.receive(f)
		default:
			v.think(f)
		}
	})
}

// closeWindow updates the rate of requests at the end of a window, as internal/packetagent does.
func (v *server) closeWindow() {
	elapsed := v.sim.now.Sub(v.windowStart)
	if elapsed < rateWindow {
		return
	}
	v.rate += rateGain * (float64(v.windowCount)/elapsed.Seconds() - v.rate)
	v.windowStart, v.windowCount = v.sim.now, 0
}

// load returns the load that is reported.
func (v *server) load() steer.Load {
	v.closeWindow()
	return steer.Load{
		State: steer.Up, Outstanding: uint16(v.outstanding()), Flows: uint16(v.active),
		RequestsPerSecond: float32(v.rate), ServiceTime: v.service.Mean(), Service: catalog.ServiceID(serviceName),
	}
}

// report sends a report to a balancer.
func (v *server) report(b *balancer) {
	v.sim.count(1)
	b.selection.RecordReport(v.address, v.load(), v.sim.now)
}

// maintain sweeps the flows and reports a changed load to the subscribers.
func (v *server) maintain() {
	s := v.sim
	s.after(maintainInterval, v.maintain)
	if s.now.Sub(v.sweptAt) >= sweepInterval {
		v.sweptAt, v.active = s.now, 0
		for f := range v.flows {
			if s.now.Sub(f.lastSeen) < activeWindow {
				v.active++
			}
		}
		for b, at := range v.subscribers {
			if s.now.Sub(at) > subscriptionTimeout {
				delete(v.subscribers, b)
			}
		}
	}
	interval := max(reportInterval, time.Duration(len(v.subscribers))*reportIntervalPerBalancer)
	l := v.load()
	if s.now.Sub(v.reportedAt) < interval || l.Outstanding == v.reported.Outstanding {
		return
	}
	v.reported, v.reportedAt = l, s.now
	for b := range v.subscribers {
		v.report(b)
	}
}
