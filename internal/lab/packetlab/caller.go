package packetlab

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Kind describes requests of one kind.
type Kind struct {
	// Name is the name of the kind.
	Name string
	// Address is the service address.
	Address netip.AddrPort
	// Once is true if a request must not run twice.
	Once bool
	// Long is true if a flow carries many requests.
	Long bool
	// Work is the mean work of a request at a server of speed 1.
	Work time.Duration
	// RequestLen and AnswerLen are in bytes.
	RequestLen, AnswerLen int
	// Target and Timeout count from the first attempt.
	Target, Timeout time.Duration
}

// maxAttempts is how often a caller tries a request.
const maxAttempts = 3

// Timing of a caller's SYN.
const (
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 600 * time.Millisecond
	openTimeout     = 1400 * time.Millisecond
)

// Tally counts requests by their end.
type Tally struct {
	// InTime, Late and Failed count requests by what their caller got.
	InTime, Late, Failed int
	// Shed counts requests that servers refused for lack of room.
	Shed int
	// Resets counts flows reset by the system.
	Resets int
}

// Total returns the number of requests that have ended.
func (t Tally) Total() int {
	return t.InTime + t.Late + t.Failed
}

// minus returns the requests that ended since an earlier count.
func (t Tally) minus(before Tally) Tally {
	return Tally{
		InTime: t.InTime - before.InTime, Late: t.Late - before.Late, Failed: t.Failed - before.Failed,
		Shed: t.Shed - before.Shed, Resets: t.Resets - before.Resets,
	}
}

// caller is a VM of a caller, near one zone.
type caller struct {
	*vm
	lab      *Lab
	near     string
	nextPort uint16
	flows    map[uint16]*callerFlow
}

// callerFlow is a flow at its caller.
type callerFlow struct {
	stream
	caller      *caller
	flow        packet.Flow
	opened      bool
	answerBytes []byte
	// request is the one that waits for its answer, or nil.
	request *request
}

// request is a request with all its tries.
type request struct {
	id       uint64
	kind     Kind
	work     time.Duration
	sent     time.Time
	attempts int
	ended    bool
	// done is called with the flow of the answer, which stays open, or nil.
	done func(f *callerFlow)
}

// AddCaller adds a caller near a zone.
func (l *Lab) AddCaller(zone string) *caller {
	c := &caller{vm: l.newVM(callerZone), lab: l, near: zone, nextPort: 1024, flows: make(map[uint16]*callerFlow)}
	l.callers = append(l.callers, c)
	l.listen(netip.AddrPortFrom(c.ip, callerPort), c.receive)
	return c
}

// Load makes a caller send requests of a kind until the given time since the
// start: in the mean one each interval, on one flow if the kind is long.
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

func (l *Lab) randomPause(mean time.Duration) time.Duration {
	return time.Duration(l.rand.ExpFloat64() * float64(mean))
}

func (l *Lab) work(k Kind) time.Duration {
	return time.Duration((0.5 + l.rand.Float64()) * float64(k.Work))
}

func (l *Lab) newID() uint64 {
	l.nextID++
	return l.nextID
}

// attempt sends a request on an open flow, or on a new one.
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

// receive takes a packet for the caller.
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

// fail ends a flow without an answer. notRun is true if its request cannot have run.
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

// receiveData takes bytes of an answer.
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
		f.caller.lab.addFinding("mixed: answer to request %d on the flow of another", id)
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

// recordSuccess counts a request that was served.
func (c *caller) recordSuccess(r *request, f *callerFlow) {
	r.ended = true
	if c.lab.clock.Since(r.sent) <= r.kind.Target {
		c.lab.tally.InTime++
	} else {
		c.lab.tally.Late++
	}
	r.done(f)
}

// finish closes a flow after an answer.
func (f *callerFlow) finish() {
	f.closed = true
	f.transmit(packet.Packet{Ack: true, Fin: true, Seq: f.next, AckSeq: f.expected})
}

// expire ends a request at its timeout.
func (c *caller) expire(r *request) {
	if r.ended {
		return
	}
	for _, f := range c.flows {
		if f.request == r {
			f.request = nil
			c.lab.failedFlows = append(c.lab.failedFlows, f.flow)
			f.finish()
		}
	}
	c.recordFailure(r, nil)
}

// recordFailure counts a request that was not served.
func (c *caller) recordFailure(r *request, f *callerFlow) {
	r.ended = true
	c.lab.tally.Failed++
	r.done(f)
}
