// Package relay implements the packet connection of an agent. The agent exchanges QUIC
// datagrams with balancers, each preceded by an envelope that holds the caller's address.
package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/envelope"
	"github.com/bergamotgw/bergamotgw/internal/paths"
	"github.com/bergamotgw/bergamotgw/internal/quicheader"
	"github.com/bergamotgw/bergamotgw/internal/recent"
)

// Limits of datagrams, socket buffers and caches.
const (
	// maxDatagramBytes is the maximum length of a datagram without its envelope.
	maxDatagramBytes  = 2048
	socketBufferBytes = 4 << 20
	// decisionLifetime is how long a decision about a new flow also applies to
	// retransmissions of its first datagram.
	decisionLifetime = 10 * time.Second
	maxDecisions     = 100_000
	// pathLifetime is longer than the idle timeout of every flow.
	pathLifetime = 2 * time.Minute
)

// Conn sends and receives the datagrams of one agent. It implements net.PacketConn; the
// addresses are those of callers.
type Conn struct {
	config    Config
	socket    *net.UDPConn
	paths     *paths.Paths
	decisions *recent.Map[flowKey, decision]
	buffers   sync.Pool
	counts    Counts
}

// Config are the parameters of a connection.
type Config struct {
	// Listen is the UDP address that receives datagrams from balancers and other agents.
	Listen netip.AddrPort
	// Service is the numeric identity of the agent's service.
	Service uint32
	// Networks are the networks in which balancers and agents may be; never empty.
	Networks []netip.Prefix
	// Holder returns the agent that a connection ID names, and its service. It returns false if
	// the ID cannot be decrypted.
	Holder func(id []byte) (agent netip.AddrPort, service uint32, ok bool)
	// AdmitFlow reports whether this agent admits a new flow. last is true if no other
	// agent follows in the list of candidates.
	AdmitFlow func(last bool) bool
	// Clock measures the age of paths and decisions.
	Clock clockwork.Clock
}

// Counts are totals of datagrams since the start.
type Counts struct {
	// WrongService counts datagrams for another service, which are dropped.
	WrongService atomic.Uint64
	// OtherHolder counts datagrams of established flows whose connection ID names another agent,
	// which are dropped.
	OtherHolder atomic.Uint64
	// Foreign counts datagrams from outside the permitted networks, which are dropped.
	Foreign atomic.Uint64
	// Malformed counts datagrams without a valid envelope, which are dropped.
	Malformed atomic.Uint64
	// Forwarded counts datagrams of new flows that were forwarded to the next candidate.
	Forwarded atomic.Uint64
	// Refused counts datagrams of new flows that were dropped because no candidate
	// admitted the flow.
	Refused atomic.Uint64
	// NoPath counts answers that were dropped because no datagram of the caller had
	// arrived within pathLifetime.
	NoPath atomic.Uint64
}

// flowKey identifies a flow whose caller does not use a connection ID of an agent yet.
type flowKey struct {
	caller netip.AddrPort
	id     [connid.Len]byte
}

// decision is what the agent does with the first datagrams of a new flow.
type decision uint8

const (
	admitted decision = iota
	forwarded
	refused
)

// NewConn returns a connection with an open UDP socket.
func NewConn(c Config) (*Conn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, merry.Prepend(err, "relay")
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return &Conn{
		config:    c,
		socket:    socket,
		paths:     paths.NewPaths(c.Clock, pathLifetime),
		decisions: recent.NewMap[flowKey, decision](c.Clock, decisionLifetime, maxDecisions),
		buffers:   sync.Pool{New: func() any { return new([envelope.MaxLen + maxDatagramBytes]byte) }},
	}, nil
}

// ReadFrom copies into p the next datagram of a flow that this agent holds or admits, and
// returns its length and the caller's address. It returns only errors of a closed socket and
// of an expired deadline.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	buf := c.buffers.Get().(*[envelope.MaxLen + maxDatagramBytes]byte)
	defer c.buffers.Put(buf)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) || isTimeout(err) {
			return 0, nil, err
		}
		if err != nil {
			continue
		}
		e, datagram, ok := c.filter(buf[:n], from)
		if !ok {
			continue
		}
		c.paths.Record(e.Caller, paths.Path{Address: e.Address, Via: e.Via})
		return copy(p, datagram), net.UDPAddrFromAddrPort(e.Caller), nil
	}
}

// WriteTo sends a datagram to the caller through a balancer. Without a path to the caller the
// datagram is dropped and counted, without an error.
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	a, ok := addr.(*net.UDPAddr)
	if !ok || len(p) > maxDatagramBytes {
		return 0, merry.Errorf("relay: cannot send datagram of %d bytes to %v", len(p), addr)
	}
	caller := netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), a.AddrPort().Port())
	path, ok := c.paths.Select(caller)
	if !ok {
		c.counts.NoPath.Add(1)
		return len(p), nil
	}
	e := envelope.Envelope{Caller: caller, Address: path.Address, Via: path.Via, Service: c.config.Service}
	buf := c.buffers.Get().(*[envelope.MaxLen + maxDatagramBytes]byte)
	defer c.buffers.Put(buf)
	e.Put(buf[:])
	n := copy(buf[envelope.MinLen:], p)
	if _, err := c.socket.WriteToUDPAddrPort(buf[:envelope.MinLen+n], path.Via); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return len(p), nil
}

// filter returns the envelope and the datagram in it, and whether the datagram belongs to a
// flow of this agent. It counts the datagrams that do not.
func (c *Conn) filter(b []byte, from netip.AddrPort) (envelope.Envelope, []byte, bool) {
	if !c.permitted(from.Addr().Unmap()) {
		c.counts.Foreign.Add(1)
		return envelope.Envelope{}, nil, false
	}
	e, datagram, ok := envelope.Parse(b)
	if !ok || !c.permitted(e.Via.Addr()) {
		c.counts.Malformed.Add(1)
		return e, nil, false
	}
	if e.Service != c.config.Service {
		c.counts.WrongService.Add(1)
		return e, nil, false
	}
	if e.NewFlow {
		return e, datagram, c.admitNewFlow(e, datagram)
	}
	return e, datagram, c.mayHold(datagram)
}

// mayHold reports whether this agent may hold the flow of a datagram, so that it may answer with
// a stateless reset if it does not. All agents share the key of these resets, and the reset of
// another agent's flow would end it.
func (c *Conn) mayHold(datagram []byte) bool {
	h, ok := quicheader.Parse(datagram, connid.Len)
	if !ok {
		c.counts.Malformed.Add(1)
		return false
	}
	agent, service, ok := c.config.Holder(h.DestinationID)
	if ok && (agent != c.config.Listen || service != c.config.Service) {
		c.counts.OtherHolder.Add(1)
		return false
	}
	return true
}

// admitNewFlow reports whether this agent admits the new flow of a datagram; if not, it
// forwards the datagram to the next candidate. Retransmissions get the same decision.
func (c *Conn) admitNewFlow(e envelope.Envelope, datagram []byte) bool {
	h, ok := quicheader.Parse(datagram, connid.Len)
	if !ok || !h.Long {
		c.counts.Malformed.Add(1)
		return false
	}
	key := flowKey{caller: e.Caller}
	copy(key.id[:], h.DestinationID)
	next, more := e.Next()
	d, found := c.decisions.Get(key)
	if !found {
		d = c.decide(more)
		c.decisions.Put(key, d)
	}
	switch d {
	case admitted:
		return true
	case forwarded:
		if more {
			c.forward(e.WithHop(), datagram, next)
		}
	case refused:
		c.counts.Refused.Add(1)
	}
	return false
}

func (c *Conn) decide(more bool) decision {
	if c.config.AdmitFlow(!more) {
		return admitted
	}
	if more {
		return forwarded
	}
	return refused
}

func (c *Conn) forward(e envelope.Envelope, datagram []byte, next netip.AddrPort) {
	b := make([]byte, e.Len()+len(datagram))
	e.Put(b)
	copy(b[e.Len():], datagram)
	c.counts.Forwarded.Add(1)
	_, _ = c.socket.WriteToUDPAddrPort(b, next)
}

func (c *Conn) permitted(a netip.Addr) bool {
	for _, n := range c.config.Networks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}

// Counts returns the counters, which continue to change.
func (c *Conn) Counts() *Counts {
	return &c.counts
}

// LocalAddr returns the local address of the socket.
func (c *Conn) LocalAddr() net.Addr {
	return c.socket.LocalAddr()
}

// Close closes the socket.
func (c *Conn) Close() error {
	return c.socket.Close()
}

// SetDeadline sets both deadlines of the socket.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.socket.SetDeadline(t)
}

// SetReadDeadline sets the read deadline of the socket.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.socket.SetReadDeadline(t)
}

// SetWriteDeadline sets the write deadline of the socket.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.socket.SetWriteDeadline(t)
}

// SetReadBuffer sets the size of the kernel's receive buffer, in bytes.
func (c *Conn) SetReadBuffer(n int) error {
	return c.socket.SetReadBuffer(n)
}

// SetWriteBuffer sets the size of the kernel's send buffer, in bytes.
func (c *Conn) SetWriteBuffer(n int) error {
	return c.socket.SetWriteBuffer(n)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
