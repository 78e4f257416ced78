// Package relay is the packet connection of an agent: QUIC datagrams in
// envelopes, exchanged with balancers.
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

// Bounds of what the connection remembers.
const (
	maxDatagramBytes  = 2048
	socketBufferBytes = 4 << 20
	// choiceLifetime is how long retransmissions of a first datagram follow it.
	choiceLifetime = 10 * time.Second
	maxChoices     = 100_000
	// pathLifetime exceeds the idle timeout of every flow.
	pathLifetime = 2 * time.Minute
)

// Conn exchanges the datagrams of one agent. It implements net.PacketConn with
// callers' addresses.
type Conn struct {
	config  Config
	socket  *net.UDPConn
	paths   *paths.Paths
	choices *recent.Map[flowKey, choice]
	buffers sync.Pool
	counts  Counts
}

// Config are the parameters of a connection.
type Config struct {
	// Listen is the address towards balancers.
	Listen netip.AddrPort
	// Service is the numeric identity of the agent's service.
	Service uint32
	// Networks are the networks that balancers and agents may be in; never empty.
	Networks []netip.Prefix
	// TakeFlow decides whether a new flow stays here. last is true if no other
	// agent follows in the list of candidates.
	TakeFlow func(last bool) bool
	// Clock ages what is remembered.
	Clock clockwork.Clock
}

// Counts are the datagrams met since the start.
type Counts struct {
	// WrongService counts datagrams for another service, which are dropped.
	WrongService atomic.Uint64
	// Foreign counts datagrams from outside the permitted networks, which are dropped.
	Foreign atomic.Uint64
	// Malformed counts datagrams without a valid envelope, which are dropped.
	Malformed atomic.Uint64
	// PassedOn counts datagrams of new flows that went to the next candidate.
	PassedOn atomic.Uint64
	// Refused counts datagrams of new flows that no agent took.
	Refused atomic.Uint64
	// NoPath counts answers to callers that were not heard lately.
	NoPath atomic.Uint64
}

// flowKey identifies a flow before it has a connection ID of an agent.
type flowKey struct {
	caller netip.AddrPort
	id     [connid.Len]byte
}

type choice uint8

const (
	taken choice = iota
	passedOn
	refused
)

// NewConn opens the socket of the agent.
func NewConn(c Config) (*Conn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, merry.Prepend(err, "relay")
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return &Conn{
		config:  c,
		socket:  socket,
		paths:   paths.NewPaths(c.Clock, pathLifetime),
		choices: recent.NewMap[flowKey, choice](c.Clock, choiceLifetime, maxChoices),
		buffers: sync.Pool{New: func() any { return new([envelope.MaxLen + maxDatagramBytes]byte) }},
	}, nil
}

// ReadFrom returns the next datagram of a flow that this agent holds or takes,
// and the caller's address.
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
		e, datagram, ok := c.admit(buf[:n], from)
		if !ok {
			continue
		}
		c.paths.Record(e.Caller, paths.Path{Address: e.Address, Via: e.Via})
		return copy(p, datagram), net.UDPAddrFromAddrPort(e.Caller), nil
	}
}

// WriteTo sends a datagram to the caller through a balancer.
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	a, ok := addr.(*net.UDPAddr)
	if !ok || len(p) > maxDatagramBytes {
		return 0, merry.Errorf("cannot send %d bytes to %v", len(p), addr)
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

// admit returns the datagram if it belongs to a flow of this agent.
func (c *Conn) admit(b []byte, from netip.AddrPort) (envelope.Envelope, []byte, bool) {
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
	return e, datagram, !e.NewFlow || c.admitNew(e, datagram)
}

// admitNew decides about the first datagrams of a flow and follows the same
// decision for retransmissions.
func (c *Conn) admitNew(e envelope.Envelope, datagram []byte) bool {
	h, ok := quicheader.Parse(datagram, connid.Len)
	if !ok || !h.Long {
		c.counts.Malformed.Add(1)
		return false
	}
	key := flowKey{caller: e.Caller}
	copy(key.id[:], h.DestinationID)
	next, more := e.Next()
	made, known := c.choices.Get(key)
	if !known {
		made = c.choose(more)
		c.choices.Put(key, made)
	}
	switch made {
	case taken:
		return true
	case passedOn:
		if more {
			c.passOn(e.WithHop(), datagram, next)
		}
	case refused:
		c.counts.Refused.Add(1)
	}
	return false
}

func (c *Conn) choose(more bool) choice {
	if c.config.TakeFlow(!more) {
		return taken
	}
	if more {
		return passedOn
	}
	return refused
}

func (c *Conn) passOn(e envelope.Envelope, datagram []byte, next netip.AddrPort) {
	b := make([]byte, e.Len()+len(datagram))
	e.Put(b)
	copy(b[e.Len():], datagram)
	c.counts.PassedOn.Add(1)
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

// Counts returns the live counters.
func (c *Conn) Counts() *Counts {
	return &c.counts
}

// LocalAddr returns the address towards balancers.
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
