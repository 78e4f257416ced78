// Package agent ends the flows of callers beside a backend server and decides
// where their requests run.
package agent

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/admission"
	"github.com/bergamotgw/bergamotgw/internal/backend"
	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/handover"
	"github.com/bergamotgw/bergamotgw/internal/health"
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/metrics"
	"github.com/bergamotgw/bergamotgw/internal/placement"
	"github.com/bergamotgw/bergamotgw/internal/relay"
	"github.com/bergamotgw/bergamotgw/internal/section"
)

// Limits of flows and streams.
const (
	// IdleTimeout ends flows of callers that vanished.
	IdleTimeout = 30 * time.Second
	// maxStreamsPerFlow bounds the requests of one flow at once.
	maxStreamsPerFlow = 1000
	prefaceTimeout    = 5 * time.Second
	initialPacketSize = 1200
)

// Application error codes that close a flow.
const (
	closedMoved quic.ApplicationErrorCode = 0x200
)

// Agent ends flows. It is safe for concurrent use.
type Agent struct {
	config  Config
	relay   *relay.Conn
	gate    *admission.Gate
	monitor *health.Monitor
	work    *openWork
	usage   *usage
	// handovers reserves slots at peers.
	handovers handover.Client

	mu sync.Mutex
	// section is the one in force; its Revision is 0 until the first is known.
	section section.Section
	// endpoint is the agent's own entry in the section.
	endpoint section.Endpoint
	// listed is true while the section lists the agent.
	listed bool
	// draining is closed when the agent starts to leave.
	draining chan struct{}
	// drainingSince is zero until then.
	drainingSince time.Time
}

// Config are the parameters of an agent.
type Config struct {
	// VM is the name of the VM.
	VM string
	// Service is the name of the service.
	Service string
	// Listen is the address towards balancers and peers.
	Listen netip.AddrPort
	// Networks are the networks that balancers and agents may be in.
	Networks []netip.Prefix
	// Codec seals connection IDs; it is asked for every new one.
	Codec func() *connid.Codec
	// ResetKey lets callers learn of a restart.
	ResetKey quic.StatelessResetKey
	// TLS holds the certificate.
	TLS *tls.Config
	// Backend connects to the backend server.
	Backend backend.Dialer
	// Monitor judges the backend server.
	Monitor *health.Monitor
	// Policy orders the sites for a request.
	Policy *placement.Policy
	// PeerLoads returns the latest loads of peers.
	PeerLoads func() []load.Report
	// PeerHeard takes the load that a peer told along with an answer.
	PeerHeard func(load.Report)
	// StateChanged is called when the agent's own state changed.
	StateChanged func()
	// Clock measures time.
	Clock clockwork.Clock
	// Metrics takes measurements.
	Metrics *metrics.Agent
	// Log takes events.
	Log zerolog.Logger
}

// NewAgent opens the agent's socket towards balancers.
func NewAgent(c Config) (*Agent, error) {
	a := &Agent{
		config:    c,
		gate:      admission.NewGate(c.Clock),
		monitor:   c.Monitor,
		work:      newOpenWork(),
		draining:  make(chan struct{}),
		handovers: handover.Client{Local: c.Listen.Addr(), Clock: c.Clock, Lease: handover.ClientLease},
	}
	a.usage = newUsage(c.Clock, a.gate)
	conn, err := relay.NewConn(relay.Config{
		Listen:   c.Listen,
		Service:  section.ID(c.Service),
		Networks: c.Networks,
		TakeFlow: a.takeFlow,
		Clock:    c.Clock,
	})
	if err != nil {
		return nil, err
	}
	a.relay = conn
	return a, nil
}

// Run serves flows until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { a.monitor.Run(ctx) })
	wg.Go(func() { a.usage.run(ctx) })
	transport := &quic.Transport{
		Conn:                  a.relay,
		ConnectionIDGenerator: a,
		StatelessResetKey:     &a.config.ResetKey,
	}
	defer func() { _ = a.relay.Close() }()
	defer func() { _ = transport.Close() }()
	listener, err := transport.Listen(a.config.TLS, &quic.Config{
		MaxIdleTimeout:          IdleTimeout,
		MaxIncomingStreams:      maxStreamsPerFlow,
		MaxIncomingUniStreams:   -1,
		InitialPacketSize:       initialPacketSize,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return merry.Prepend(err, "listen for flows")
	}
	for {
		c, err := listener.Accept(ctx)
		if err != nil {
			return nil
		}
		wg.Go(func() { a.serveFlow(ctx, c) })
	}
}

// GenerateConnectionID returns a connection ID that names the agent.
func (a *Agent) GenerateConnectionID() (quic.ConnectionID, error) {
	id, err := a.config.Codec().Seal(a.config.Listen, section.ID(a.config.Service))
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id), nil
}

// ConnectionIDLen returns the length of all connection IDs.
func (a *Agent) ConnectionIDLen() int {
	return connid.Len
}

// SetSection puts a section in force.
func (a *Agent) SetSection(s section.Section) {
	e, listed := s.Endpoint(a.config.Listen)
	a.mu.Lock()
	a.section, a.endpoint, a.listed = s, e, listed
	a.mu.Unlock()
	if listed {
		a.gate.SetLimits(e.Slots, e.Slots*s.Limits.Queue())
	}
}

// takeFlow decides whether a new flow stays here. The last candidate takes it
// even above its limit of connections, up to twice of it.
func (a *Agent) takeFlow(last bool) bool {
	if a.State() != load.Up {
		return false
	}
	a.mu.Lock()
	limit := a.endpoint.Connections
	listed := a.listed
	a.mu.Unlock()
	if last {
		limit *= 2
	}
	return listed && a.work.flows() < limit
}
