// Package fabric is a stand-in for the network fabric: it forwards every datagram of a caller
// to a random balancer, and can lose, delay, reorder and duplicate datagrams.
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

// Fabric forwards datagrams between callers and balancers. It is safe for concurrent use.
type Fabric struct {
	balancerSide *net.UDPConn
	callerSide   map[netip.AddrPort]*net.UDPConn
	faults       atomic.Pointer[Faults]

	mu     sync.Mutex
	random *rand.Rand
}

// Faults states the balancers in use and the faults of the network.
type Faults struct {
	// Balancers are the front addresses over which datagrams are distributed at random.
	Balancers []netip.AddrPort `json:"balancers"`
	// Silent are the front addresses of balancers whose datagrams are dropped in both
	// directions.
	Silent []netip.AddrPort `json:"silent,omitempty"`
	// Weights are the shares of the balancers, in the order of Balancers. Unless there is one
	// for each, all shares are equal.
	Weights []float64 `json:"weights,omitempty"`
	// Loss is the share of datagrams lost in each direction, from 0 to 1.
	Loss float64 `json:"loss,omitempty"`
	// Duplicate is the share of datagrams sent twice, from 0 to 1.
	Duplicate float64 `json:"duplicate,omitempty"`
	// DelayMs is the delay of every datagram, in milliseconds.
	DelayMs float64 `json:"delayMs,omitempty"`
	// JitterMs is the largest random delay added to DelayMs, in milliseconds. It reorders
	// datagrams.
	JitterMs float64 `json:"jitterMs,omitempty"`
}

// NewFabric opens the sockets: one at balancerSide, which faces the balancers, and one at each
// service address, which faces the callers. It drops all datagrams until SetFaults names
// balancers.
func NewFabric(balancerSide netip.AddrPort, addresses []netip.AddrPort, seed uint64) (*Fabric, error) {
	f := &Fabric{
		callerSide: make(map[netip.AddrPort]*net.UDPConn),
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
	f.faults.Store(&Faults{})
	var err error
	if f.balancerSide, err = listen(balancerSide); err != nil {
		return nil, err
	}
	for _, a := range addresses {
		if f.callerSide[a], err = listen(a); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// SetFaults replaces the balancers in use and the faults.
func (f *Fabric) SetFaults(x Faults) {
	f.faults.Store(&x)
}

// Close closes all sockets.
func (f *Fabric) Close() {
	_ = f.balancerSide.Close()
	for _, c := range f.callerSide {
		if c != nil {
			_ = c.Close()
		}
	}
}

// Run forwards datagrams until the context ends, and then closes the sockets.
func (f *Fabric) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for a, c := range f.callerSide {
		wg.Go(func() { f.forwardToBalancers(a, c) })
	}
	for range 2 {
		wg.Go(f.forwardToCallers)
	}
	<-ctx.Done()
	f.Close()
	wg.Wait()
}

// forwardToBalancers forwards the datagrams that callers send to one service address.
func (f *Fabric) forwardToBalancers(address netip.AddrPort, c *net.UDPConn) {
	buf := make([]byte, envelope.MinLen+maxDatagramBytes)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf[envelope.MinLen:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		x := f.faults.Load()
		to, ok := f.pickBalancer(x)
		if err != nil || !ok || contains(x.Silent, to) {
			continue
		}
		e := envelope.Envelope{Caller: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), Address: address}
		e.Put(buf)
		f.send(x, f.balancerSide, buf[:envelope.MinLen+n], to)
	}
}

// forwardToCallers forwards the datagrams of balancers to callers.
func (f *Fabric) forwardToCallers() {
	buf := make([]byte, envelope.MinLen+maxDatagramBytes)
	for {
		n, from, err := f.balancerSide.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		x := f.faults.Load()
		if err != nil || contains(x.Silent, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) {
			continue
		}
		e, datagram, ok := envelope.Parse(buf[:n])
		if c := f.callerSide[e.Address]; ok && c != nil {
			f.send(x, c, datagram, e.Caller)
		}
	}
}

// send sends a datagram with the loss, duplication and delay that the faults state.
func (f *Fabric) send(x *Faults, c *net.UDPConn, b []byte, to netip.AddrPort) {
	copies := 1
	if x.Loss > 0 && f.randomShare() < x.Loss {
		copies = 0
	} else if x.Duplicate > 0 && f.randomShare() < x.Duplicate {
		copies = 2
	}
	for range copies {
		delay := time.Duration((x.DelayMs + x.JitterMs*f.randomShare()) * float64(time.Millisecond))
		if delay <= 0 {
			_, _ = c.WriteToUDPAddrPort(b, to)
			continue
		}
		copied := append([]byte(nil), b...)
		time.AfterFunc(delay, func() { _, _ = c.WriteToUDPAddrPort(copied, to) })
	}
}

func (f *Fabric) pickBalancer(x *Faults) (netip.AddrPort, bool) {
	if len(x.Balancers) == 0 {
		return netip.AddrPort{}, false
	}
	if len(x.Weights) != len(x.Balancers) {
		return x.Balancers[int(f.randomShare()*float64(len(x.Balancers)))], true
	}
	total := 0.0
	for _, w := range x.Weights {
		total += w
	}
	remaining := f.randomShare() * total
	for i, w := range x.Weights {
		if remaining -= w; remaining < 0 {
			return x.Balancers[i], true
		}
	}
	return x.Balancers[len(x.Balancers)-1], true
}

func (f *Fabric) randomShare() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// Handler returns the handler of POST /admin/faults, which sets the Faults in its JSON body.
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
