// Package packetbalancer forwards the packets of callers to the agents that
// hold their flows. What it remembers of flows is a cache: agents hold the truth.
package packetbalancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/recent"
	"github.com/bergamotgw/bergamotgw/internal/selection"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/internal/udpsocket"
)

// Bounds of the cache and of the work at intervals.
const (
	// cacheLimit bounds each of the two generations of the cache, in flows.
	cacheLimit = 200_000
	// PingInterval is the pause between rounds of pings to agents that do not
	// answer: no search is complete before they do.
	PingInterval = 100 * time.Millisecond
	// cutOffAfter is how long most agents must not answer before the balancer counts
	// as cut off: a lost datagram or a busy moment takes less.
	cutOffAfter = 300 * time.Millisecond
	// maxDatagramBytes is the longest datagram that is read.
	maxDatagramBytes = 2048
	// socketBufferBytes is the size of the kernel's buffers.
	socketBufferBytes = 1 << 20
)

// Config are the parameters of a balancer.
type Config struct {
	// Front takes the packets of callers.
	Front netip.AddrPort
	// Back exchanges datagrams with agents and other balancers.
	Back netip.AddrPort
	// Zone is the balancer's availability zone.
	Zone string
	// AgentPort is the port at which agents take packets.
	AgentPort uint16
	// MaxFlow is the age after which a flow may be forgotten.
	MaxFlow time.Duration
	// Bounds are those of the deployment.
	Bounds bounds.Bounds
	// Codec reads and marks packets.
	Codec packet.Codec
	// Catalog returns the newest catalog.
	Catalog func() *catalog.Catalog
	// Corroborated reports whether the servers in the catalog, and those that were
	// told to have lapsed, are all that may live.
	Corroborated func() bool
	// Alone reports whether no other balancer knows more of the servers.
	Alone func() bool
	// ReadAt returns when the catalog was read from the platform, here or elsewhere.
	ReadAt func() time.Time
	// Digest takes digests of other balancers.
	Digest func(ctx context.Context, raw []byte, from netip.AddrPort)
	// Clock measures time.
	Clock clockwork.Clock
	// Log takes events.
	Log *eventlog.Log
}

// Balancer forwards packets. It is safe for concurrent use.
type Balancer struct {
	config Config
	wire   Wire
	// front and back are nil in a wired balancer.
	front *net.UDPConn
	back  *net.UDPConn
	// buf holds the packet that is forwarded, with room for its envelope. It and
	// cached, the envelope of known flows, belong to the task that reads callers.
	buf    []byte
	cached steer.Envelope
	cache  *recent.Map[packet.Flow, place]
	counts Counts
	// lost holds the agents whose flows count as gone.
	lost atomic.Pointer[map[netip.AddrPort]bool]
	// packets counts the packets of callers.
	packets atomic.Uint64
	// used holds the agents that packets of known flows went to.
	used agentSet

	// cutOff is whether the balancer has not reached most agents for some time.
	cutOff atomic.Bool

	mu        sync.Mutex
	selection *selection.Selection
	inquiries inquiries
	// cutOffSince is when most agents stopped answering; zero if they answer.
	cutOffSince time.Time
}

// place is what the cache holds of a flow.
type place struct {
	// agent holds the flow; unset if it is being searched.
	agent netip.AddrPort
	// attempts counts searches since the flow was last found.
	attempts uint8
	// searched is when the latest search began, in the list of agents named by list;
	// zero if there was none.
	searched time.Time
	list     uint16
	// notHeld is true if that search has ended: no agent held the flow but those
	// that did not answer.
	notHeld bool
}

// Wire sends what a balancer sends. Datagrams may be reused after the call.
type Wire struct {
	// ToFleet sends a datagram to an agent or another balancer.
	ToFleet func(raw []byte, to netip.AddrPort) error
	// ToCaller sends a packet to a caller.
	ToCaller func(raw []byte, to netip.AddrPort) error
}

// NewBalancer opens the sockets of a balancer.
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
	b := NewWiredBalancer(c, Wire{ToFleet: writeTo(back), ToCaller: writeTo(front)})
	b.front, b.back = front, back
	return b, nil
}

// NewWiredBalancer returns a balancer without sockets. Its datagrams are passed
// to FromCaller and FromFleet, and PingAgents is called every PingInterval.
func NewWiredBalancer(c Config, w Wire) *Balancer {
	b := &Balancer{
		config:    c,
		wire:      w,
		cache:     recent.NewMap[packet.Flow, place](c.Clock, c.MaxFlow/2, cacheLimit),
		selection: selection.NewSelection(c.Zone, c.AgentPort, c.MaxFlow, c.Bounds, c.Clock.Now()),
		buf:       make([]byte, steer.MaxLen+maxDatagramBytes),
		inquiries: inquiries{byFlow: make(map[packet.Flow]*asked), open: make(map[uint32]*inquiry)},
	}
	b.lost.Store(&map[netip.AddrPort]bool{})
	return b
}

func writeTo(c *net.UDPConn) func(raw []byte, to netip.AddrPort) error {
	return func(raw []byte, to netip.AddrPort) error {
		_, err := c.WriteToUDPAddrPort(raw, to)
		return err
	}
}

// Run forwards until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { b.readFront() })
	wg.Go(func() { b.readBack(ctx) })
	wg.Go(func() { b.pingAgents(ctx) })
	<-ctx.Done()
	_ = b.front.Close()
	_ = b.back.Close()
	wg.Wait()
}

// SetServers takes the servers of a new catalog.
func (b *Balancer) SetServers(s catalog.Servers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selection.Update(s, b.config.Clock.Now())
}

// Lapse takes a server that is no longer listed since the given time.
func (b *Balancer) Lapse(v catalog.Server, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selection.Expire(v, since)
}

// Packets returns the number of packets of callers since the start.
func (b *Balancer) Packets() uint64 {
	return b.packets.Load()
}

// Send sends a datagram to another balancer.
func (b *Balancer) Send(raw []byte, to netip.AddrPort) {
	if err := b.wire.ToFleet(raw, to); err != nil {
		b.counts.SendFailed.Add(1)
	}
}

// pingAgents asks for reports at intervals until the context ends.
func (b *Balancer) pingAgents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.config.Clock.After(PingInterval):
		}
		b.PingAgents()
	}
}

// PingAgents asks agents for reports that have not sent one lately.
func (b *Balancer) PingAgents() {
	var ping [steer.PingLen]byte
	steer.PutPing(ping[:])
	now := b.config.Clock.Now()
	b.mu.Lock()
	b.selection.RecordRead(b.config.ReadAt())
	b.selection.NotifyChanges(now, b.logTurn)
	lost := b.selection.LostAgents(now)
	b.noteCutOff(now)
	b.used.take(func(a netip.AddrPort) { b.selection.RecordUse(a, now) })
	due := b.selection.DueForPing(now)
	for _, a := range due {
		b.selection.RecordPing(a, now)
	}
	b.mu.Unlock()
	b.lost.Store(&lost)
	for _, a := range due {
		b.Send(ping[:], a)
	}
	b.tendInquiries(now)
}

// noteCutOff notes whether the agents can be reached. The caller holds the lock.
func (b *Balancer) noteCutOff(now time.Time) {
	if !b.selection.CutOff(now) {
		if b.cutOff.Swap(false) {
			b.config.Log.Info("agentsRegained").Dur("outage", now.Sub(b.cutOffSince)).Send()
		}
		b.cutOffSince = time.Time{}
		return
	}
	if b.cutOffSince.IsZero() {
		b.cutOffSince = now
	}
	if now.Sub(b.cutOffSince) >= cutOffAfter && !b.cutOff.Swap(true) {
		b.config.Log.Warn("agentsLost").Time("since", b.cutOffSince).Send()
	}
}

// CutOff reports whether most agents have not answered for some time, so that
// packets are better given to other balancers.
func (b *Balancer) CutOff() bool {
	return b.cutOff.Load()
}

// logTurn writes that an agent has stopped or started to answer.
func (b *Balancer) logTurn(a selection.Agent, silent bool) {
	if !silent {
		b.config.Log.Info("agentAnswers").Stringer("agent", a.Address).Str("server", a.Server.ID).Send()
		return
	}
	b.config.Log.Warn("agentSilent").Stringer("agent", a.Address).Str("server", a.Server.ID).
		Time("asked", a.UnansweredSince).Time("heard", a.LastReportAt).Bool("listed", a.UnlistedSince.IsZero()).Send()
}
