package packetcli

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/directory"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetagent"
	"github.com/bergamotgw/bergamotgw/internal/packetmetrics"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/internal/presence"
	"github.com/bergamotgw/bergamotgw/internal/readiness"
	"github.com/bergamotgw/bergamotgw/platform"
)

// agentLeaveTimeout limits how long a leaving agent waits for running requests. It is
// short, because the open flows of the server make no progress until the agent runs again.
const agentLeaveTimeout = 400 * time.Millisecond

// stoppedNoticeTime is how long an agent whose server has stopped still answers pings, which then
// state that. Balancers that start together with the VM need up to a second to read the list of
// servers and to ping its agents. No flow waits for the agent meanwhile.
const stoppedNoticeTime = time.Second

// agent is an agent process of packet flows.
type agent struct {
	settings  packetsettings.Agent
	clock     clockwork.Clock
	log       *eventlog.Log
	dataPlane *packetagent.Agent
	// replica is nil without seeds.
	replica *directory.Directory
	metrics *packetmetrics.Metrics
	ready   *readiness.Server
	// probes holds a request for a probe of the server, if there is one.
	probes chan struct{}
}

func newAgent(s packetsettings.Agent, l *eventlog.Log) (*agent, error) {
	a := &agent{settings: s, clock: clockwork.NewRealClock(), log: l, metrics: packetmetrics.NewMetrics(l), probes: make(chan struct{}, 1)}
	var err error
	a.dataPlane, err = packetagent.NewAgent(packetagent.Config{
		Service:         catalog.ServiceID(s.Service),
		Relay:           s.Relay,
		Outbound:        s.Outbound,
		Server:          s.Server,
		CallerPort:      s.Callers.Port(),
		MaxFlow:         s.MaxFlow(),
		Codec:           platform.PacketCodec(),
		Observe:         a.metrics.Answers(s.Service),
		RequestIDHeader: s.RequestIDHeader,
		WarmupOverage:   s.WarmupOverage,
		WarmupSlack:     s.WarmupSlack,
		Probe:           a.requestProbe,
		Clock:           a.clock,
		Digest:          a.handleDigest,
		Log:             l,
	})
	if err != nil {
		return nil, err
	}
	if len(s.Seeds) > 0 {
		a.replica = directory.NewDirectory(directory.Config{
			Self:        s.Relay,
			Peer:        s.Relay,
			PeerPort:    s.Seeds[0].Port(),
			Replica:     true,
			Bounds:      s.Bounds(),
			MaxFlow:     s.MaxFlow(),
			Zone:        s.Zone,
			Evacuations: s.EvacuateMillis > 0,
			Send:        a.dataPlane.Send,
			Changed:     func(*catalog.Catalog, []directory.Expired) {},
			Clock:       a.clock,
			Log:         l,
		})
	}
	a.metrics.AddAgent(a.dataPlane)
	a.ready, err = readiness.NewServer(s.Ready, func() bool { return true })
	return a, err
}

// handleDigest passes the digest of a balancer's catalog to the replica, if there is one.
func (a *agent) handleDigest(raw []byte, from netip.AddrPort) {
	if a.replica != nil {
		a.replica.HandleDigest(context.Background(), raw, from)
	}
}

// requestProbe requests a probe of the server, unless one is requested already.
func (a *agent) requestProbe() {
	select {
	case a.probes <- struct{}{}:
	default:
	}
}

// runProbes probes the server whenever that is requested, until the context ends.
func (a *agent) runProbes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.probes:
			a.probe(ctx)
		}
	}
}

// probe finds out whether a server listens on this VM, by a connection that it closes at once.
func (a *agent) probe(ctx context.Context) {
	began := a.clock.Now()
	dialer := net.Dialer{Timeout: presence.ProbeTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", a.settings.Server.String())
	if err == nil {
		_ = c.Close()
	}
	if ctx.Err() != nil {
		// An interrupted probe proves nothing, and must not end what the agent has stated.
		return
	}
	a.dataPlane.RecordProbe(began, err)
}

// probeStop detects whether the server has stopped before the agent does, as on a VM that is
// removed, and then states that to balancers for stoppedNoticeTime. They need not wait for the
// expiry of its entry to know that it holds no flow.
func (a *agent) probeStop(ctx context.Context) {
	a.probe(ctx)
	if a.dataPlane.ServerDown() {
		<-a.clock.After(stoppedNoticeTime)
	}
}

// Run forwards packets until the context ends, and then until no request is pending, for at
// most agentLeaveTimeout.
func (a *agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { a.dataPlane.Run(serving) })
	wg.Go(func() { a.ready.Run(serving) })
	if a.replica != nil {
		wg.Go(func() { a.replica.Run(serving) })
	}
	wg.Go(func() { serveMetrics(serving, a.metrics, a.settings.Metrics, a.log) })
	wg.Go(func() { a.runProbes(serving) })
	a.log.Info("agentStarted").Str("service", a.settings.Service).Stringer("relay", a.settings.Relay).Send()
	<-ctx.Done()
	a.dataPlane.Leave()
	a.probeStop(serving)
	a.log.Info("leaveStarted").Int("requests", a.dataPlane.PendingRequests()).Send()
	started := a.clock.Now()
	for a.dataPlane.PendingRequests() > 0 && a.clock.Since(started) < agentLeaveTimeout {
		<-a.clock.After(agentLeaveTimeout / 20)
	}
	stop()
	wg.Wait()
	a.log.Info("agentStopped").Int("requests", a.dataPlane.PendingRequests()).Send()
	return nil
}
