// Package packetbalancer forwards packets of callers to the agents whose servers hold their
// flows. It caches the agent of each flow; the agents' tables of flows are authoritative. If
// the cache has no entry, the balancer searches for the flow among the agents.
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
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/flowplacement"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/recent"
	"github.com/bergamotgw/bergamotgw/internal/routehistory"
	"github.com/bergamotgw/bergamotgw/internal/selection"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/internal/udpsocket"
)

// Limits of the cache and of datagrams, and timing of the pings.
const (
	// cacheLimit is the maximum number of flows in each of the two generations of the cache.
	cacheLimit = 200_000
	// PingInterval is the pause between rounds of pings to agents that do not answer: no
	// search is complete before they do.
	PingInterval = 100 * time.Millisecond
	// cutOffDelay is how long most agents must not answer before the balancer counts as cut
	// off: a lost datagram or a brief overload takes less.
	cutOffDelay = 300 * time.Millisecond
	// maxDatagramBytes is the length of the longest datagram that is read.
	maxDatagramBytes = 2048
	// socketBufferBytes is the size of the kernel's buffers of each socket.
	socketBufferBytes = 1 << 20
)

// Config are the parameters of a balancer.
type Config struct {
	// Front is the local address that receives packets of callers.
	Front netip.AddrPort
	// Back is the local address that exchanges datagrams with agents and other balancers.
	Back netip.AddrPort
	// Zone is the balancer's availability zone.
	Zone string
	// AgentPort is the port at which agents receive packets.
	AgentPort uint16
	// MaxFlow is the age after which a flow may be removed from the cache.
	MaxFlow time.Duration
	// Bounds are the bounds of the deployment.
	Bounds bounds.Bounds
	// Placement orders the agents that are compared for a new flow, and makes agents without a
	// free slot pass the flow on; nil if agents are ordered by expected delay.
	Placement *flowplacement.Policy
	// Codec decodes packets and encodes resets.
	Codec packet.Codec
	// RouteHistory holds the services that routes have led to.
	RouteHistory *routehistory.History
	// Catalog returns the newest catalog.
	Catalog func() *catalog.Catalog
	// Corroborated reports whether the servers in the catalog, and those passed to Expire, are
	// confirmed to be all that may run.
	Corroborated func() bool
	// NoCorroboratedPeer reports whether no other balancer has a list of servers that is
	// confirmed to be complete: all of them have just started, or there are none.
	NoCorroboratedPeer func() bool
	// ReadAt returns when the list of servers was read from the platform, by this balancer or
	// another one, as far as is known: what another one has stated may have waited.
	ReadAt func() time.Time
	// ReadSince returns a time of the own clock after which the routes and servers were read for
	// certain, never after ReadAt, and RequestReading requests a later reading.
	ReadSince      func() time.Time
	RequestReading func()
	// Digest handles digests of other balancers, and their requests for readings.
	Digest func(ctx context.Context, raw []byte, from netip.AddrPort)
	// Clock measures time.
	Clock clockwork.Clock
	// Log receives events.
	Log *eventlog.Log
}

// Balancer forwards packets. It is safe for concurrent use.
type Balancer struct {
	config    Config
	transport Transport
	started   time.Time
	// front and back are nil in a balancer that was made with a transport of its own.
	front *net.UDPConn
	back  *net.UDPConn
	// buf holds the packet that is forwarded, with room for its envelope. It and
	// cachedEnvelope, the envelope for flows in the cache, belong to the goroutine that reads
	// packets of callers.
	buf            []byte
	cachedEnvelope steer.Envelope
	cache          *recent.Map[packet.Flow, cacheEntry]
	counts         Counts
	// lostAgents holds the agents that do not answer and whose servers no longer hold any
	// flow: cache entries that name them are ignored.
	lostAgents atomic.Pointer[map[netip.AddrPort]bool]
	// packets counts the packets of callers.
	packets atomic.Uint64
	// usedAgents holds the agents that packets of cached flows were sent to since the last
	// round of pings.
	usedAgents agentSet

	// cutOff is true if most agents have not answered for at least cutOffDelay.
	cutOff atomic.Bool

	mu        sync.Mutex
	selection *selection.Selection
	queries   queries
	// namedVersion is the version of the routes whose services the selection has been told.
	namedVersion uint64
	// cutOffSince is when most agents stopped answering; zero if they answer.
	cutOffSince time.Time
}

// cacheEntry is what the cache holds of a flow.
type cacheEntry struct {
	// agent holds the flow; unset while the flow is searched.
	agent netip.AddrPort
	// placed is true if the first copy of the flow's SYN was offered to agent first, and no agent
	// has admitted the flow yet.
	placed bool
	// attempts counts the searches since the flow was last found.
	attempts uint8
	// searchedAt is when the latest search began, in the list of agents with the version
	// listVersion; zero if there was none.
	searchedAt  time.Time
	listVersion uint16
	// notHeld is true if that search has ended and none of the agents that answered holds the
	// flow.
	notHeld bool
}

// Transport sends the balancer's datagrams. The functions must not keep the datagram after they
// return.
type Transport struct {
	// SendFleetDatagram sends a datagram to an agent or another balancer.
	SendFleetDatagram func(raw []byte, to netip.AddrPort) error
	// SendToCaller sends a packet to a caller.
	SendToCaller func(raw []byte, to netip.AddrPort) error
}

// NewBalancer opens the sockets of a balancer. Errors name the socket, front or back.
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
	b := NewBalancerWithTransport(c, Transport{SendFleetDatagram: writeTo(back), SendToCaller: writeTo(front)})
	b.front, b.back = front, back
	return b, nil
}

// NewBalancerWithTransport returns a balancer without sockets. Its owner passes received
// datagrams to HandleCallerPacket and HandleFleetDatagram, and calls PingAgents every
// PingInterval.
func NewBalancerWithTransport(c Config, w Transport) *Balancer {
	b := &Balancer{
		config:    c,
		transport: w,
		started:   c.Clock.Now(),
		cache:     recent.NewMap[packet.Flow, cacheEntry](c.Clock, c.MaxFlow/2, cacheLimit),
		selection: selection.NewSelection(c.Zone, c.AgentPort, c.MaxFlow, c.Bounds, c.Clock.Now()),
		buf:       make([]byte, steer.MaxLen+maxDatagramBytes),
		queries:   queries{byFlow: make(map[packet.Flow]*searchedFlow), open: make(map[uint32]*flowQuery)},
	}
	if c.Placement != nil {
		b.selection.SetOrder(c.Placement.Order)
	}
	b.lostAgents.Store(&map[netip.AddrPort]bool{})
	return b
}

func writeTo(c *net.UDPConn) func(raw []byte, to netip.AddrPort) error {
	return func(raw []byte, to netip.AddrPort) error {
		_, err := c.WriteToUDPAddrPort(raw, to)
		return err
	}
}

// Run forwards packets until the context ends, then closes the sockets.
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

// SetRoutes applies new routes to the selection of agents.
func (b *Balancer) SetRoutes(r catalog.Routes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selection.SetColdRates(r.ColdFlowsPerSecond)
	if r.Version != b.namedVersion {
		b.namedVersion = r.Version
		b.selection.NameServices(r.ServiceNames())
	}
}

// SetServers replaces the list of servers by that of a new catalog.
func (b *Balancer) SetServers(s catalog.Servers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selection.Update(s, b.config.Clock.Now())
}

// Expire adds a server that has not been listed since the given time, but may still hold flows.
// The balancer may never have seen it listed.
func (b *Balancer) Expire(v catalog.Server, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selection.Expire(v, since, b.config.Clock.Now())
}

// Utilization returns how evenly the agents that report to this balancer are loaded.
func (b *Balancer) Utilization() selection.Utilization {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.selection.Utilization(b.config.Clock.Now())
}

// Packets returns the number of packets of callers since the start.
func (b *Balancer) Packets() uint64 {
	return b.packets.Load()
}

// Send sends a datagram to an agent or another balancer. A datagram that could not be sent is
// counted.
func (b *Balancer) Send(raw []byte, to netip.AddrPort) {
	if err := b.transport.SendFleetDatagram(raw, to); err != nil {
		b.counts.SendFailed.Add(1)
	}
}

// pingAgents calls PingAgents at intervals until the context ends.
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

// PingAgents sends a ping to each agent whose report is due, updates which agents count as
// lost, and maintains the searches.
func (b *Balancer) PingAgents() {
	now := b.config.Clock.Now()
	b.mu.Lock()
	b.recordReading(now)
	b.selection.NotifyChanges(now, b.logStateChange)
	b.selection.NotifyStopped(b.logStopped)
	lostAgents := b.selection.LostAgents(now)
	b.updateCutOff(now)
	b.usedAgents.take(func(a netip.AddrPort) { b.selection.RecordUse(a, now) })
	due := b.selection.DueForPing(now)
	b.mu.Unlock()
	b.lostAgents.Store(&lostAgents)
	b.ping(due, now)
	b.maintainSearches(now)
}

// recordReading passes the time of the latest reading of the list to the selection, and that the process
// runs. The caller holds the lock.
func (b *Balancer) recordReading(now time.Time) {
	b.selection.RecordRun(now)
	b.selection.RecordRead(b.config.ReadAt(), b.config.ReadSince())
}

// ping sends a ping to each of some agents. The caller does not hold the lock.
func (b *Balancer) ping(agents []netip.AddrPort, now time.Time) {
	b.mu.Lock()
	notices := lo.Map(agents, func(a netip.AddrPort, _ int) steer.Notice { return b.notice(a, now) })
	for _, a := range agents {
		b.selection.RecordPing(a, now)
	}
	b.mu.Unlock()
	for i, a := range agents {
		var ping [steer.PingLen]byte
		steer.PutPing(ping[:], notices[i])
		b.Send(ping[:], a)
	}
}

// notice returns what a ping tells an agent about its server. The caller holds the lock.
func (b *Balancer) notice(address netip.AddrPort, now time.Time) steer.Notice {
	a := b.selection.Agent(address)
	if a.Server.ID == "" {
		return steer.Notice{}
	}
	c, evacuations := b.config.Catalog(), b.selection.Evacuations()
	return steer.Notice{
		EvacuationsKnown:   evacuations.Known(),
		EvacuationsAt:      evacuations.Position,
		Evacuated:          b.selection.ZoneEvacuated(a.Server.Zone),
		ServerKnown:        a.Server.Born > 0 && a.UnlistedSince.IsZero(),
		Service:            catalog.ServiceID(a.Server.Service),
		CommonStart:        b.selection.StartedTogether(a.Server),
		Born:               a.Server.Born,
		Warmup:             max(a.WarmUntil.Sub(now), 0),
		ColdFlowsPerSecond: c.Routes.ColdFlowsPerSecond[a.Server.Service],
	}
}

// updateCutOff updates whether the balancer counts as cut off from most agents. The caller
// holds the lock.
func (b *Balancer) updateCutOff(now time.Time) {
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
	if now.Sub(b.cutOffSince) >= cutOffDelay && !b.cutOff.Swap(true) {
		b.config.Log.Warn("agentsLost").Time("since", b.cutOffSince).Send()
	}
}

// CutOff reports whether most agents have not answered for at least cutOffDelay, so that
// callers' packets should go to other balancers.
func (b *Balancer) CutOff() bool {
	return b.cutOff.Load()
}

// logStateChange logs that an agent has stopped or started to answer.
func (b *Balancer) logStateChange(a selection.Agent, silent bool) {
	if !silent {
		b.config.Log.Info("agentAnswers").Stringer("agent", a.Address).Str("server", a.Server.ID).Send()
		return
	}
	b.config.Log.Warn("agentSilent").Stringer("agent", a.Address).Str("server", a.Server.ID).
		Time("asked", a.UnansweredSince).Time("heard", a.LastReportAt).Bool("listed", a.UnlistedSince.IsZero()).Send()
}

// logStopped logs that an agent has stated that its listed server has stopped, or no longer does.
func (b *Balancer) logStopped(a selection.Agent, stopped bool) {
	if !stopped {
		b.config.Log.Info("serverMayRun").Stringer("agent", a.Address).Str("server", a.Server.ID).Send()
		return
	}
	b.config.Log.Warn("serverStopped").Stringer("agent", a.Address).Str("server", a.Server.ID).
		Time("started", time.UnixMilli(a.Server.Born)).Bool("agentLeaves", a.Load.State == steer.Leaving).Send()
}

// StoppedServers returns how many listed servers have stopped by the statement of their agents.
func (b *Balancer) StoppedServers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.selection.AllStoppedServers()
}
