package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Behaviour of callers.
const (
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 600 * time.Millisecond
	openTimeout     = 1400 * time.Millisecond
	maxAttempts     = 3
)

// request is a request of a caller with its attempts.
type request struct {
	id       int
	sentAt   time.Time
	attempts int
	served   bool
	resets   int
}

// caller is a stand-in for a client. It opens a flow for each attempt.
type caller struct {
	lab *lab
	ip  netip.Addr
	udp *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*callerFlow
	sessions map[uint16]*session
}

// callerFlow is the caller's end of a flow.
type callerFlow struct {
	flow           packet.Flow
	request        *request
	first, next    uint32
	expected       uint32
	opened, closed bool
	answered       bool
}

// newCaller opens the socket of a caller.
func newCaller(l *lab, ip netip.Addr) (*caller, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, l.ports.front)))
	if err != nil {
		return nil, err
	}
	c := &caller{lab: l, ip: ip, udp: udp, nextPort: 20000, flows: make(map[uint16]*callerFlow), sessions: make(map[uint16]*session)}
	go c.read()
	return c, nil
}

// send sends a request to a service address. It is tried until the time budget ends.
func (c *caller) send(r *request, to netip.AddrPort, budget time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sentAt = time.Now()
	c.attempt(r, to, budget)
}

// attempt opens a flow for a request. The caller holds the lock.
func (c *caller) attempt(r *request, to netip.AddrPort, budget time.Duration) {
	if r.attempts >= maxAttempts || time.Since(r.sentAt) >= budget {
		return
	}
	r.attempts++
	c.nextPort++
	first := rand.Uint32()
	f := &callerFlow{
		flow:    packet.Flow{CallerIP: c.ip.As4(), CallerPort: c.nextPort, ServiceIP: to.Addr().As4(), ServicePort: to.Port()},
		request: r, first: first, next: first + 1,
	}
	c.flows[c.nextPort] = f
	c.lab.recordOpened(f.flow)
	for number, after := range []time.Duration{0, firstCopyAfter, secondCopyAfter} {
		c.after(after, func() {
			if !f.opened && !f.closed {
				c.transmit(f, packet.Packet{Syn: true, Seq: first, AckSeq: uint32(number)})
			}
		})
	}
	again := func() {
		f.closed = true
		c.attempt(r, to, budget)
	}
	c.after(openTimeout, func() {
		if !f.opened && !f.closed {
			again()
		}
	})
	c.after(budget-time.Since(r.sentAt), func() {
		if !f.closed {
			c.finish(f)
		}
	})
	f.request = r
	c.lab.onReset(f.flow, again)
}

// after calls fn with the lock held.
func (c *caller) after(d time.Duration, fn func()) {
	time.AfterFunc(max(d, 0), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		fn()
	})
}

func (c *caller) transmit(f *callerFlow, p packet.Packet) {
	if to, ok := c.lab.route(f.flow); ok {
		_, _ = c.udp.WriteToUDPAddrPort(fromCaller(f.flow, p), to)
	}
}

// finish closes a flow with a FIN.
func (c *caller) finish(f *callerFlow) {
	f.closed = true
	if f.opened {
		c.transmit(f, packet.Packet{Ack: true, Fin: true, Seq: f.next, AckSeq: f.expected})
	}
}

func (c *caller) read() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, ok := codec.Parse(append([]byte(nil), buf[:n]...)); ok {
			c.mu.Lock()
			c.handle(p)
			c.mu.Unlock()
		}
	}
}

// handle handles a packet. The caller holds the lock.
func (c *caller) handle(p packet.Packet) {
	if s := c.sessions[p.DestinationPort]; s != nil {
		s.handle(p)
		return
	}
	f := c.flows[p.DestinationPort]
	if f == nil || f.closed {
		return
	}
	switch {
	case p.Reset:
		f.request.resets++
		c.lab.recordReset()
		f.closed = true
		if again := c.lab.takeReset(f.flow); again != nil {
			again()
		}
	case p.Syn && !f.opened:
		f.opened = true
		f.expected = p.Seq + 1
		data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: service\r\nBergamotgw-Request-Id: %d\r\n\r\n", f.request.id)
		seq := f.next
		f.next += uint32(len(data))
		c.ask(f, packet.Packet{Ack: true, Seq: seq, AckSeq: f.expected, Data: data}, firstRetransmission)
	case !f.opened || p.Syn:
	case len(p.Data) > 0 && p.Seq == f.expected:
		f.expected = p.NextSeq()
		f.answered = true
		if bytes.Contains(p.Data, fmt.Appendf(nil, "Request-Id: %d\r\n", f.request.id)) {
			f.request.served = true
		}
		c.finish(f)
	}
}

// ask sends a request until it is answered or the flow is closed.
func (c *caller) ask(f *callerFlow, p packet.Packet, pause time.Duration) {
	if f.closed || f.answered {
		return
	}
	c.transmit(f, p)
	c.after(pause, func() { c.ask(f, p, min(2*pause, maxRetransmission)) })
}

// requestID returns the ID in the head of a request or an answer.
func requestID(data []byte) string {
	_, rest, _ := bytes.Cut(data, []byte("Bergamotgw-Request-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}
