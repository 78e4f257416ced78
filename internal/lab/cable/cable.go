// Package cable is a TCP proxy that cuts or stalls connections after a given
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

// copyBytes is how many bytes are passed on at once, so that limits are exact.
const copyBytes = 1

// Cable passes connections on to one address. It is safe for concurrent use.
type Cable struct {
	listener *net.TCPListener
	to       netip.AddrPort
	faults   atomic.Pointer[Faults]

	mu    sync.Mutex
	conns []net.Conn
}

// Faults are what goes wrong on the way. Negative limits mean no fault.
type Faults struct {
	// CutForward and CutBackward close the connection after so many bytes
	// towards the address, or back.
	CutForward, CutBackward int
	// StallForward and StallBackward lose everything after so many bytes while
	// the connection stays open.
	StallForward, StallBackward int
	// Delay is added to every byte.
	Delay time.Duration
}

// None is a cable without faults.
func None() Faults {
	return Faults{CutForward: -1, CutBackward: -1, StallForward: -1, StallBackward: -1}
}

// NewCable listens on a free port of the loopback address.
func NewCable(to netip.AddrPort) (*Cable, error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	c := &Cable{listener: l, to: to}
	c.SetFaults(None())
	go c.run()
	return c, nil
}

// Address returns the address that takes connections.
func (c *Cable) Address() netip.AddrPort {
	return c.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetFaults sets the faults of later connections.
func (c *Cable) SetFaults(f Faults) {
	c.faults.Store(&f)
}

// Close closes the listener and every connection.
func (c *Cable) Close() {
	_ = c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		_ = x.Close()
	}
}

func (c *Cable) run() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", c.to.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, near, far)
		c.mu.Unlock()
		f := c.faults.Load()
		go pass(far, near, f.CutForward, f.StallForward, f.Delay)
		go pass(near, far, f.CutBackward, f.StallBackward, f.Delay)
	}
}

// pass copies one direction until its limit is reached.
func pass(to, from net.Conn, cut, stall int, delay time.Duration) {
	buf := make([]byte, copyBytes)
	for passed := 0; ; {
		n, err := from.Read(buf)
		if err != nil || cut >= 0 && passed >= cut {
			_ = to.Close()
			_ = from.Close()
			return
		}
		if stall >= 0 && passed >= stall {
			continue
		}
		time.Sleep(delay)
		_, _ = to.Write(buf[:n])
		passed += n
	}
}
