// Package fabric is a stand-in for the network fabric: it hands every datagram
// of a caller to any balancer, and can lose, delay, reorder and double them.
package fabric

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/envelope"
)

const (
	maxDatagramBytes  = 2048
	socketBufferBytes = 8 << 20
)

// Fabric sprays datagrams over balancers. It is safe for concurrent use.
type Fabric struct {
	inner  *net.UDPConn
	outer  map[netip.AddrPort]*net.UDPConn
	faults atomic.Pointer[Faults]

	mu     sync.Mutex
	random *rand.Rand
}

// Faults are the balancers in use and what goes wrong on the way.
type Faults struct {
	// Balancers are the front addresses that datagrams are sprayed over.
	Balancers []netip.AddrPort `json:"balancers"`
	// Silent are balancers whose datagrams are lost in both directions.
	Silent []netip.AddrPort `json:"silent,omitempty"`
	// Weights are the shares of the balancers; all are equal without.
	Weights []float64 `json:"weights,omitempty"`
	// Loss is the share of datagrams lost in each direction, from 0 to 1.
	Loss float64 `json:"loss,omitempty"`
	// Duplicate is the share of datagrams sent twice.
	Duplicate float64 `json:"duplicate,omitempty"`
	// DelayMs delays every datagram, in milliseconds.
	DelayMs float64 `json:"delayMs,omitempty"`
	// JitterMs adds up to this delay at random, which reorders, in milliseconds.
	JitterMs float64 `json:"jitterMs,omitempty"`
}

// NewFabric opens the sockets: inner towards balancers, one for each service
// address towards callers.
func NewFabric(inner netip.AddrPort, addresses []netip.AddrPort, seed uint64) (*Fabric, error) {
	f := &Fabric{
		outer:  make(map[netip.AddrPort]*net.UDPConn),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	f.faults.Store(&Faults{})
	var err error
	if f.inner, err = listen(inner); err != nil {
		return nil, err
	}
	for _, a := range addresses {
		if f.outer[a], err = listen(a); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// SetFaults replaces the balancers and faults.
func (f *Fabric) SetFaults(x Faults) {
	f.faults.Store(&x)
}

// Close closes all sockets.
func (f *Fabric) Close() {
	_ = f.inner.Close()
	for _, c := range f.outer {
		if c != nil {
			_ = c.Close()
		}
	}
}

// Run forwards datagrams until the context ends.
func (f *Fabric) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for a, c := range f.outer {
		wg.Go(func() { f.inward(a, c) })
	}
	for range 2 {
		wg.Go(f.outward)
	}
	<-ctx.Done()
	f.Close()
	wg.Wait()
}

// inward sprays what callers send to one service address.
func (f *Fabric) inward(address netip.AddrPort, c *net.UDPConn) {
	buf := make([]byte, envelope.MinLen+maxDatagramBytes)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf[envelope.MinLen:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		x := f.faults.Load()
		to, ok := f.pick(x)
		if err != nil || !ok || contains(x.Silent, to) {
			continue
		}
		e := envelope.Envelope{Caller: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), Address: address}
		e.Put(buf)
		f.send(x, f.inner, buf[:envelope.MinLen+n], to)
	}
}

// outward passes the answers of balancers to callers.
func (f *Fabric) outward() {
	buf := make([]byte, envelope.MinLen+maxDatagramBytes)
	for {
		n, from, err := f.inner.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		x := f.faults.Load()
		if err != nil || contains(x.Silent, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) {
			continue
		}
		e, datagram, ok := envelope.Parse(buf[:n])
		if c := f.outer[e.Address]; ok && c != nil {
			f.send(x, c, datagram, e.Caller)
		}
	}
}

// send applies loss, duplication and delay.
func (f *Fabric) send(x *Faults, c *net.UDPConn, b []byte, to netip.AddrPort) {
	copies := 1
	if x.Loss > 0 && f.float() < x.Loss {
		copies = 0
	} else if x.Duplicate > 0 && f.float() < x.Duplicate {
		copies = 2
	}
	for range copies {
		delay := time.Duration((x.DelayMs + x.JitterMs*f.float()) * float64(time.Millisecond))
		if delay <= 0 {
			_, _ = c.WriteToUDPAddrPort(b, to)
			continue
		}
		later := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { _, _ = c.WriteToUDPAddrPort(later, to) })
	}
}

func (f *Fabric) pick(x *Faults) (netip.AddrPort, bool) {
	if len(x.Balancers) == 0 {
		return netip.AddrPort{}, false
	}
	if len(x.Weights) != len(x.Balancers) {
		return x.Balancers[int(f.float()*float64(len(x.Balancers)))], true
	}
	total := 0.0
	for _, w := range x.Weights {
		total += w
	}
	left := f.float() * total
	for i, w := range x.Weights {
		if left -= w; left < 0 {
			return x.Balancers[i], true
		}
	}
	return x.Balancers[len(x.Balancers)-1], true
}

func (f *Fabric) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// Handler serves POST /admin/faults.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var x Faults
		if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(x)
	})
	return mux
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, merry.Prepend(err, "fabric")
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	return c, nil
}

func contains(list []netip.AddrPort, a netip.AddrPort) bool {
	for _, x := range list {
		if x == a {
			return true
		}
	}
	return false
}
