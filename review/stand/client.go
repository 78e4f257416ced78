package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	requestIDHeader = "Bergamotgw-Request-Id"
	signatureHeader = "Bergamotgw-Response-Signature"
)

// Timing of a client.
const (
	openTimeout = 1400 * time.Millisecond
	// resetWindow is how far the sequence number of a reset may be from the client's
	// acknowledgement on an open flow.
	resetWindow = 76_800
)

// client is a stand-in for a VM of clients. It opens flows through the platform's routers.
type client struct {
	lab    *lab
	ip     netip.Addr
	socket *net.UDPConn
	mu     sync.Mutex
	port   uint16
	flows  map[netip.AddrPort]*clientFlow
}

// clientFlow is the client's end of a flow, which carries one request at a time.
type clientFlow struct {
	c                   *client
	key                 flowKey
	first               uint32
	next, expected      uint32
	opened, ended       bool
	unacked             *packet
	retransmit          *time.Timer
	received            []byte
	request             string
	sentAt              time.Time
	number              int
	pause               time.Duration
	answered, limit     int
	firstSynAt, endedAt time.Time
	outcome             string
}

func startClient(l *lab, ip netip.Addr) *client {
	c := &client{lab: l, ip: ip, port: 40000, flows: make(map[netip.AddrPort]*clientFlow)}
	var err error
	c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, l.ports.packets)))
	l.require(err)
	_ = c.socket.SetReadBuffer(1 << 20)
	go c.read()
	return c
}

func (c *client) read() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if p, ok := decode(buf[:n]); ok {
			c.receive(p)
		}
	}
}

// open opens a flow to a service address. The flow carries a request after each pause, limit of
// them at most.
func (c *client) open(service netip.AddrPort, pause time.Duration, limit int) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	end := netip.AddrPortFrom(c.ip, c.port)
	first := rand.Uint32()
	f := &clientFlow{c: c, key: flowKey{end, service}, first: first, next: first + 1, pause: pause, limit: limit, firstSynAt: time.Now()}
	c.flows[end] = f
	for copies, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !f.opened && !f.ended {
				f.send(packet{flags: flagSyn, seq: first, ack: uint32(copies)})
			}
		})
	}
	time.AfterFunc(openTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !f.opened {
			f.end("no SYN+ACK")
		}
	})
	return f
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.service
	f.c.lab.router.forward(f.c.socket, f.key, p.encode())
}

func (f *clientFlow) end(outcome string) {
	if f.ended {
		return
	}
	f.ended, f.outcome, f.endedAt = true, outcome, time.Now()
	if f.retransmit != nil {
		f.retransmit.Stop()
	}
}

func (c *client) receive(p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst]
	if f == nil || f.key.service != p.src {
		return
	}
	ownReset := p.has(flagReset) && p.sumZero && len(p.data) == 0
	if !p.sumOK && !ownReset {
		c.lab.breach("MIXED", "a packet of %s was not written so by its sender", f.key)
		return
	}
	switch {
	case f.ended:
	case p.has(flagReset):
		c.handleReset(f, p, ownReset)
	case p.has(flagSyn) && !f.opened:
		f.opened, f.expected = true, p.seq+1
		f.send(packet{flags: flagAck, seq: f.next, ack: f.expected})
		f.ask()
	case p.has(flagSyn) || !f.opened:
	default:
		c.handleData(f, p)
	}
}

// handleReset ends the flow. A reset of the system on an open flow of a living endpoint breaks
// the rule FLOW.
func (c *client) handleReset(f *clientFlow, p packet, own bool) {
	if !own {
		f.end("reset by its endpoint")
		return
	}
	if f.opened {
		if d := int32(p.seq - f.expected); d > resetWindow || d < -resetWindow {
			return
		}
	}
	if e := c.lab.holder(f.key); e != nil {
		c.lab.breach("FLOW", "flow %s, open at endpoint %s, received a reset that the endpoint did not send; request %s has no answer", f.key, e.id, f.request)
	}
	f.end("reset by the system")
}

// ask sends the next request of the flow.
func (f *clientFlow) ask() {
	f.number++
	f.request = fmt.Sprintf("%s-%d-%d", f.key.client.Addr(), f.key.client.Port(), f.number)
	data := "GET /item HTTP/1.1\r\nHost: service\r\n" + requestIDHeader + ": " + f.request + "\r\n\r\n"
	p := packet{flags: flagAck, seq: f.next, ack: f.expected, data: []byte(data)}
	f.next += uint32(len(data))
	f.unacked, f.sentAt = &p, time.Now()
	f.c.lab.sent(f.request)
	f.send(p)
	f.arm(firstRetransmit)
}

func (f *clientFlow) arm(d time.Duration) {
	f.retransmit = time.AfterFunc(d, func() {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		if f.ended || f.unacked == nil {
			return
		}
		f.unacked.ack = f.expected
		f.send(*f.unacked)
		f.arm(min(2*d, lastRetransmit))
	})
}

func (c *client) handleData(f *clientFlow, p packet) {
	if f.unacked != nil && !after(f.unacked.nextSeq(), p.ack) {
		f.unacked = nil
		f.retransmit.Stop()
	}
	if len(p.data) > 0 {
		if p.seq == f.expected {
			f.expected += uint32(len(p.data))
			f.received = append(f.received, p.data...)
		}
		f.send(packet{flags: flagAck, seq: f.next, ack: f.expected})
	}
	if p.has(flagFin) {
		f.send(packet{flags: flagAck | flagFin, seq: f.next, ack: p.nextSeq()})
		f.end("closed by its endpoint")
		return
	}
	end := bytes.Index(f.received, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	head := string(f.received[:end])
	var length int
	_, _ = fmt.Sscan(headerValue(head, "Content-Length"), &length)
	if len(f.received) < end+4+length {
		return
	}
	body := string(f.received[end+4 : end+4+length])
	f.received = f.received[end+4+length:]
	f.handleAnswer(head, body)
}

func (f *clientFlow) handleAnswer(head, body string) {
	l := f.c.lab
	if f.request == "" || body != "answer to "+f.request+"\n" || headerValue(head, signatureHeader) != signature(body) {
		l.breach("MIXED", "flow %s got a foreign answer to request %s", f.key, f.request)
	}
	l.answered(f.request, time.Since(f.sentAt))
	f.answered++
	f.request = ""
	if f.answered >= f.limit {
		f.send(packet{flags: flagAck | flagFin, seq: f.next, ack: f.expected})
		f.end("answered")
		return
	}
	time.AfterFunc(f.pause, func() {
		f.c.mu.Lock()
		defer f.c.mu.Unlock()
		if !f.ended {
			f.ask()
		}
	})
}

func headerValue(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if k, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(k, name) {
			return strings.TrimSpace(v)
		}
	}
	return ""
}
