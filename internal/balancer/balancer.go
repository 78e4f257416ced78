// Package balancer forwards UDP datagrams between the fabric and the agents. It
// is stateless: it routes established flows by their connection ID and new flows
// by rendezvous hashing.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/envelope"
	"github.com/bergamotgw/bergamotgw/internal/routes"
	"github.com/bergamotgw/bergamotgw/internal/udpsocket"
)

// socketBufferBytes is the size of the kernel's receive and send buffer of each socket.
const socketBufferBytes = 4 << 20

// Balancer forwards datagrams. It is safe for concurrent use.
type Balancer struct {
	front  *net.UDPConn
	back   *net.UDPConn
	fabric netip.AddrPort
	// via is the address of back, written into envelopes for the agents.
	via netip.AddrPort
	// agentNetworks are the only permitted destinations of established flows
	// and sources of answers.
	agentNetworks []netip.Prefix
	// codec and table are never nil; they are replaced, never modified.
	codec atomic.Pointer[connid.Codec]
	table atomic.Pointer[routes.Table]
	// drops are indexed by Reason.
	drops  [reasonCount]atomic.Uint64
	counts Counts
}

// Counts are the numbers of datagrams forwarded since the start.
type Counts struct {
	// Established counts datagrams routed by connection ID.
	Established atomic.Uint64
	// NewFlow counts datagrams routed by rendezvous hashing.
	NewFlow atomic.Uint64
	// Answers counts datagrams from agents to callers.
	Answers atomic.Uint64
}

// Config are the parameters of a balancer.
type Config struct {
	// Front is the local address for datagrams from the fabric.
	Front netip.AddrPort
	// Fabric is the address to which answers are sent.
	Fabric netip.AddrPort
	// Back is the local address for datagrams to and from agents.
	Back netip.AddrPort
	// AgentNetworks are the networks that agents may be in; never empty.
	AgentNetworks []netip.Prefix
	// Codec decrypts connection IDs.
	Codec *connid.Codec
	// Table is the initial routing table.
	Table *routes.Table
}

// NewBalancer opens the sockets of a balancer. It fails if one cannot be opened.
func NewBalancer(c Config) (*Balancer, error) {
	front, err := udpsocket.Listen(c.Front, socketBufferBytes)
	if err != nil {
		return nil, merry.Prepend(err, "front")
	}
	back, err := udpsocket.Listen(c.Back, socketBufferBytes)
	if err != nil {
		_ = front.Close()
		return nil, merry.Prepend(err, "back")
	}
	b := &Balancer{
		front:         front,
		back:          back,
		fabric:        c.Fabric,
		via:           localAddr(back),
		agentNetworks: c.AgentNetworks,
	}
	b.codec.Store(c.Codec)
	b.table.Store(c.Table)
	return b, nil
}

// SetTable replaces the routing table.
func (b *Balancer) SetTable(t *routes.Table) {
	b.table.Store(t)
}

// Evacuated returns the number of endpoints in evacuated zones.
func (b *Balancer) Evacuated() int {
	return b.table.Load().Evacuated()
}

// SetCodec replaces the keys of connection IDs.
func (b *Balancer) SetCodec(c *connid.Codec) {
	b.codec.Store(c)
}

// Counts returns the counters, which continue to change.
func (b *Balancer) Counts() *Counts {
	return &b.counts
}

// Run forwards datagrams with the given number of workers for each direction
// until the context ends.
func (b *Balancer) Run(ctx context.Context, workers int) {
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { b.forwardLoop(b.front, envelope.MaxLen-envelope.MinLen, b.toAgent) })
		wg.Go(func() { b.forwardLoop(b.back, 0, b.toCaller) })
	}
	<-ctx.Done()
	_ = b.front.Close()
	_ = b.back.Close()
	wg.Wait()
}

func localAddr(c *net.UDPConn) netip.AddrPort {
	a := c.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (b *Balancer) inAgentNetworks(a netip.Addr) bool {
	return lo.ContainsBy(b.agentNetworks, func(n netip.Prefix) bool { return n.Contains(a) })
}
