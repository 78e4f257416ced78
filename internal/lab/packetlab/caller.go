package packetlab

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Kind is a kind of request, with the load that one request causes and its deadlines.
type Kind struct {
	// Name is the name of the route for requests of this kind.
	Name string
	// Address is the service address.
	Address netip.AddrPort
	// Once is true if a request must not run twice.
	Once bool
	// Long is true if a flow carries many requests, one after the other.
	Long bool
	// Work is the mean work of a request: the time it takes a server of speed 1.
	Work time.Duration
	// RequestLen and AnswerLen are the lengths of a request and of its answer, in bytes.
	RequestLen, AnswerLen int
	// Target is the time within which an answer counts as in time, and Timeout the time
	// after which the caller abandons the request; both count from the first attempt.
	Target, Timeout time.Duration
}

// maxAttempts is the maximum number of attempts of a request.
const maxAttempts = 3

// Times at which a caller retransmits the SYN of a flow, and gives the flow up, after the
// first SYN.
const (
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 600 * time.Millisecond
	openTimeout     = 1400 * time.Millisecond
)

// Tally counts requests by their outcome.
type Tally struct {
	// InTime and Late count requests that were answered within and after their target,
	// Failed those that were not served.
	InTime, Late, Failed int
	// Outage counts those of the Failed that were sent while no balancer ran.
	Outage int
	// Shed counts attempts that servers refused because their slots and queue were full.
	Shed int
	// Resets counts the resets that callers received.
	Resets int
}

// Total returns the number of requests that have ended, whatever their outcome.
func (t Tally) Total() int {
	return t.InTime + t.Late + t.Failed
}

// minus returns the counts since an earlier Tally.
func (t Tally) minus(before Tally) Tally {
	return Tally{
		InTime: t.InTime - before.InTime, Late: t.Late - before.Late, Failed: t.Failed - before.Failed, Outage: t.Outage - before.Outage,
		Shed: t.Shed - before.Shed, Resets: t.Resets - before.Resets,
	}
}

// caller is a VM of a caller. The fabric routes its packets to balancers of the zone near.
type caller struct {
	*vm
	lab      *Lab
	near     string
	nextPort uint16
	flows    map[uint16]*callerFlow
}

// callerFlow is the caller's end of a flow.
type callerFlow struct {
	stream
	caller      *caller
	flow        packet.Flow
	opened      bool
	answerBytes []byte
	// request is the request that waits for its answer, or nil.
	request *request
}

// request is a request with all its attempts.
type request struct {
	id       uint64
	kind     Kind
	work     time.Duration
	sent     time.Time
	attempts int
	ended    bool
	// done is called when the request has ended, with the flow if it stays open, or nil.
	done func(f *callerFlow)
}

// AddCaller adds the VM of a caller near the given zone.
func (l *Lab) AddCaller(zone string) *caller {
	c := &caller{vm: l.newVM(callerZone), lab: l, near: zone, nextPort: 1024, flows: make(map[uint16]*callerFlow)}
	l.callers = append(l.callers, c)
	l.listen(netip.AddrPortFrom(c.ip, callerPort), c.receive)
	return c
}

// Load makes a caller send requests of a kind until the given time since the start, one at
// a time. The pauses between requests are exponentially distributed with the mean interval.
// Requests of a long kind use one flow while it stays open.
func (c *caller) Load(k Kind, interval, until time.Duration) {
	var kept *callerFlow
	var next func()
	next = func() {
		if c.lab.Elapsed() > until {
			return
		}
		r := &request{id: c.lab.newID(), kind: k, work: c.lab.work(k), sent: c.lab.clock.Now()}
		if k.Once {
			c.lab.onceIDs[r.id] = true
		}
		r.done = func(f *callerFlow) {
			if k.Long {
				kept = f
			}
			c.lab.after(c.lab.randomPause(interval), next)
		}
		c.lab.after(k.Timeout, func() { c.expire(r) })
		c.attempt(r, kept)
		kept = nil
	}
	c.lab.after(c.lab.randomPause(interval), next)
}

// randomPause draws an exponentially distributed time with the given mean.
func (l *Lab) randomPause(mean time.Duration) time.Duration {
	return time.Duration(l.rand.ExpFloat64() * float64(mean))
}

// work draws the work of a request: 0.5 to 1.5 times the mean of its kind.
func (l *Lab) work(k Kind) time.Duration {
	return time.Duration((0.5 + l.rand.Float64()) * float64(k.Work))
}

func (l *Lab) newID() uint64 {
	l.nextID++
	return l.nextID
}

// attempt sends a request on f, or on a new flow if f is nil or closed.
func (c *caller) attempt(r *request, f *callerFlow) {
	r.attempts++
	if f != nil && !f.closed {
		f.request = r
		f.write(requestBytes(r))
		return
	}
	c.open(r)
}

func requestBytes(r *request) []byte {
	b := make([]byte, max(r.kind.RequestLen, requestHeaderLen))
	binary.BigEndian.PutUint64(b, r.id)
	binary.BigEndian.PutUint32(b[8:], uint32(r.work.Microseconds()))
	binary.BigEndian.PutUint32(b[12:], uint32(len(b)))
	binary.BigEndian.PutUint32(b[16:], uint32(r.kind.AnswerLen))
	return b
}

// open opens a new flow for a request. It retransmits the SYN, and fails the flow if no
// answer to it arrives within openTimeout.
func (c *caller) open(r *request) {
	c.nextPort++
	f := &callerFlow{caller: c, request: r, flow: packet.Flow{
		CallerIP: c.ip.As4(), CallerPort: c.nextPort,
		ServiceIP: r.kind.Address.Addr().As4(), ServicePort: r.kind.Address.Port(),
	}}
	first := c.lab.rand.Uint32()
	f.stream = stream{lab: c.lab, next: first + 1, acked: first + 1, received: f.receiveData, failed: func() {}}
	f.send = f.transmit
	c.flows[c.nextPort] = f
	for number, after := range []time.Duration{0, firstCopyAfter, secondCopyAfter} {
		c.lab.after(after, func() {
			if !f.opened && !f.closed {
				f.transmit(packet.Packet{Syn: true, Seq: first, AckSeq: uint32(number)})
			}
		})
	}
	c.lab.after(openTimeout, func() {
		if !f.opened && !f.closed {
			f.fail(true)
		}
	})
}

func (f *callerFlow) transmit(p packet.Packet) {
	p.SourceIP, p.SourcePort = f.flow.CallerIP, f.flow.CallerPort
	p.DestinationIP, p.DestinationPort = f.flow.ServiceIP, f.flow.ServicePort
	f.caller.lab.route(f.caller, f.flow, f.caller.lab.encode(p))
}

// receive handles a packet for the caller.
func (c *caller) receive(raw []byte, _ netip.AddrPort) {
	p, ok := c.lab.codec.Parse(raw)
	if !ok {
		return
	}
	f := c.flows[p.DestinationPort]
	if f == nil || f.closed {
		return
	}
	switch {
	case p.Reset:
		c.lab.recordReset(f.flow)
		f.fail(!f.opened)
	case p.Syn && !f.opened:
		f.opened = true
		f.expected = p.Seq + 1
		f.write(requestBytes(f.request))
	case p.Syn || !f.opened:
	case p.Fin && f.request == nil:
		f.finish()
	case p.Fin:
		f.finish()
		f.fail(false)
	default:
		f.handle(p)
	}
}

// fail closes a flow without an answer, and retries its request if it has attempts left and
// may run again. notRun is true if the request cannot have run.
func (f *callerFlow) fail(notRun bool) {
	f.closed = true
	delete(f.caller.flows, f.flow.CallerPort)
	r := f.request
	if r == nil || r.ended {
		return
	}
	f.request = nil
	f.caller.lab.failedFlows = append(f.caller.lab.failedFlows, f.flow)
	if r.attempts < maxAttempts && (notRun || !r.kind.Once) {
		f.caller.attempt(r, nil)
		return
	}
	f.caller.recordFailure(r, nil)
}

// receiveData handles bytes of an answer, and ends the request when the answer is complete.
// If the server refused the request, the request is retried.
func (f *callerFlow) receiveData(data []byte) {
	f.answerBytes = append(f.answerBytes, data...)
	if len(f.answerBytes) < answerHeaderLen || len(f.answerBytes) < int(binary.BigEndian.Uint32(f.answerBytes[9:])) {
		return
	}
	id, served := binary.BigEndian.Uint64(f.answerBytes), f.answerBytes[8] != 0
	f.answerBytes = nil
	r := f.request
	f.request = nil
	if r == nil || r.id != id {
		f.caller.lab.addFinding("mixed: an answer to request %d arrived on the flow of another request", id)
		return
	}
	if r.ended {
		return
	}
	if !served {
		f.finish()
		if r.attempts < maxAttempts {
			f.caller.attempt(r, nil)
			return
		}
		f.caller.recordFailure(r, nil)
		return
	}
	c := f.caller
	if !r.kind.Long {
		f.finish()
		f = nil
	}
	c.recordSuccess(r, f)
}

// recordSuccess counts a request that was served; f is its flow if it stays open.
func (c *caller) recordSuccess(r *request, f *callerFlow) {
	r.ended = true
	ofKind := c.lab.byKind[r.kind.Name]
	if c.lab.clock.Since(r.sent) <= r.kind.Target {
		c.lab.tally.InTime++
		ofKind.InTime++
	} else {
		c.lab.tally.Late++
		ofKind.Late++
	}
	c.lab.byKind[r.kind.Name] = ofKind
	r.done(f)
}

// finish closes a flow and sends a FIN.
func (f *callerFlow) finish() {
	f.closed = true
	f.transmit(packet.Packet{Ack: true, Fin: true, Seq: f.next, AckSeq: f.expected})
}

// expire ends a request at its timeout, unless it has ended before.
func (c *caller) expire(r *request) {
	if r.ended {
		return
	}
	for _, f := range c.flows {
		if f.request == r {
			f.request = nil
			c.lab.failedFlows = append(c.lab.failedFlows, f.flow)
			c.lab.recovery.recordWaited(f.flow)
			f.finish()
		}
	}
	c.recordFailure(r, nil)
}

// recordFailure counts a request that was not served.
func (c *caller) recordFailure(r *request, f *callerFlow) {
	r.ended = true
	c.lab.tally.Failed++
	ofKind := c.lab.byKind[r.kind.Name]
	ofKind.Failed++
	c.lab.byKind[r.kind.Name] = ofKind
	if !r.sent.Before(c.lab.outageFrom) && r.sent.Before(c.lab.outageUntil) {
		c.lab.tally.Outage++
	}
	r.done(f)
}
