package packetcli

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/directory"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetagent"
	"github.com/bergamotgw/bergamotgw/internal/packetmetrics"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/internal/readiness"
	"github.com/bergamotgw/bergamotgw/platform"
)

// maxAgentLeave is how long a leaving agent waits for requests that run. The
// server's open flows stand still until the agent runs again, so it is short.
const maxAgentLeave = 400 * time.Millisecond

// probeTimeout bounds the wait for the server on the same VM, which answers or refuses a
// connection within a millisecond.
const probeTimeout = 200 * time.Millisecond

// agent is an agent process.
type agent struct {
	settings packetsettings.Agent
	clock    clockwork.Clock
	log      *eventlog.Log
	carry    *packetagent.Agent
	// replica is nil without seeds.
	replica *directory.Directory
	metrics *packetmetrics.Metrics
	ready   *readiness.Server
}

func newAgent(s packetsettings.Agent, l *eventlog.Log) (*agent, error) {
	a := &agent{settings: s, clock: clockwork.NewRealClock(), log: l, metrics: packetmetrics.NewMetrics(l)}
	var err error
	a.carry, err = packetagent.NewAgent(packetagent.Config{
		Service:         catalog.ServiceID(s.Service),
		Relay:           s.Relay,
		Outbound:        s.Outbound,
		Server:          s.Server,
		CallerPort:      s.Callers.Port(),
		MaxFlow:         s.MaxFlow(),
		Codec:           platform.PacketCodec(),
		Observe:         a.metrics.Answers(s.Service),
		RequestIDHeader: s.RequestIDHeader,
		Clock:           a.clock,
		Digest:          a.handleDigest,
		Log:             l,
	})
	if err != nil {
		return nil, err
	}
	if len(s.Seeds) > 0 {
		a.replica = directory.NewDirectory(directory.Config{
			Self:     s.Relay,
			Peer:     s.Relay,
			PeerPort: s.Seeds[0].Port(),
			Replica:  true,
			Bounds:   s.Bounds(),
			Zone:     s.Zone,
			Send:     a.carry.Send,
			Changed:  func(*catalog.Catalog, []directory.Expired) {},
			Clock:    a.clock,
			Log:      l,
		})
	}
	a.metrics.AddAgent(a.carry)
	a.ready, err = readiness.NewServer(s.Ready, func() bool { return true })
	return a, err
}

// handleDigest takes the digest of a balancer.
func (a *agent) handleDigest(raw []byte, from netip.AddrPort) {
	if a.replica != nil {
		a.replica.HandleDigest(context.Background(), raw, from)
	}
}

// probeServer finds out whether the server runs yet. Only a refused connection tells
// that it does not; without an answer the agent goes on as if it did.
func (a *agent) probeServer(ctx context.Context) {
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", a.settings.Server.String())
	if err == nil {
		_ = c.Close()
	}
	down := errors.Is(err, syscall.ECONNREFUSED)
	if down {
		a.carry.RecordServerDown()
	}
	a.log.Info("serverProbed").Bool("down", down).AnErr("reason", err).Send()
}

// Run carries packets until the context ends, and then until no request runs.
func (a *agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { a.carry.Run(serving) })
	wg.Go(func() { a.ready.Run(serving) })
	if a.replica != nil {
		wg.Go(func() { a.replica.Run(serving) })
	}
	wg.Go(func() { serveMetrics(serving, a.metrics, a.settings.Metrics, a.log) })
	wg.Go(func() { a.probeServer(serving) })
	a.log.Info("agentStarted").Str("service", a.settings.Service).Stringer("relay", a.settings.Relay).Send()
	<-ctx.Done()
	a.carry.Leave()
	a.log.Info("leaveStarted").Int("requests", a.carry.PendingRequests()).Send()
	started := a.clock.Now()
	for a.carry.PendingRequests() > 0 && a.clock.Since(started) < maxAgentLeave {
		<-a.clock.After(maxAgentLeave / 20)
	}
	stop()
	wg.Wait()
	a.log.Info("agentStopped").Int("requests", a.carry.PendingRequests()).Send()
	return nil
}
