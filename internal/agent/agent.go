// Package agent terminates the QUIC flows of callers next to a backend server
// and places each request on that server or on the server of a peer agent.
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
	// IdleTimeout is the time without packets after which a flow is closed; it
	// removes the flows of callers that disappeared.
	IdleTimeout = 30 * time.Second
	// maxStreamsPerFlow limits the concurrent requests of one flow.
	maxStreamsPerFlow = 1000
	// prefaceTimeout limits reading a request's preface and writing a refusal.
	prefaceTimeout = 5 * time.Second
	// initialPacketSize is in bytes.
	initialPacketSize = 1200
)

// Application error codes that close a flow.
const (
	codeMoved quic.ApplicationErrorCode = 0x200
)

// Agent terminates flows and serves their requests. It is safe for concurrent use.
type Agent struct {
	config  Config
	relay   *relay.Conn
	limiter *admission.Limiter
	monitor *health.Monitor
	work    *openWork
	usage   *usage
	// handovers reserves slots of peers.
	handovers handover.Client

	mu sync.Mutex
	// section is the current one; its Revision is 0 until the first one is set.
	section section.Section
	// endpoint is the agent's own entry in the section.
	endpoint section.Endpoint
	// listed is true while the section lists the agent.
	listed bool
	// evacuated is true while the section evacuates the zone of the endpoint.
	evacuated bool
	// drainStarted is closed when the agent starts to drain.
	drainStarted chan struct{}
	// drainingSince is the start of the drain; zero before it.
	drainingSince time.Time
}

// Config are the parameters of an agent.
type Config struct {
	// VM is the name of the VM.
	VM string
	// Service is the name of the service.
	Service string
	// Listen is the address on which balancers and peers reach the agent.
	Listen netip.AddrPort
	// Networks are the networks that balancers and agents may be in.
	Networks []netip.Prefix
	// Codec returns the codec that seals connection IDs; it is called for each new ID.
	Codec func() *connid.Codec
	// ResetKey is the key of stateless resets, by which callers detect a restart.
	ResetKey quic.StatelessResetKey
	// TLS is the server configuration with the certificate.
	TLS *tls.Config
	// Backend connects to the backend server.
	Backend backend.Dialer
	// Monitor tracks the health of the backend server.
	Monitor *health.Monitor
	// Policy selects and orders the candidates for a request.
	Policy *placement.Policy
	// PeerLoads returns the latest load reports of the peers.
	PeerLoads func() []load.Report
	// PeerLoadReceived is called with the load report in a peer's reply to an offer.
	PeerLoadReceived func(load.Report)
	// StateChanged is called when the agent's own state has changed.
	StateChanged func()
	// Clock measures time.
	Clock clockwork.Clock
	// Metrics records measurements of requests.
	Metrics *metrics.Agent
	// Log receives events.
	Log zerolog.Logger
}

// NewAgent opens the agent's socket for datagrams of balancers and returns an
// agent that does not serve yet. It fails if the socket cannot be opened.
func NewAgent(c Config) (*Agent, error) {
	a := &Agent{
		config:       c,
		limiter:      admission.NewLimiter(c.Clock),
		monitor:      c.Monitor,
		work:         newOpenWork(),
		drainStarted: make(chan struct{}),
		handovers:    handover.Client{Local: c.Listen.Addr(), Clock: c.Clock, Lease: handover.ClientLease},
	}
	a.usage = newUsage(c.Clock, a.limiter)
	conn, err := relay.NewConn(relay.Config{
		Listen:    c.Listen,
		Service:   section.ID(c.Service),
		Networks:  c.Networks,
		Holder:    func(id []byte) (netip.AddrPort, uint32, bool) { return c.Codec().Open(id) },
		AdmitFlow: a.admitFlow,
		Clock:     c.Clock,
	})
	if err != nil {
		return nil, err
	}
	a.relay = conn
	return a, nil
}

// Run serves flows until the context ends. It fails if the QUIC listener cannot start.
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
		return merry.Prepend(err, "start QUIC listener for flows")
	}
	for {
		c, err := listener.Accept(ctx)
		if err != nil {
			return nil
		}
		wg.Go(func() { a.serveFlow(ctx, c) })
	}
}

// GenerateConnectionID returns a connection ID that encodes the agent's address
// and service.
func (a *Agent) GenerateConnectionID() (quic.ConnectionID, error) {
	id, err := a.config.Codec().Seal(a.config.Listen, section.ID(a.config.Service))
	if err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id), nil
}

// ConnectionIDLen returns the length of all connection IDs in bytes.
func (a *Agent) ConnectionIDLen() int {
	return connid.Len
}

// SetSection replaces the section and applies its limits.
func (a *Agent) SetSection(s section.Section) {
	e, listed := s.Endpoint(a.config.Listen)
	a.mu.Lock()
	before := a.evacuated
	a.section, a.endpoint, a.listed = s, e, listed
	a.evacuated = listed && s.Evacuates(e.Zone)
	changed := before != a.evacuated
	a.mu.Unlock()
	if listed {
		a.limiter.SetLimits(e.Slots, e.Slots*s.Limits.Queue())
	}
	if changed {
		a.evacuationChanged(s, e.Zone)
	}
}

// admitFlow reports whether the agent accepts a new flow. The last candidate
// accepts flows up to twice its limit of connections.
func (a *Agent) admitFlow(last bool) bool {
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
