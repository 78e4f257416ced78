package packetcli

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/directory"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/flowplacement"
	"github.com/bergamotgw/bergamotgw/internal/packetbalancer"
	"github.com/bergamotgw/bergamotgw/internal/packetmetrics"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/internal/readiness"
	"github.com/bergamotgw/bergamotgw/platform"
)

// Timing of the end of a balancer.
const (
	// minLeaveTime is how long the fabric may take to detect that a balancer leaves: two
	// probes, half a second apart, and a margin.
	minLeaveTime = 1500 * time.Millisecond
	// idlePeriod is how long the balancer must receive no packet before it stops.
	idlePeriod = 400 * time.Millisecond
	// exitReserve is the part of the grace time that is reserved for the exit.
	exitReserve = time.Second
	// pollInterval is the time between reads of the packet counter.
	pollInterval = 100 * time.Millisecond
)

// balancer is a balancer process of packet flows.
type balancer struct {
	settings  packetsettings.Balancer
	clock     clockwork.Clock
	log       *eventlog.Log
	dataPlane *packetbalancer.Balancer
	directory *directory.Directory
	metrics   *packetmetrics.Metrics
	ready     *readiness.Server
	leaving   atomic.Bool
}

func newBalancer(s packetsettings.Balancer, l *eventlog.Log) (*balancer, error) {
	b := &balancer{settings: s, clock: clockwork.NewRealClock(), log: l, metrics: packetmetrics.NewMetrics(l)}
	store := platform.NewStore(s.Platform, s.Back.Addr(), platform.WithEvacuations(s.EvacuateMillis > 0))
	b.directory = directory.NewDirectory(directory.Config{
		Self:        s.Back,
		Peer:        s.Peer,
		PeerPort:    s.Peer.Port(),
		ReplicaPort: s.AgentPort,
		Zone:        s.Zone,
		Bounds:      s.Bounds(),
		MaxFlow:     s.MaxFlow(),
		Evacuations: s.EvacuateMillis > 0,
		Seeds:       lo.Map(s.Seeds, func(a netip.AddrPort, _ int) netip.Addr { return a.Addr() }),
		Source: directory.Source{
			Routes:  store.Routes,
			Servers: store.Servers,
		},
		Send: func(raw []byte, to netip.AddrPort) { b.dataPlane.Send(raw, to) },
		Changed: func(c *catalog.Catalog, expired []directory.Expired) {
			b.dataPlane.SetRoutes(c.Routes)
			b.dataPlane.SetServers(c.Servers)
			for _, l := range expired {
				b.dataPlane.Expire(l.Server, l.Since)
			}
		},
		Confirmed: func() { b.dataPlane.ReviewSearches() },
		Clock:     b.clock,
		Log:       l,
	})
	var placement *flowplacement.Policy
	if s.Placement == packetsettings.PlacementBalanced {
		placement = flowplacement.NewPolicy(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	var err error
	b.dataPlane, err = packetbalancer.NewBalancer(packetbalancer.Config{
		Front:              s.Front,
		Back:               s.Back,
		Zone:               s.Zone,
		AgentPort:          s.AgentPort,
		MaxFlow:            s.MaxFlow(),
		Bounds:             s.Bounds(),
		Placement:          placement,
		Codec:              platform.PacketCodec(),
		Catalog:            b.directory.Catalog,
		RouteHistory:       b.directory.RouteHistory(),
		Corroborated:       b.directory.Corroborated,
		NoCorroboratedPeer: b.directory.NoCorroboratedPeer,
		ReadAt:             b.directory.ReadAt,
		ReadSince:          b.directory.ReadSince,
		RequestReading:     b.directory.RequestReading,
		Digest:             b.directory.HandleDatagram,
		Clock:              b.clock,
		Log:                l,
	})
	if err != nil {
		return nil, err
	}
	b.metrics.AddBalancer(b.dataPlane, b.directory)
	b.ready, err = readiness.NewServer(s.Ready, func() bool {
		return !b.leaving.Load() && !b.dataPlane.CutOff() && b.directory.Catalog().Complete()
	})
	return b, err
}

// Run forwards packets until the context ends, and then until the fabric has stopped
// sending packets or the grace time is nearly over.
func (b *balancer) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { b.dataPlane.Run(serving) })
	wg.Go(func() { b.directory.Run(serving) })
	wg.Go(func() { b.ready.Run(serving) })
	wg.Go(func() { serveMetrics(serving, b.metrics, b.settings.Metrics, b.log) })
	b.log.Info("balancerStarted").Stringer("front", b.settings.Front).Stringer("back", b.settings.Back).
		Str("placement", cmp.Or(b.settings.Placement, packetsettings.PlacementBest)).Send()
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

// serveMetrics serves metrics until the context ends. After a failure the process continues
// without them.
func serveMetrics(ctx context.Context, m *packetmetrics.Metrics, address string, log *eventlog.Log) {
	if err := m.Serve(ctx, address); err != nil {
		log.Error("metricsFailed").Err(err).Send()
	}
}

// waitIdle waits until at least minLeaveTime has passed and no packet has arrived for
// idlePeriod, or until only exitReserve is left of the grace time.
func (b *balancer) waitIdle() {
	started := b.clock.Now()
	limit := b.settings.Grace() - exitReserve
	packets, idleSince := b.dataPlane.Packets(), started
	for {
		<-b.clock.After(pollInterval)
		now := b.clock.Now()
		if p := b.dataPlane.Packets(); p != packets {
			packets, idleSince = p, now
		}
		elapsed := now.Sub(started)
		if elapsed >= limit || elapsed >= minLeaveTime && now.Sub(idleSince) >= idlePeriod {
			return
		}
	}
}
