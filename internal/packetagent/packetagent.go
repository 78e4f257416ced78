// Package packetagent implements the agent, which runs beside a backend server and relays
// packets between balancers and that server. It keeps the authoritative table of the
// server's flows, admits or refuses new flows, and queues requests that exceed the
// server's slots.
package packetagent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/coldstart"
	"github.com/bergamotgw/bergamotgw/internal/completeness"
	"github.com/bergamotgw/bergamotgw/internal/dispatch"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/flowtable"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/presence"
	"github.com/bergamotgw/bergamotgw/internal/recent"
	"github.com/bergamotgw/bergamotgw/internal/servicetime"
	"github.com/bergamotgw/bergamotgw/internal/shedding"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/internal/udpsocket"
)

// Sizes of tables, datagrams and buffers.
const (
	// maxBouncedFlows bounds each of the two generations of bounced flows; at some 40 bytes
	// a flow they take less than a megabyte.
	maxBouncedFlows = 10_000

	maxDatagramBytes  = 2048
	socketBufferBytes = 1 << 20
)

// Config holds the parameters of an agent.
type Config struct {
	// Service is the numeric identity of the server's service.
	Service uint32
	// Relay is the UDP address of the agent towards balancers and other agents.
	Relay netip.AddrPort
	// Outbound is the UDP address that receives packets of the server.
	Outbound netip.AddrPort
	// Server is the address at which the server receives packets of callers.
	Server netip.AddrPort
	// CallerPort is the port to which packets for callers are sent.
	CallerPort uint16
	// RequestIDHeader names the header field with the ID of a request, for logs;
	// empty if there is none.
	RequestIDHeader string
	// MaxFlow is the longest time that a flow may last. An entry without packets for so long
	// is removed.
	MaxFlow time.Duration
	// Codec reads and marks packets.
	Codec packet.Codec
	// WarmupOverage and WarmupSlack bound the new flows that a cold server receives in any second:
	// its stated rate times WarmupOverage, plus WarmupSlack. 0 for WarmupOverage means that the
	// deployment states no bound; then the rate alone applies.
	WarmupOverage, WarmupSlack float64
	// Observe is called at the first bytes of an answer. It receives whether the request
	// must not run twice, the time since the caller sent it, and the part of that time
	// after its delivery to the server.
	Observe func(once bool, total, server time.Duration)
	// Probe starts a connection attempt to the server, whose outcome is passed to RecordProbe. It
	// does not block. It is nil if the server is never probed.
	Probe func()
	// Digest handles digests of balancers; nil if the agent keeps no replica of the catalog.
	Digest func(raw []byte, from netip.AddrPort)
	// Clock is the source of time.
	Clock clockwork.Clock
	// Log receives the events.
	Log *eventlog.Log
}

// Agent relays packets between balancers and a backend server. It is safe for concurrent use.
type Agent struct {
	config Config
	// idField is RequestIDHeader followed by a colon; nil if that is empty.
	idField   []byte
	transport Transport
	// relay and outbound are nil in an agent without sockets.
	relay    *net.UDPConn
	outbound *net.UDPConn
	counts   Counts

	mu sync.Mutex
	// completeness is what is known about flows of the server that are not in the table.
	completeness *completeness.Table
	// sweptAt is the time of the latest sweep.
	sweptAt time.Time
	table   *flowtable.Table
	queue   dispatch.Queue
	service servicetime.Estimator
	// running holds the requests that the server is processing, by flow.
	running map[packet.Flow]running
	// expected holds the times of admission of flows whose first request has not arrived.
	expected map[packet.Flow]time.Time
	// serverQueries holds the flows of which a packet was delivered to the server to find
	// out whether it holds them, until it answers.
	serverQueries map[packet.Flow]serverQuery
	// bounced holds flows of which the server has bounced a packet. The server receives
	// no further query about them: it can hold them only if a SYN has passed since.
	bounced *recent.Map[packet.Flow, struct{}]
	// tags holds the envelopes of packets that the server may bounce.
	tags tagRing
	// slots is how many requests the server processes concurrently; 0 until a balancer has
	// sent the number.
	slots int
	// unansweredSince is when the first packet after the server's latest one was delivered
	// to it; zero if none was.
	unansweredSince time.Time
	// synUnansweredSince is when the first SYN after the server's latest packet was delivered to it;
	// zero if none was.
	synUnansweredSince time.Time
	// probedAt is when a SYN was last delivered to the silent server although its agent would
	// refuse the flow.
	probedAt time.Time
	// wasSilent is whether the server was silent at the latest check.
	wasSilent bool
	// subscribers holds when each balancer last sent a packet or a ping.
	subscribers map[netip.AddrPort]time.Time
	// reportedLoad is the latest load that was sent to the subscribers.
	reportedLoad steer.Load
	reportedAt   time.Time
	rate         rateMeter
	failures     failureMeter
	leaving      bool
	// noticed is what balancers have stated about the server.
	noticed noticed
	// presence is what is known about whether the listed server runs, and statedStopped its start if
	// that was stated as stopped at the latest check, otherwise 0.
	presence      presence.Presence
	statedStopped int64
	// repeats is how often a change of statedStopped is still to be reported again: a balancer that has
	// lost the report may not ping the agent for seconds.
	repeats int
	// probeLogged is the latest outcome of a probe that was logged.
	probeLogged string
	// syns counts the opening packets that were delivered to the server, and restart is the
	// evidence that it has restarted.
	syns    coldstart.Limiter
	restart restart
	// shedder decides which new flows are refused while the servers of the service are full.
	shedder *shedding.Shedder
	// active is the number of flows with recent packets at the latest sweep.
	active int
}

// serverQuery is a query whether the server holds a flow: a packet of the flow was
// delivered, and the server answers or bounces it.
type serverQuery struct {
	// balancer searches for the flow.
	balancer netip.AddrPort
	class    steer.Class
	at       time.Time
}

// running is a request that the server is processing.
type running struct {
	sentAt      time.Time
	deliveredAt time.Time
	// concurrent is the number of requests at the server at deliveredAt, this one included.
	concurrent int
}

// Transport holds the functions that send the datagrams of an agent. The agent may reuse the
// memory of a datagram after the call.
type Transport struct {
	// SendFleetDatagram sends a datagram to a balancer, another agent or a caller.
	SendFleetDatagram func(raw []byte, to netip.AddrPort) error
	// SendToServer sends a packet to the server.
	SendToServer func(raw []byte) error
}

// NewAgent returns an agent with open sockets. It fails if an address cannot be bound.
func NewAgent(c Config) (*Agent, error) {
	relay, err := udpsocket.Listen(c.Relay, socketBufferBytes)
	if err != nil {
		return nil, merry.Prepend(err, "relay")
	}
	outbound, err := udpsocket.Listen(c.Outbound, socketBufferBytes)
	if err != nil {
		_ = relay.Close()
		return nil, merry.Prepend(err, "outbound")
	}
	a := NewAgentWithTransport(c, Transport{
		SendFleetDatagram: func(raw []byte, to netip.AddrPort) error {
			_, err := relay.WriteToUDPAddrPort(raw, to)
			return err
		},
		SendToServer: func(raw []byte) error {
			_, err := outbound.WriteToUDPAddrPort(raw, c.Server)
			return err
		},
	})
	a.relay, a.outbound = relay, outbound
	return a, nil
}

// NewAgentWithTransport returns an agent without sockets. Its user passes received datagrams
// to HandleFleetDatagram and HandleServerPacket, and calls Maintain every MaintainInterval.
func NewAgentWithTransport(c Config, t Transport) *Agent {
	now := c.Clock.Now()
	var idField []byte
	if c.RequestIDHeader != "" {
		idField = []byte(c.RequestIDHeader + ":")
	}
	return &Agent{
		config:        c,
		idField:       idField,
		transport:     t,
		completeness:  completeness.NewTable(now, c.MaxFlow),
		sweptAt:       now,
		table:         flowtable.NewTable(),
		running:       make(map[packet.Flow]running),
		serverQueries: make(map[packet.Flow]serverQuery),
		expected:      make(map[packet.Flow]time.Time),
		subscribers:   make(map[netip.AddrPort]time.Time),
		bounced:       recent.NewMap[packet.Flow, struct{}](c.Clock, c.MaxFlow/2, maxBouncedFlows),
		rate:          rateMeter{windowStart: now},
		shedder:       shedding.NewShedder(c.Clock),
	}
}

// Run relays packets until the context ends, and then closes the sockets.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(a.readRelay)
	wg.Go(a.readOutbound)
	wg.Go(func() { a.maintain(ctx) })
	<-ctx.Done()
	_ = a.relay.Close()
	_ = a.outbound.Close()
	wg.Wait()
}

// Leave stops the admission of new flows, and reports that to the balancers.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	now := a.config.Clock.Now()
	a.reportToSubscribers(a.load(now), now)
}

// PendingRequests returns the number of requests that are queued or running, or expected on
// flows that were just admitted.
func (a *Agent) PendingRequests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.expectedCount(a.config.Clock.Now()) + len(a.running) + a.queue.Len()
}

// Flows returns the number of flows in the table.
func (a *Agent) Flows() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Len()
}

// Load returns the load that is reported to balancers.
func (a *Agent) Load() steer.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(a.config.Clock.Now())
}

// tableComplete reports whether the table holds every open flow of the server.
func (a *Agent) tableComplete(now time.Time) bool {
	return a.completeness.Complete(now)
}

// Send sends a datagram from the agent's relay address.
func (a *Agent) Send(raw []byte, to netip.AddrPort) {
	if err := a.transport.SendFleetDatagram(raw, to); err != nil {
		a.counts.SendFailed.Add(1)
	}
}
