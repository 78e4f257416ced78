package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Behaviour of servers.
const (
	heartbeat = 770 * time.Millisecond
	// firstRetransmission doubles up to maxRetransmission, maxRetransmissions times.
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
)

// server is a stand-in for an endpoint. It answers each request, which is one packet, after its
// work.
type server struct {
	lab     *lab
	n       int
	ip      netip.Addr
	service string
	zone    string
	slots   int
	work    time.Duration

	mu sync.Mutex
	// lifetime counts the starts. udp is nil while the server is down.
	lifetime int
	udp      *net.UDPConn
	health   *http.Server
	// startedAt is the start of the lifetime, and born that start as the server states it.
	startedAt time.Time
	born      int64
	state     catalog.State
	flows     map[packet.Flow]*serverFlow
	busy      int
	waiting   []func()
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	first, next, expected uint32
	opened, closed        bool
	acked                 uint32
}

func (s *server) app() netip.AddrPort { return netip.AddrPortFrom(s.ip, s.lab.ports.app) }

func (s *server) id() string { return fmt.Sprintf("server-%d", s.n) }

// start starts a lifetime.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lifetime++
	lifetime := s.lifetime
	s.startedAt = time.Now()
	s.born = s.startedAt.UnixMilli()
	s.state = catalog.Ready
	s.flows, s.busy, s.waiting = make(map[packet.Flow]*serverFlow), 0, nil
	s.lab.record("server %d started lifetime %d, born %d", s.n, lifetime, s.born)
	s.open(lifetime)
}

// open opens the sockets of a lifetime, and registers the server. The caller holds the lock.
func (s *server) open(lifetime int) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app()))
	if err != nil {
		s.lab.fail("server %d: %v", s.n, err)
		return
	}
	l, err := net.Listen("tcp4", s.app().String())
	if err != nil {
		s.lab.fail("server %d: %v", s.n, err)
		return
	}
	s.udp = udp
	s.health = &http.Server{Handler: http.HandlerFunc(s.serveHealth), ReadHeaderTimeout: time.Second}
	go func() { _ = s.health.Serve(l) }()
	go s.read(udp, lifetime)
	go s.beat(lifetime)
	s.lab.record("server %d listens", s.n)
}

func (s *server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != catalog.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *server) beat(lifetime int) {
	for {
		s.mu.Lock()
		if s.lifetime != lifetime {
			s.mu.Unlock()
			return
		}
		s.register()
		s.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// register writes the entry. The caller holds the lock.
func (s *server) register() {
	err := s.lab.store.Register(catalog.Server{
		ID: s.id(), Born: s.born, Service: s.service, Address: s.ip, Zone: s.zone, Slots: uint8(s.slots), State: s.state,
	}, s.lab.ports.app)
	if err != nil {
		s.lab.fail("store: %v", err)
	}
}

func (s *server) read(udp *net.UDPConn, lifetime int) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		s.mu.Lock()
		if s.lifetime == lifetime {
			s.handle(raw)
		}
		s.mu.Unlock()
	}
}

// send sends a packet to the agent. The caller holds the lock.
func (s *server) send(raw []byte) {
	if s.udp != nil {
		_, _ = s.udp.WriteToUDPAddrPort(raw, netip.AddrPortFrom(s.ip, s.lab.ports.outbound))
	}
}

// handle handles a packet. The caller holds the lock.
func (s *server) handle(raw []byte) {
	p, ok := codec.Parse(raw)
	if !ok {
		return
	}
	f := p.FlowFromCaller()
	flow := s.flows[f]
	if !p.Syn && flow != nil && (flow.opened || p.AckSeq == flow.next) {
		s.lab.recordHeld(s, f)
	}
	switch {
	case p.Syn && flow == nil:
		first := rand.Uint32()
		flow = &serverFlow{first: first, next: first + 1, acked: first + 1, expected: p.Seq + 1}
		s.flows[f] = flow
		s.send(fromServer(f, packet.Packet{Syn: true, Ack: true, Seq: first, AckSeq: flow.expected}))
	case p.Syn && !flow.opened:
		s.send(fromServer(f, packet.Packet{Syn: true, Ack: true, Seq: flow.first, AckSeq: flow.expected}))
	case p.Syn:
		s.send(fromServer(f, packet.Packet{Ack: true, Seq: flow.next, AckSeq: flow.expected}))
	case flow == nil:
		s.send(bounce(raw))
	case p.Reset:
		delete(s.flows, f)
	default:
		s.handleOpen(f, flow, p)
	}
}

func (s *server) handleOpen(f packet.Flow, flow *serverFlow, p packet.Packet) {
	if !flow.opened && p.AckSeq != flow.next {
		return
	}
	flow.opened = true
	if p.Ack && packet.SeqAfter(p.AckSeq, flow.acked) {
		flow.acked = p.AckSeq
	}
	switch {
	case flow.closed && p.Fin:
		s.send(fromServer(f, packet.Packet{Ack: true, Seq: flow.next, AckSeq: p.NextSeq()}))
	case flow.closed && len(p.Data) > 0:
		s.send(fromServer(f, packet.Packet{Reset: true, Seq: p.AckSeq}))
	case flow.closed:
	case p.Fin:
		flow.closed, flow.expected = true, p.NextSeq()
		s.send(fromServer(f, packet.Packet{Ack: true, Fin: true, Seq: flow.next, AckSeq: flow.expected}))
		flow.next++
	case len(p.Data) > 0 && p.Seq == flow.expected:
		flow.expected = p.NextSeq()
		s.take(f, flow, append([]byte(nil), p.Data...))
	}
}

// take runs a request as soon as a slot is free. The caller holds the lock.
func (s *server) take(f packet.Flow, flow *serverFlow, request []byte) {
	lifetime := s.lifetime
	run := func() {
		s.lab.recordRun(requestID(request))
		time.AfterFunc(s.work, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.lifetime != lifetime {
				return
			}
			s.busy--
			s.next()
			data := []byte("HTTP/1.1 200 OK\r\nBergamotgw-Response-Signature: stand-in\r\nBergamotgw-Request-Id: " + requestID(request) + "\r\nContent-Length: 0\r\n\r\n")
			seq := flow.next
			flow.next += uint32(len(data))
			s.transmit(lifetime, f, flow, packet.Packet{Ack: true, Seq: seq, AckSeq: flow.expected, Data: data}, firstRetransmission, 0)
		})
	}
	s.waiting = append(s.waiting, run)
	if s.busy < s.slots {
		s.next()
	}
}

// next starts the request that has waited longest. The caller holds the lock.
func (s *server) next() {
	if len(s.waiting) > 0 && s.busy < s.slots {
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		run()
	}
}

// transmit sends an answer until it is acknowledged. The caller holds the lock.
func (s *server) transmit(lifetime int, f packet.Flow, flow *serverFlow, p packet.Packet, pause time.Duration, sent int) {
	if s.lifetime != lifetime || sent > maxRetransmissions || !packet.SeqAfter(p.NextSeq(), flow.acked) {
		return
	}
	s.send(fromServer(f, p))
	time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.transmit(lifetime, f, flow, p, min(2*pause, maxRetransmission), sent+1)
	})
}
