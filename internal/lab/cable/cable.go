// Package cable is a TCP proxy for tests. It closes or stalls connections after a given
// number of bytes.
package cable

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// copyBufferLen is the number of bytes that are forwarded at a time. It is 1, so that
// the limits of faults are exact.
const copyBufferLen = 1

// Proxy forwards connections to one target address. It is safe for concurrent use.
type Proxy struct {
	listener *net.TCPListener
	target   netip.AddrPort
	faults   atomic.Pointer[Faults]

	mu    sync.Mutex
	conns []net.Conn
}

// Faults holds the faults of connections. A negative limit means no fault.
type Faults struct {
	// CutForward and CutBackward close the connection after the given number of bytes
	// towards the target, or from it.
	CutForward, CutBackward int
	// StallForward and StallBackward discard all bytes after the given number of bytes
	// towards the target, or from it, while the connection stays open.
	StallForward, StallBackward int
	// Delay is the delay of every byte.
	Delay time.Duration
}

// NoFaults returns faults with which connections are forwarded unchanged.
func NoFaults() Faults {
	return Faults{CutForward: -1, CutBackward: -1, StallForward: -1, StallBackward: -1}
}

// NewProxy starts a proxy to the target that listens on a free TCP port of 127.0.0.1. It
// returns an error if it cannot listen.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	p := &Proxy{listener: l, target: target}
	p.SetFaults(NoFaults())
	go p.acceptConns()
	return p, nil
}

// Address returns the address on which the proxy accepts connections.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetFaults sets the faults of connections that are accepted from now on.
func (p *Proxy) SetFaults(f Faults) {
	p.faults.Store(&f)
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.conns {
		_ = x.Close()
	}
}

func (p *Proxy) acceptConns() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp4", p.target.String())
		if err != nil {
			_ = clientConn.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, clientConn, targetConn)
		p.mu.Unlock()
		f := p.faults.Load()
		go forward(targetConn, clientConn, f.CutForward, f.StallForward, f.Delay)
		go forward(clientConn, targetConn, f.CutBackward, f.StallBackward, f.Delay)
	}
}

// forward copies the bytes of one direction, each after the delay, until a connection
// fails or the limit for closing is reached.
func forward(to, from net.Conn, cutAfter, stallAfter int, delay time.Duration) {
	buf := make([]byte, copyBufferLen)
	for forwarded := 0; ; {
		n, err := from.Read(buf)
		if err != nil || cutAfter >= 0 && forwarded >= cutAfter {
			_ = to.Close()
			_ = from.Close()
			return
		}
		if stallAfter >= 0 && forwarded >= stallAfter {
			continue
		}
		time.Sleep(delay)
		_, _ = to.Write(buf[:n])
		forwarded += n
	}
}
