package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Load of a session.
const (
	meanPause     = 3 * time.Second
	maxPause      = 12 * time.Second
	requestBudget = 3 * time.Second
	reopenPause   = 300 * time.Millisecond
)

// session is a flow that a caller keeps open for many requests, with pauses between them. When it
// ends, the caller opens another one from a new port.
type session struct {
	caller         *caller
	to             netip.AddrPort
	flow           packet.Flow
	first, next    uint32
	expected       uint32
	opened, closed bool
	// waiting is true until the request with the number requests is answered.
	waiting  bool
	requests int
}

// startSession opens a session. The caller holds the lock.
func (c *caller) startSession(to netip.AddrPort) {
	c.nextPort++
	first := rand.Uint32()
	s := &session{caller: c, to: to, first: first, next: first + 1, flow: packet.Flow{
		CallerIP: c.ip.As4(), CallerPort: c.nextPort, ServiceIP: to.Addr().As4(), ServicePort: to.Port(),
	}}
	c.sessions[c.nextPort] = s
	for number, after := range []time.Duration{0, firstCopyAfter, secondCopyAfter} {
		c.after(after, func() {
			if !s.opened && !s.closed {
				s.transmit(packet.Packet{Syn: true, Seq: first, AckSeq: uint32(number)})
			}
		})
	}
	c.after(openTimeout, func() {
		if !s.opened {
			s.end()
		}
	})
}

func (s *session) transmit(p packet.Packet) {
	if to, ok := s.caller.lab.route(s.flow); ok {
		_, _ = s.caller.udp.WriteToUDPAddrPort(fromCaller(s.flow, p), to)
	}
}

// end closes the session, and opens another one after a moment.
func (s *session) end() {
	if s.closed {
		return
	}
	s.closed = true
	s.caller.lab.recordEnded(s.flow)
	s.caller.after(rand.N(reopenPause), func() { s.caller.startSession(s.to) })
}

// ask sends a request, and ends the session if it is not answered within its time budget.
func (s *session) ask() {
	if s.closed {
		return
	}
	s.requests++
	number := s.requests
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: service\r\nBergamotgw-Request-Id: %d-%d\r\n\r\n", s.flow.CallerPort, number)
	seq := s.next
	s.next += uint32(len(data))
	s.waiting = true
	s.repeat(number, packet.Packet{Ack: true, Seq: seq, AckSeq: s.expected, Data: data}, firstRetransmission)
	s.caller.after(requestBudget, func() {
		if !s.closed && s.waiting && s.requests == number {
			s.caller.lab.recordUnanswered()
			s.transmit(packet.Packet{Ack: true, Fin: true, Seq: s.next, AckSeq: s.expected})
			s.end()
		}
	})
}

// repeat sends the packet of a request until the request is answered.
func (s *session) repeat(number int, p packet.Packet, pause time.Duration) {
	if s.closed || !s.waiting || s.requests != number {
		return
	}
	s.transmit(p)
	s.caller.after(pause, func() { s.repeat(number, p, min(2*pause, maxRetransmission)) })
}

// handle handles a packet of the server. The caller of the method holds the lock.
func (s *session) handle(p packet.Packet) {
	switch {
	case s.closed:
	case p.Reset:
		s.caller.lab.recordReset(s.flow)
		s.end()
	case p.Syn && !s.opened:
		s.opened, s.expected = true, p.Seq+1
		s.ask()
	case p.Syn || !s.opened:
	case len(p.Data) > 0 && p.Seq == s.expected && s.waiting:
		s.expected, s.waiting = p.NextSeq(), false
		s.transmit(packet.Packet{Ack: true, Seq: s.next, AckSeq: s.expected})
		pause := time.Duration(rand.ExpFloat64() * float64(meanPause))
		s.caller.after(min(pause, maxPause), s.ask)
	case len(p.Data) > 0 && packet.SeqAfter(s.expected, p.Seq):
		// A copy of an answer whose acknowledgement was lost.
		s.transmit(packet.Packet{Ack: true, Seq: s.next, AckSeq: s.expected})
	}
}
