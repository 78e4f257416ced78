package main

import (
	"bytes"
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
)

// caller is a stand-in for a client, which keeps sessions.
type caller struct {
	lab *lab
	ip  netip.Addr
	udp *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	sessions map[uint16]*session
}

// newCaller opens the socket of a caller.
func newCaller(l *lab, ip netip.Addr) (*caller, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, l.ports.front)))
	if err != nil {
		return nil, err
	}
	c := &caller{lab: l, ip: ip, udp: udp, nextPort: 20000, sessions: make(map[uint16]*session)}
	go c.read()
	return c, nil
}

// after calls fn with the lock held.
func (c *caller) after(d time.Duration, fn func()) {
	time.AfterFunc(max(d, 0), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		fn()
	})
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
	}
}

// requestID returns the ID in the head of a request or an answer.
func requestID(data []byte) string {
	_, rest, _ := bytes.Cut(data, []byte("Bergamotgw-Request-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}
