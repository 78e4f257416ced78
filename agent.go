package bergamotgw

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/agent"
	"github.com/bergamotgw/bergamotgw/internal/backend"
	"github.com/bergamotgw/bergamotgw/internal/certificate"
	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/handover"
	"github.com/bergamotgw/bergamotgw/internal/health"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/metrics"
	"github.com/bergamotgw/bergamotgw/internal/node"
	"github.com/bergamotgw/bergamotgw/internal/peerport"
	"github.com/bergamotgw/bergamotgw/internal/peers"
	"github.com/bergamotgw/bergamotgw/internal/placement/presets"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/settings"
	"github.com/bergamotgw/bergamotgw/internal/status"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Agent runs beside a backend server, terminates the flows of callers and places their requests
// on backend servers.
type Agent struct {
	settings     settings.Agent
	clock        clockwork.Clock
	log          zerolog.Logger
	certificates *certificate.Source
	codec        atomic.Pointer[connid.Codec]
	node         *node.Node
	peers        *peers.Peers
	agent        *agent.Agent
}

// NewAgent returns an agent with open sockets. It returns an error if the placement is unknown, a
// secret or the certificate cannot be loaded, or a socket cannot be opened.
func NewAgent(s settings.Agent, options ...Option) (*Agent, error) {
	i := newInjector(options)
	a := &Agent{settings: s, clock: do.MustInvoke[clockwork.Clock](i), log: do.MustInvoke[zerolog.Logger](i)}
	if err := a.loadSecrets(); err != nil {
		return nil, err
	}
	if err := a.newNode(); err != nil {
		return nil, err
	}
	a.peers = peers.NewPeers(peers.Config{
		Self:   s.Relay,
		Report: func() load.Report { return a.agent.Report() },
		Server: a.node.Server,
		Clock:  a.clock,
		Log:    a.log,
	})
	if err := a.newAgent(); err != nil {
		return nil, err
	}
	handovers := &handover.Server{
		Acquire:      a.agent.Acquire,
		Report:       a.agent.Report,
		LoadReceived: a.peers.LoadReceived,
		Lease:        handover.ServerLease,
		VM:           s.Name,
	}
	a.node.Port.Handle(peerport.Handover, handovers.Serve)
	metrics.RegisterEvacuated(a.node.Registry, a.evacuated)
	metrics.RegisterRelay(a.node.Registry, a.agent.RelayCounts(), a.agent.Flows)
	return a, nil
}

func (a *Agent) loadSecrets() error {
	codec, err := a.settings.Codec()
	if err != nil {
		return err
	}
	a.codec.Store(codec)
	a.certificates = &certificate.Source{}
	return a.certificates.Load(a.settings.CertificateFile, a.settings.KeyFile)
}

func (a *Agent) newNode() (err error) {
	a.node, err = node.NewNode(node.Config{
		Common:   a.settings.Common,
		Address:  a.settings.Relay,
		Role:     "agent",
		State:    func() string { return string(a.agent.State()) },
		Counters: a.counters,
		Clock:    a.clock,
		Log:      a.log,
	})
	return err
}

func (a *Agent) newAgent() error {
	policy, err := presets.Preset(a.settings.Placement).Policy()
	if err != nil {
		return err
	}
	resetKey, err := a.settings.ResetKey()
	if err != nil {
		return err
	}
	dialer := backend.NewDialer(a.settings.Backend)
	a.agent, err = agent.NewAgent(agent.Config{
		VM:       a.settings.Name,
		Service:  a.settings.Service,
		Listen:   a.settings.Relay,
		Networks: a.settings.PeerNetworks,
		Codec:    a.codec.Load,
		ResetKey: resetKey,
		TLS:      a.certificates.TLS(),
		Backend:  dialer,
		Monitor: health.NewMonitor(health.Config{
			URL:   a.settings.Health,
			Probe: dialer.Probe,
			Clock: a.clock,
		}),
		Policy:           policy,
		PeerLoads:        a.peers.List,
		PeerLoadReceived: a.peers.LoadReceived,
		StateChanged:     a.peers.Announce,
		Clock:            a.clock,
		Metrics:          metrics.NewAgent(a.node.Registry),
		Log:              a.log,
	})
	return err
}

// Run serves until the context ends or the platform lists the VM as leaving. It then drains:
// it returns when nothing is in progress or the grace time is over.
func (a *Agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { a.node.Run(serving) })
	wg.Go(func() { a.node.OnChange(serving, func(l *ledger.Ledger) { a.apply(serving, l) }) })
	served := make(chan error, 1)
	wg.Go(func() { served <- a.agent.Run(serving) })
	a.log.Info().Str("event", "agentStarted").Str("service", a.settings.Service).Stringer("relay", a.settings.Relay).Send()
	var err error
	select {
	case <-ctx.Done():
	case <-a.agent.DrainStarted():
	case err = <-served:
	}
	a.agent.Drain()
	aborted := a.agent.WaitDrained(serving)
	stop()
	wg.Wait()
	a.peers.Wait()
	a.log.Info().Str("event", "agentStopped").Int("cut", aborted).Send()
	return err
}

// Reload applies the connection ID keys and the certificate of new settings; other settings
// need a restart. After an error the former keys and certificate stay in use.
func (a *Agent) Reload(s settings.Agent) error {
	codec, err := s.Codec()
	if err != nil {
		return err
	}
	if err := a.certificates.Load(s.CertificateFile, s.KeyFile); err != nil {
		return err
	}
	a.codec.Store(codec)
	return nil
}

// apply applies the section of the service, and drains if the platform lists the VM as leaving.
func (a *Agent) apply(ctx context.Context, l *ledger.Ledger) {
	if s, ok := l.Section(a.settings.Service); ok {
		a.agent.SetSection(s)
		a.peers.SetPeers(ctx, lo.Map(s.Endpoints, func(e section.Endpoint, _ int) netip.AddrPort { return e.Agent }),
			lo.SliceToMap(s.Endpoints, func(e section.Endpoint) (netip.AddrPort, bool) { return e.Agent, s.Evacuates(e.Zone) }))
	}
	if v, ok := l.VM(a.settings.Name); ok && v.State == vm.Leaving {
		a.agent.Drain()
	}
}

// evacuated returns 1 if the agent is in an evacuated zone, else 0.
func (a *Agent) evacuated() int {
	return lo.Ternary(a.agent.Evacuated(), 1, 0)
}

func (a *Agent) counters() []status.Counter {
	c := a.agent.RelayCounts()
	list := []status.Counter{
		{Name: "flows", Value: uint64(a.agent.Flows())},
		{Name: "evacuatedEndpoints", Value: uint64(a.evacuated())},
		{Name: "drop.wrongService", Value: c.WrongService.Load()},
		{Name: "drop.foreign", Value: c.Foreign.Load()},
		{Name: "drop.malformed", Value: c.Malformed.Load()},
		{Name: "flowsPassedOn", Value: c.Forwarded.Load()},
		{Name: "flowsRefused", Value: c.Refused.Load()},
		{Name: "answersWithoutPath", Value: c.NoPath.Load()},
	}
	for kind, n := range a.agent.Requests() {
		list = append(list, status.Counter{Name: "inProgress." + string(kind), Value: uint64(n)})
	}
	return list
}
