// Package packetagent carries packet flows between balancers and the backend
// server on its VM. It holds the truth about the server's flows, and decides
// which new flows and which requests the server gets, and when.
package packetagent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/dispatch"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/flowtable"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/recent"
	"github.com/bergamotgw/bergamotgw/internal/servicetime"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/internal/udpsocket"
)

// Sizes of datagrams and buffers.
const (
	// deniedLimit bounds each of the two generations of flows that the server has denied;
	// at some 40 bytes each they take less than a megabyte.
	deniedLimit = 10_000

	maxDatagramBytes  = 2048
	socketBufferBytes = 1 << 20
)

// Config are the parameters of an agent.
type Config struct {
	// Service is the numeric identity of the server's service.
	Service uint32
	// Relay exchanges datagrams with balancers and other agents.
	Relay netip.AddrPort
	// Outbound takes packets from the server.
	Outbound netip.AddrPort
	// Server takes packets of callers.
	Server netip.AddrPort
	// CallerPort is the port to which packets for callers are sent.
	CallerPort uint16
	// RequestIDHeader names the header field with the ID of a request, for logs;
	// empty if there is none.
	RequestIDHeader string
	// MaxFlow is the age after which a flow may be forgotten.
	MaxFlow time.Duration
	// Codec reads and marks packets.
	Codec packet.Codec
	// Observe takes, when an answer begins, whether its request must not run twice,
	// the time since it was sent, and the part of that at the server.
	Observe func(once bool, total, server time.Duration)
	// Digest takes digests of balancers; nil if the agent keeps no replica.
	Digest func(raw []byte, from netip.AddrPort)
	// Clock measures time.
	Clock clockwork.Clock
	// Log takes events.
	Log *eventlog.Log
}

// Agent carries packet flows. It is safe for concurrent use.
type Agent struct {
	config Config
	// idField is the header field of RequestIDHeader with its colon.
	idField []byte
	wire    Wire
	// relay and outbound are nil in a wired agent.
	relay    *net.UDPConn
	outbound *net.UDPConn
	started  time.Time
	counts   Counts

	mu sync.Mutex
	// whole is true once the server is known to hold no flow that did not pass this
	// process.
	whole bool
	// swept is when old entries were last removed.
	swept   time.Time
	table   *flowtable.Table
	queue   dispatch.Queue
	service servicetime.Estimator
	// running holds the requests that the server works on.
	running map[packet.Flow]running
	// expected holds when flows were admitted whose first request has not come.
	expected map[packet.Flow]time.Time
	// asked holds the flows about which the server was asked, until it answers.
	asked map[packet.Flow]asking
	// denied holds flows of which the server has bounced a packet, so that it is not
	// asked again: it can hold them only if a SYN has passed since.
	denied *recent.Map[packet.Flow, struct{}]
	// tags remember the envelopes of packets that the server may bounce.
	tags tagRing
	// slots is how many requests the server runs at a time; 0 until a balancer told.
	slots int
	// unanswered is when the first packet since the server's latest one was
	// delivered; zero if none was.
	unanswered time.Time
	// wasSilent is whether the server counted as silent when last looked at.
	wasSilent bool
	// listeners holds when each balancer last delivered a packet or asked for a report.
	listeners map[netip.AddrPort]time.Time
	// reported is the load that the listeners know.
	reported   steer.Load
	reportedAt time.Time
	rate       rateMeter
	failures   failureMeter
	leaving    bool
	// active counts the flows with recent traffic as of the latest sweep.
	active int
}

// asking is a question to the server whether it holds a flow.
type asking struct {
	// balancer searches for the flow.
	balancer netip.AddrPort
	class    steer.Class
	at       time.Time
}

// running is a request that the server works on.
type running struct {
	sent      time.Time
	delivered time.Time
	// concurrent counts the requests at the server then, this one included.
	concurrent int
}

// Wire sends what an agent sends. Datagrams may be reused after the call.
type Wire struct {
	// ToFleet sends a datagram to a balancer, another agent or a caller.
	ToFleet func(raw []byte, to netip.AddrPort) error
	// ToServer sends a packet to the server.
	ToServer func(raw []byte) error
}

// NewAgent opens the sockets of an agent.
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
	a := NewWiredAgent(c, Wire{
		ToFleet: func(raw []byte, to netip.AddrPort) error {
			_, err := relay.WriteToUDPAddrPort(raw, to)
			return err
		},
		ToServer: func(raw []byte) error {
			_, err := outbound.WriteToUDPAddrPort(raw, c.Server)
			return err
		},
	})
	a.relay, a.outbound = relay, outbound
	return a, nil
}

// NewWiredAgent returns an agent without sockets. Its datagrams are passed to
// FromFleet and FromServer, and Maintain is called every MaintainInterval.
func NewWiredAgent(c Config, w Wire) *Agent {
	now := c.Clock.Now()
	var idField []byte
	if c.RequestIDHeader != "" {
		idField = []byte(c.RequestIDHeader + ":")
	}
	return &Agent{
		config:    c,
		idField:   idField,
		wire:      w,
		started:   now,
		swept:     now,
		table:     flowtable.NewTable(),
		running:   make(map[packet.Flow]running),
		asked:     make(map[packet.Flow]asking),
		expected:  make(map[packet.Flow]time.Time),
		listeners: make(map[netip.AddrPort]time.Time),
		denied:    recent.NewMap[packet.Flow, struct{}](c.Clock, c.MaxFlow/2, deniedLimit),
		rate:      rateMeter{since: now},
	}
}

// Run carries packets until the context ends.
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

// Leave stops taking new flows and tells the balancers.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	now := a.config.Clock.Now()
	a.reportAll(a.load(now), now)
}

// Busy returns the number of requests that wait or run, or will come on flows that were
// just admitted.
func (a *Agent) Busy() int {
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

// Load returns what balancers are told.
func (a *Agent) Load() steer.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(a.config.Clock.Now())
}

// NoteServerDown notes that no server ran at some time since the agent started: a
// server that runs later holds no flow that did not pass this agent.
func (a *Agent) NoteServerDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whole = true
}

// complete reports whether every open flow of the server is in the table: the server
// has started after the agent, or the agent has run for as long as a flow may last.
func (a *Agent) complete(now time.Time) bool {
	return a.whole || now.Sub(a.started) > a.config.MaxFlow
}

// Send sends a datagram from the agent's relay address.
func (a *Agent) Send(raw []byte, to netip.AddrPort) {
	if err := a.wire.ToFleet(raw, to); err != nil {
		a.counts.SendFailed.Add(1)
	}
}
