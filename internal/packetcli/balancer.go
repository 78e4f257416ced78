package packetcli

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/directory"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetbalancer"
	"github.com/bergamotgw/bergamotgw/internal/packetmetrics"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/internal/readiness"
	"github.com/bergamotgw/bergamotgw/platform"
)

// Timing of the end of a balancer.
const (
	// minLeave is how long the fabric may take to see that a balancer leaves: two
	// probes, half a second apart, and some slack.
	minLeave = 1500 * time.Millisecond
	// idleLeave is how long no packet may come before the balancer stops.
	idleLeave = 400 * time.Millisecond
	// leaveReserve is the part of the grace time that is left for the exit.
	leaveReserve = time.Second
	// leavePoll is the pause between looks at the traffic.
	leavePoll = 100 * time.Millisecond
)

// balancer is a balancer process.
type balancer struct {
	settings  packetsettings.Balancer
	clock     clockwork.Clock
	log       *eventlog.Log
	forward   *packetbalancer.Balancer
	directory *directory.Directory
	metrics   *packetmetrics.Metrics
	ready     *readiness.Server
	leaving   atomic.Bool
}

func newBalancer(s packetsettings.Balancer, l *eventlog.Log) (*balancer, error) {
	b := &balancer{settings: s, clock: clockwork.NewRealClock(), log: l, metrics: packetmetrics.NewMetrics(l)}
	store := platform.NewStore(s.Platform, s.Back.Addr())
	b.directory = directory.NewDirectory(directory.Config{
		Self:        s.Back,
		Peer:        s.Peer,
		PeerPort:    s.Peer.Port(),
		ReplicaPort: s.AgentPort,
		Zone:        s.Zone,
		Bounds:      s.Bounds(),
		Seeds:       lo.Map(s.Seeds, func(a netip.AddrPort, _ int) netip.Addr { return a.Addr() }),
		Source: directory.Source{
			Routes:  store.Routes,
			Servers: store.Servers,
		},
		Send: func(raw []byte, to netip.AddrPort) { b.forward.Send(raw, to) },
		Changed: func(c *catalog.Catalog, lapsed []directory.Expired) {
			b.forward.SetServers(c.Servers)
			for _, l := range lapsed {
				b.forward.Expire(l.Server, l.Since)
			}
		},
		Clock: b.clock,
		Log:   l,
	})
	var err error
	b.forward, err = packetbalancer.NewBalancer(packetbalancer.Config{
		Front:              s.Front,
		Back:               s.Back,
		Zone:               s.Zone,
		AgentPort:          s.AgentPort,
		MaxFlow:            s.MaxFlow(),
		Bounds:             s.Bounds(),
		Codec:              platform.PacketCodec(),
		Catalog:            b.directory.Catalog,
		Corroborated:       b.directory.Corroborated,
		NoCorroboratedPeer: b.directory.NoCorroboratedPeer,
		ReadAt:             b.directory.ReadAt,
		Digest:             b.directory.HandleDigest,
		Clock:              b.clock,
		Log:                l,
	})
	if err != nil {
		return nil, err
	}
	b.metrics.AddBalancer(b.forward, b.directory)
	b.ready, err = readiness.NewServer(s.Ready, func() bool {
		return !b.leaving.Load() && !b.forward.CutOff() && b.directory.Catalog().Complete()
	})
	return b, err
}

// Run forwards until the context ends, and then until the fabric has stopped
// sending packets.
func (b *balancer) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { b.forward.Run(serving) })
	wg.Go(func() { b.directory.Run(serving) })
	wg.Go(func() { b.ready.Run(serving) })
	wg.Go(func() { serveMetrics(serving, b.metrics, b.settings.Metrics, b.log) })
	b.log.Info("balancerStarted").Stringer("front", b.settings.Front).Stringer("back", b.settings.Back).Send()
	<-ctx.Done()
	b.leaving.Store(true)
	b.directory.Leave()
	b.log.Info("leaveStarted").Send()
	b.waitIdle()
	stop()
	wg.Wait()
	b.log.Info("balancerStopped").Send()
	return nil
}

// serveMetrics serves metrics; the process goes on without them after a failure.
func serveMetrics(ctx context.Context, m *packetmetrics.Metrics, address string, log *eventlog.Log) {
	if err := m.Serve(ctx, address); err != nil {
		log.Error("metricsFailed").Err(err).Send()
	}
}

// waitIdle waits until no packets have come for a while, or the grace time is
// nearly over.
func (b *balancer) waitIdle() {
	started := b.clock.Now()
	limit := b.settings.Grace() - leaveReserve
	packets, idleSince := b.forward.Packets(), started
	for {
		<-b.clock.After(leavePoll)
		now := b.clock.Now()
		if p := b.forward.Packets(); p != packets {
			packets, idleSince = p, now
		}
		elapsed := now.Sub(started)
		if elapsed >= limit || elapsed >= minLeave && now.Sub(idleSince) >= idleLeave {
			return
		}
	}
}
