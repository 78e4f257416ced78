package packetlab

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/flowplacement"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/packetbalancer"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/routehistory"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Timing of the stand-ins.
const (
	// maxFlow is the age after which balancers and agents may delete a flow.
	maxFlow = 60 * time.Second
	// readInterval is the interval at which a balancer reads the platform.
	readInterval = 700 * time.Millisecond
	// probeDelay is how long the fabric takes to detect that a balancer has stopped.
	probeDelay = time.Second
	// expireAfter is how long the platform still lists a server that has crashed.
	expireAfter = 2300 * time.Millisecond
)

// published is the state of the stand-in of the platform: the routes and servers it lists.
type published struct {
	routes catalog.Routes
	// newest is the latest version that the operator wrote; routes is an older one while the
	// platform lacks it.
	newest catalog.Routes
	// versions holds the versions that the operator wrote, the oldest first.
	versions []writtenVersion
	servers  map[string]catalog.Server
	// evacuated holds the zones that the operator's keys name; it is replaced, never modified.
	evacuated map[string]bool
	// at is the position of the latest change.
	at   position.Position
	down bool
	// downSince is when the latest outage began.
	downSince time.Time
	// stableAt is when the stand-in that real processes read answers all calls again.
	stableAt time.Time
	// returnedAt is when it latest returned from a backup.
	returnedAt time.Time
	// backups holds earlier contents, the oldest first.
	backups []backup
	// restoredAt is when the latest outage of the platform ended.
	restoredAt time.Time
}

// register lists a server, or replaces its entry.
func (p *published) register(s *serverVM) {
	defer func() {
		if r := s.lab.real; r != nil {
			r.register(p.servers[s.entryID()])
		}
	}()
	if p.servers == nil {
		p.servers = make(map[string]catalog.Server)
	}
	p.at.Revision++
	id := s.entryID()
	p.servers[id] = catalog.Server{
		ID: id, Born: s.born.UnixMilli(), Service: s.service.Name, Address: s.ip, Zone: s.zone,
		Slots: uint8(s.service.Slots), State: s.state, Warmup: max(s.service.Cold-s.lab.clock.Since(s.born), 0),
	}
}

// remove deletes the entry of a server.
func (p *published) remove(l *Lab, id string) {
	if l.real != nil {
		l.real.store.Remove(id)
	}
	p.at.Revision++
	delete(p.servers, id)
}

// list returns the entries of servers, with the warm-up that is left now: servers write their
// entries again and again.
func (p *published) list(l *Lab) []catalog.Server {
	left := lo.SliceToMap(l.servers, func(s *serverVM) (string, time.Duration) {
		return s.entryID(), max(s.service.Cold-l.clock.Since(s.born), 0)
	})
	return lo.MapToSlice(p.servers, func(id string, v catalog.Server) catalog.Server {
		v.Warmup = left[id]
		return v
	})
}

// balancerVM is a VM with a balancer.
type balancerVM struct {
	*vm
	lab      *Lab
	balancer *packetbalancer.Balancer
	catalog  *catalog.Catalog
	// history holds the services that the routes have led to at this or another balancer.
	history *routehistory.History
	// readAt is when the process last read the platform, and readableSince since when it has read it
	// without a failure while the list was not known to be complete.
	readAt, readableSince time.Time
	// everListed holds every server that was listed since the process started.
	everListed map[string]catalog.Server
	// confirmed is true once the list was known to be complete: what is listed is remembered.
	confirmed bool
	// older is true if it behaves as a program that does not know of evacuations.
	older bool
	// refusedUntil is until when the stand-in that real processes read refuses this one.
	refusedUntil time.Time
	// routedUntil is when the fabric stops routing packets to the stopped balancer; zero
	// while it runs.
	routedUntil time.Time
	hash        uint64
}

func (b *balancerVM) back() netip.AddrPort { return netip.AddrPortFrom(b.ip, backPort) }

// AddBalancer adds a VM in the given zone and starts a balancer on it.
func (l *Lab) AddBalancer(zone string) *balancerVM {
	b := &balancerVM{vm: l.newVM(zone), lab: l}
	b.hash = rendezvous.NewRanker(nil).Hash(b.ip.AsSlice())
	l.balancers = append(l.balancers, b)
	b.start()
	return b
}

// placement returns the placement of new flows for a balancer that starts.
func (l *Lab) placement() *flowplacement.Policy {
	if !l.Balanced {
		return nil
	}
	return flowplacement.NewPolicy(rand.New(rand.NewPCG(l.rand.Uint64(), 0)))
}

// start starts the process with an empty cache and without a catalog.
func (b *balancerVM) start() {
	l := b.lab
	if !l.anyBalancerUp(b) {
		l.outageUntil = l.clock.Now()
	}
	b.epoch++
	b.up, b.routedUntil, b.disturbedAt = true, time.Time{}, l.clock.Now()
	b.readAt, b.readableSince, b.everListed = time.Time{}, time.Time{}, make(map[string]catalog.Server)
	b.catalog = catalog.NewCatalog()
	b.history = routehistory.NewHistory(maxFlow, bounds.Default().MaxReadingAge())
	if l.real != nil {
		l.real.startBalancer(b)
		return
	}
	b.balancer = packetbalancer.NewBalancerWithTransport(packetbalancer.Config{
		Front:              netip.AddrPortFrom(b.ip, frontPort),
		Back:               b.back(),
		Zone:               b.zone,
		AgentPort:          agentPort,
		MaxFlow:            maxFlow,
		Bounds:             bounds.Default(),
		Placement:          l.placement(),
		Codec:              l.codec,
		Catalog:            func() *catalog.Catalog { return b.catalog },
		RouteHistory:       b.history,
		Corroborated:       b.corroborated,
		NoCorroboratedPeer: func() bool { return !l.anyCorroborated() },
		ReadAt:             func() time.Time { return b.readAt },
		ReadSince:          func() time.Time { return b.readAt },
		RequestReading:     func() {},
		Digest:             func(context.Context, []byte, netip.AddrPort) {},
		Clock:              l.clock,
		Log:                l.eventLog(b.vm),
	}, packetbalancer.Transport{
		SendFleetDatagram: func(raw []byte, to netip.AddrPort) error {
			if _, ping := steer.ParsePing(raw); ping && b.older {
				raw = raw[:shortPingLen]
			}
			l.send(raw, b.back(), to)
			return nil
		},
		SendToCaller: func(raw []byte, to netip.AddrPort) error {
			l.send(raw, netip.AddrPortFrom(b.ip, frontPort), to)
			return nil
		},
	})
	l.receivers[b.back()] = func(raw []byte, from netip.AddrPort) {
		b.balancer.HandleFleetDatagram(context.Background(), raw, from)
	}
	b.confirmed = false
	b.read()
	b.fetchExpired()
	l.every(b.vm, readInterval, b.read)
	l.every(b.vm, fetchInterval, b.fetchExpired)
	l.every(b.vm, packetbalancer.PingInterval, b.balancer.PingAgents)
}

// fetchInterval is the interval at which a balancer fetches the expired entries of others.
const fetchInterval = 300 * time.Millisecond

// corroborationTime is how long a balancer must have read the platform for its list of
// servers to include every entry that expired.
const corroborationTime = 3 * time.Second

// corroborated reports whether the list of servers of this balancer is complete: the
// balancer has read the platform for long enough that every expired entry has returned, or
// a balancer that has such a list has sent its expired entries.
func (b *balancerVM) corroborated() bool {
	return b.confirmed || !b.readableSince.IsZero() && b.readAt.Sub(b.readableSince) > corroborationTime
}

// anyCorroborated reports whether a balancer runs that has a complete list of the servers
// that may run.
func (l *Lab) anyCorroborated() bool {
	return lo.ContainsBy(l.balancers, func(b *balancerVM) bool { return b.up && b.corroborated() })
}

// fetchExpired takes over the expired entries of balancers that have a complete list, unless
// this balancer has one.
func (b *balancerVM) fetchExpired() {
	if b.corroborated() {
		return
	}
	for _, o := range b.lab.balancers {
		if o == b || !o.up || !reachable(o.vm, b.vm) || !o.corroborated() {
			continue
		}
		b.confirmed = true
		for id, v := range o.everListed {
			if _, listed := b.everListed[id]; !listed {
				b.balancer.Expire(v, b.lab.clock.Now())
			}
		}
	}
}

// anyBalancerUp reports whether a balancer other than b runs.
func (l *Lab) anyBalancerUp(b *balancerVM) bool {
	return lo.ContainsBy(l.balancers, func(o *balancerVM) bool { return o.up && o != b })
}

// stop ends the process. Unless the balancer has left the rotation before, the fabric keeps
// routing packets to it for probeDelay.
func (b *balancerVM) stop() {
	b.up = false
	b.epoch++
	b.endPause()
	b.disturbedAt = b.lab.clock.Now()
	if !b.lab.anyBalancerUp(b) {
		b.lab.outageFrom = b.disturbedAt
	}
	if b.lab.real != nil {
		b.lab.real.kill(b.vm)
	}
	b.routedUntil = b.disturbedAt.Add(probeDelay)
}

// read replaces the catalog by the routes and servers that the platform lists. While the platform is
// unreachable, it only records that.
func (b *balancerVM) read() {
	p := &b.lab.platform
	b.confirmed = b.corroborated()
	if p.down || b.cut {
		if !b.confirmed {
			b.readableSince = time.Time{}
		}
		return
	}
	b.readAt = b.lab.clock.Now()
	if b.readableSince.IsZero() {
		b.readableSince = b.readAt
	}
	servers := catalog.NewServers(p.at, p.list(b.lab)).WithEvacuations(b.evacuations())
	b.recordRoutes(p.routes)
	b.catalog = b.catalog.WithRoutes(p.routes).WithServers(servers)
	b.balancer.SetRoutes(b.catalog.Routes)
	b.balancer.SetServers(b.catalog.Servers)
	for _, v := range b.catalog.Servers.List {
		b.everListed[v.ID] = v
	}
}

// recordRoutes records routes that were read, tells other balancers of a new version as digests do, and
// takes over what they know of former ones.
func (b *balancerVM) recordRoutes(r catalog.Routes) {
	isNew := b.history.Record(r, b.readAt)
	b.history.Confirm(b.readAt)
	for _, o := range b.lab.balancers {
		if o == b || !o.up || !reachable(o.vm, b.vm) {
			continue
		}
		if o.pausedUntil.IsZero() {
			b.history.Merge(o.history.Snapshot(b.readAt), b.readAt)
		}
		if isNew {
			history := o.history
			b.lab.after(b.lab.delay(b.vm, o.vm), func() {
				o.handle(func() { history.RecordNamed(r.Version, b.lab.clock.Now()) })
			})
		}
	}
}

// route forwards a packet of a caller to a balancer of the zone near the caller, or of any
// zone if no balancer there is in rotation. It chooses the balancer by rendezvous hashing of
// the flow, so that a change of the rotation moves only the flows of balancers that were
// added or removed.
func (l *Lab) route(c *caller, f packet.Flow, raw []byte) {
	var key [packet.FlowLen]byte
	f.Put(key[:])
	ranker := rendezvous.NewRanker([]byte("fabric"))
	hash := ranker.Hash(key[:])
	var best *balancerVM
	var bestScore float64
	near := lo.ContainsBy(l.balancers, func(b *balancerVM) bool { return b.zone == c.near && b.inRotation() })
	for _, b := range l.balancers {
		if near && b.zone != c.near || !b.inRotation() {
			continue
		}
		if score := ranker.Score(hash, b.hash, 1); best == nil || score > bestScore {
			best, bestScore = b, score
		}
	}
	if best == nil || best.cut {
		return
	}
	copied := append([]byte(nil), raw...)
	if l.real != nil {
		l.placedBy[f] = best
		l.real.send(copied, l.real.fabricAddr, netip.AddrPortFrom(best.ip, frontPort))
		return
	}
	l.after(callerDelay, func() {
		if best.up && !best.cut {
			l.recovery.recordArrived(f, best)
			best.handle(func() {
				l.placedBy[f] = best
				best.balancer.HandleCallerPacket(copied)
			})
		}
	})
}

// inRotation reports whether the fabric routes packets to the balancer: it is ready, or has
// stopped and the fabric has not detected it yet.
func (b *balancerVM) inRotation() bool {
	if r := b.lab.real; r != nil {
		return r.ready(b)
	}
	return b.up && !b.missesProbes() && b.catalog.Complete() && !b.balancer.CutOff() || !b.up && b.lab.clock.Now().Before(b.routedUntil)
}
