package main

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Parameters of an endpoint.
const (
	heartbeat       = 770 * time.Millisecond
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
	serverSlots     = 8
	workTime        = 40 * time.Millisecond
	// drainLinger is how long a draining endpoint keeps a flow open after an answer.
	drainLinger = 50 * time.Millisecond
)

// endpoint is a stand-in for an application server. It holds flows, runs requests and
// registers itself in the store.
type endpoint struct {
	lab                *lab
	id, service, agent string
	// machine is the number of its machine.
	machine       byte
	app, outbound netip.AddrPort
	socket        *net.UDPConn
	health        *http.Server
	mu            sync.Mutex
	state         string
	alive         bool
	born          int64
	sequence      int
	flows         map[flowKey]*endpointFlow
	stopped       chan struct{}
	// drainAcked is when the store acknowledged that the endpoint drains.
	drainAcked time.Time
}

// endpointFlow is the endpoint's end of a flow.
type endpointFlow struct {
	key            flowKey
	next, expected uint32
	opened, closed bool
	openedAt       time.Time
	// unacked is the packet that the client has not acknowledged, and timer its retransmission.
	unacked *packet
	retries int
	timer   *time.Timer
	request []byte
	results map[string][]byte
}

func startEndpoint(l *lab, id, service string, ip netip.Addr) *endpoint {
	e := &endpoint{
		lab: l, id: id, service: service,
		app: netip.AddrPortFrom(ip, l.ports.app), outbound: netip.AddrPortFrom(ip, l.ports.outbound),
		state: "ready", alive: true, born: time.Now().UnixMilli(),
		flows: make(map[flowKey]*endpointFlow), stopped: make(chan struct{}),
	}
	var err error
	e.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.app))
	l.require(err)
	listener, err := net.Listen("tcp4", e.app.String())
	l.require(err)
	e.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Bergamotgw-Instance-Id", e.id)
		if e.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = e.health.Serve(listener) }()
	go e.read()
	go e.announce()
	l.record("endpoint %s of %s started at %s", id, service, e.app)
	return e
}

// announce writes the entry of the endpoint every heartbeat.
func (e *endpoint) announce() {
	for {
		e.beat()
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *endpoint) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	e.sequence++
	e.lab.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.app.String(), "zone": zone, "version": "v1", "slots": serverSlots,
		"state": e.state, "warmup_left_ms": 0, "sequence": e.sequence, "born": e.born,
	})
}

// drain reports the endpoint as draining; its return is the store's acknowledgement.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat()
	e.mu.Lock()
	e.drainAcked = time.Now()
	e.mu.Unlock()
	e.lab.record("endpoint %s: the store has acknowledged draining", e.id)
}

// stop ends the endpoint, which leaves: its entry is removed, and its flows end without a packet.
func (e *endpoint) stop() {
	e.mu.Lock()
	if !e.alive {
		e.mu.Unlock()
		return
	}
	e.alive = false
	lost := 0
	for _, f := range e.flows {
		if f.opened && !f.closed {
			lost++
		}
		if f.timer != nil {
			f.timer.Stop()
		}
	}
	e.mu.Unlock()
	close(e.stopped)
	_ = e.socket.Close()
	_ = e.health.Close()
	e.lab.store.remove("servers/" + e.id)
	e.lab.record("endpoint %s stopped with %d open flows", e.id, lost)
}

func (e *endpoint) read() {
	buf := make([]byte, 4096)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, ok := decode(buf[:n]); ok {
			e.receive(p)
		}
	}
}

func (e *endpoint) send(p packet) {
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), e.outbound)
}

func (e *endpoint) reply(f *endpointFlow, p packet) {
	p.src, p.dst = f.key.service, f.key.client
	e.send(p)
}

func (e *endpoint) receive(p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive {
		return
	}
	key := flowKey{client: p.src, service: p.dst}
	if !p.sumOK {
		e.lab.breach("UNASKED", "endpoint %s received a packet of %s that its sender did not write so", e.id, key)
		return
	}
	if p.has(flagSyn) && !e.lab.allowed(p.dst, e.service) {
		e.lab.breach("ROUTE", "endpoint %s of %s received the opening packet of %s", e.id, e.service, key)
	}
	f := e.flows[key]
	switch {
	case p.has(flagSyn):
		e.open(key, p)
	case f == nil:
		p.flags |= flagBounce
		e.send(p)
	case p.has(flagReset):
		f.close()
	case f.closed && p.has(flagFin):
		e.reply(f, packet{flags: flagAck, seq: f.next, ack: p.nextSeq()})
	case f.closed && len(p.data) > 0:
		e.reply(f, packet{flags: flagReset | flagAck, seq: f.next, ack: p.nextSeq()})
	case f.closed:
	default:
		e.handle(f, p)
	}
}

// open opens a flow for a SYN, or answers a copy of it again.
func (e *endpoint) open(key flowKey, p packet) {
	f := e.flows[key]
	if f == nil {
		first := rand.Uint32()
		f = &endpointFlow{key: key, next: first + 1, expected: p.seq + 1, results: make(map[string][]byte)}
		e.flows[key] = f
		e.lab.opening(e, key)
	}
	e.reply(f, packet{flags: flagSyn | flagAck, seq: f.next - 1, ack: p.seq + 1})
}

func (f *endpointFlow) close() {
	f.closed = true
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (e *endpoint) handle(f *endpointFlow, p packet) {
	if !f.opened {
		if p.ack != f.next {
			return
		}
		f.opened, f.openedAt = true, time.Now()
		e.lab.opened(e, f.key)
	}
	if f.unacked != nil && !after(f.unacked.nextSeq(), p.ack) {
		f.unacked = nil
		f.timer.Stop()
	}
	if p.has(flagFin) {
		e.reply(f, packet{flags: flagAck | flagFin, seq: f.next, ack: p.nextSeq()})
		f.close()
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected {
		e.reply(f, packet{flags: flagAck, seq: f.next, ack: f.expected})
		return
	}
	f.expected += uint32(len(p.data))
	f.request = append(f.request, p.data...)
	e.reply(f, packet{flags: flagAck, seq: f.next, ack: f.expected})
	if end := bytes.Index(f.request, []byte("\r\n\r\n")); end >= 0 {
		head := string(f.request[:end])
		f.request = f.request[end+4:]
		id := headerValue(head, requestIDHeader)
		e.lab.ran(e, id, f.key)
		time.AfterFunc(workTime, func() { e.answer(f, id) })
	}
}

// answer sends the answer to a request, signed by the endpoint.
func (e *endpoint) answer(f *endpointFlow, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive || f.closed {
		return
	}
	body := "answer to " + id + "\n"
	data := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + signatureHeader + ": " + signature(body) + "\r\n\r\n" + body
	p := packet{flags: flagAck, seq: f.next, ack: f.expected, data: []byte(data)}
	f.next += uint32(len(data))
	f.unacked, f.retries = &p, 0
	e.reply(f, p)
	f.timer = time.AfterFunc(firstRetransmit, func() { e.retransmit(f, firstRetransmit) })
	if e.state == "draining" {
		time.AfterFunc(drainLinger, func() { e.finish(f) })
	}
}

// finish closes a flow of a draining endpoint after its next answer.
func (e *endpoint) finish(f *endpointFlow) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.alive && !f.closed {
		e.reply(f, packet{flags: flagAck | flagFin, seq: f.next, ack: f.expected})
		f.close()
	}
}

func (e *endpoint) retransmit(f *endpointFlow, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.alive || f.closed || f.unacked == nil {
		return
	}
	if f.retries++; f.retries > maxRetransmits {
		f.close()
		return
	}
	e.reply(f, *f.unacked)
	d = min(2*d, lastRetransmit)
	f.timer = time.AfterFunc(d, func() { e.retransmit(f, d) })
}

// holds reports whether the endpoint lives and has the flow open.
func (e *endpoint) holds(key flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	return e.alive && f != nil && f.opened && !f.closed
}

// openFlows returns the number of flows that are open at the endpoint.
func (e *endpoint) openFlows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, f := range e.flows {
		if f.opened && !f.closed {
			n++
		}
	}
	return n
}

func signature(body string) string {
	m := hmac.New(sha256.New, sumKey)
	_, _ = fmt.Fprint(m, body)
	return hex.EncodeToString(m.Sum(nil))
}
