// Package peerport accepts TCP connections from other processes of the system, and selects the
// protocol of each connection by its first byte.
package peerport

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"
)

// firstByteTimeout limits the wait for the first byte of a connection.
const firstByteTimeout = 5 * time.Second

// Protocol is the first byte of a connection, which identifies its protocol.
type Protocol byte

// Protocols of the port.
const (
	// RPC is JSON-RPC; the byte is part of the first message.
	RPC Protocol = '{'
	// Handover is the hand-over of one request; the byte is not part of the first message.
	Handover Protocol = 'H'
)

// Port is a listening TCP socket shared by several protocols.
type Port struct {
	listener *net.TCPListener
	networks []netip.Prefix
	handlers map[Protocol]func(ctx context.Context, c net.Conn)
}

// NewPort opens the port. Connections from outside the networks are closed immediately.
func NewPort(address netip.AddrPort, networks []netip.Prefix) (*Port, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prepend(err, "listen on peer port")
	}
	return &Port{
		listener: l,
		networks: networks,
		handlers: make(map[Protocol]func(context.Context, net.Conn)),
	}, nil
}

// Handle sets the handler of a protocol. It must be called before Run. The handler must close
// the connection.
func (p *Port) Handle(protocol Protocol, handler func(ctx context.Context, c net.Conn)) {
	p.handlers[protocol] = handler
}

// Run accepts connections until the context ends, and waits until their handlers have returned.
func (p *Port) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := p.listener.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		wg.Go(func() { p.serve(ctx, c) })
	}
}

func (p *Port) serve(ctx context.Context, c *net.TCPConn) {
	if !p.permitted(c.RemoteAddr()) {
		_ = c.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetReadDeadline(time.Now().Add(firstByteTimeout))
	r := bufio.NewReader(c)
	first, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if err != nil {
		_ = c.Close()
		return
	}
	protocol := Protocol(first[0])
	handler, ok := p.handlers[protocol]
	if !ok {
		_ = c.Close()
		return
	}
	if protocol != RPC {
		_, _ = r.Discard(1)
	}
	handler(ctx, &peekedConn{TCPConn: c, reader: r})
}

func (p *Port) permitted(a net.Addr) bool {
	ip := a.(*net.TCPAddr).AddrPort().Addr().Unmap()
	return lo.ContainsBy(p.networks, func(n netip.Prefix) bool { return n.Contains(ip) })
}

// peekedConn is a connection whose first bytes are in the buffer of a reader.
type peekedConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func (c *peekedConn) Read(b []byte) (int, error) {
	return c.reader.Read(b)
}

// Address returns the address of the listening socket.
func (p *Port) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}
