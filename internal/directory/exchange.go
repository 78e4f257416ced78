package directory

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/routehistory"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Intervals and limits of the exchange.
const (
	// digestInterval is the pause between digests.
	digestInterval = 300 * time.Millisecond
	// maxDigests is how many balancers receive each round of digests at most.
	maxDigests = 16
	// memberRetention is how long digests are still sent to a silent balancer.
	memberRetention = 60 * time.Second
	// expiredReturn is how long after its entry has expired a server is named to all other balancers;
	// entries that expired in an outage return sooner. Later it is named only to those whose lists
	// are not complete, which may never have read it.
	expiredReturn = 5 * time.Second
	// proversPerRound is how many balancers are requested in a round to prove a reading: one of them may
	// have stopped.
	proversPerRound = 2
	// seedTimeout limits the wait for the balancers named in the settings, which answer
	// within a few round trips unless they are down.
	seedTimeout = 300 * time.Millisecond
	// corroborationPeriod is how long a balancer reads the platform until its list counts
	// as complete: entries that expired in an outage return within 2 s.
	corroborationPeriod = 3 * time.Second
	// fetchHedgeDelay is how long a directory may take to answer before the catalog is
	// fetched from a further one as well; an answer takes a few round trips.
	fetchHedgeDelay = 250 * time.Millisecond
	// fetchTolerance is how much older than the reading in force one with a newer revision
	// and other servers may seem and still be fetched.
	fetchTolerance = 100 * time.Millisecond
)

const catalogMethod = "catalog"

type catalogParams struct {
	RoutesVersion uint64 `json:"configVersion"`
	position.Position
	// Sum is the hash of the servers that the caller has.
	Sum uint64 `json:"sum"`
	// EvacuationsAt is the position of the set of evacuated zones that the caller has.
	EvacuationsAt position.Position `json:"evacuationsAt,omitzero"`
	// Corroborated is true if the caller's list is complete, together with the expired entries that it
	// has.
	Corroborated bool `json:"corroborated,omitempty"`
}

// catalogResult holds what the caller lacks, as complete lists or as deltas.
type catalogResult struct {
	// Routes and RoutesDelta are absent if the caller has the same or newer routes.
	Routes      *catalog.Routes      `json:"routes,omitempty"`
	RoutesDelta *catalog.RoutesDelta `json:"routesDelta,omitempty"`
	// RouteHistory holds the services that the routes have led to; older programs omit it.
	RouteHistory routehistory.Snapshot `json:"routeHistory,omitzero"`
	// Servers and ServersDelta are absent if the caller has the same or newer servers.
	Servers      *catalog.Servers      `json:"servers,omitempty"`
	ServersDelta *catalog.ServersDelta `json:"serversDelta,omitempty"`
	// ProvedMillis is the time after which the routes and servers were read for certain, as an age in
	// milliseconds; 0 if there is none.
	ProvedMillis int64 `json:"provedMillis,omitempty"`
	// AgeMillis is the time since the servers were read, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Evacuations is the set of evacuated zones. It is absent if it is in the servers, or the
	// caller has the same or a newer one.
	Evacuations *catalog.Evacuations `json:"evacuations,omitempty"`
	// EvacuationsAgeMillis is the time since that set was read, in milliseconds.
	EvacuationsAgeMillis int64 `json:"evacuationsAgeMillis,omitempty"`
	// Corroborated is true if the balancer has a complete list of the servers that may run.
	Corroborated bool `json:"corroborated"`
	// Expired holds the servers whose entries have recently expired.
	Expired []expiredEntry `json:"lapsed,omitempty"`
}

type expiredEntry struct {
	Server        catalog.Server `json:"server"`
	MissingMillis int64          `json:"missingMillis"`
}

// exchange sends digests at intervals until the context ends.
func (d *Directory) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		d.sendDigests()
		d.sleep(ctx, d.pace(digestInterval))
	}
}

// HandleDigest processes a digest received from another directory: it adds the balancers
// that the digest names, and starts a fetch if the sender has a newer catalog.
func (d *Directory) HandleDigest(ctx context.Context, raw []byte, from netip.AddrPort) {
	f, members, ok := steer.ParseDigest(raw)
	if !ok {
		return
	}
	d.confirmEvacuations(f, from.String())
	if f.Replica {
		d.handleReplica(ctx, f, from)
		return
	}
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if (d.members[from].lastReceived.IsZero() || f.ReplyRequested) && !d.config.Replica {
		// The sender may know nobody else: the next rounds of digests may all leave it out.
		go d.sendDigestTo(from)
	}
	d.members[from] = member{lastReceived: now, number: f.Number, provedAt: provedAt(f, now), epoch: f.Epoch, leaving: f.Leaving, failing: f.Failing, statesEpoch: f.StatesEpoch, evacuations: d.readsEvacuations(f)}
	if d.config.Replica {
		members = nil
	}
	for _, m := range members {
		if _, listed := d.members[m]; !listed && m != d.config.Self {
			d.members[m] = member{}
		}
	}
	c := d.catalog.Load()
	readAt := now.Add(-f.Age)
	if d.confirms(f) {
		if began, ok := d.rounds.BeganAt(f.Echo); ok && f.Proved {
			d.recordProved(began.Add(-f.ProvedAge))
		}
		d.advanceReading(readAt)
		if c.Servers.Before(f.Position) {
			d.catalog.Store(c.WithServers(c.Servers.WithPosition(f.Position)))
		}
	}
	newer := d.skippedRoutes(f, from) || f.RoutesVersion > c.Routes.Version || d.lacksServers(f, readAt) || d.lacksEvacuations(f)
	d.peerCorroborated = d.peerCorroborated || f.Corroborated
	if (newer || f.Corroborated && !d.corroboratedLocked()) && d.mayFetch(now) {
		d.startFetch(ctx, from, d.config.PeerPort)
	}
}

// confirms reports whether the reading that a digest states confirms the catalog in force: it
// showed the same servers at the same or a later position, and its sender has no newer routes. A
// balancer that cannot fetch those must not rely on the sender's readings, nor on those of a program
// that does not know epochs: the platform may have returned from a backup. The caller holds the
// lock.
func (d *Directory) confirms(f steer.Freshness) bool {
	return f.Revision > 0 && f.StatesEpoch && d.readsEvacuations(f) && d.shows(f)
}

// shows reports whether a reading has the same servers as the catalog in force, at the same or a
// later position, and no newer routes. The caller holds the lock.
func (d *Directory) shows(f steer.Freshness) bool {
	c := d.catalog.Load()
	return f.Sum == d.sum && d.sum == d.passedSum && f.RoutesVersion <= c.Routes.Version && !f.Before(c.Servers.Position)
}

// lacksServers reports whether the sender of a digest has a newer list of servers than this
// balancer. readAt is when the sender's list was read. The caller holds the lock.
func (d *Directory) lacksServers(f steer.Freshness, readAt time.Time) bool {
	at := d.catalog.Load().Servers.Position
	if !at.Before(f.Position) || f.Sum == d.sum {
		return false
	}
	return f.Epoch > at.Epoch || readAt.After(d.readAt.Add(-fetchTolerance))
}

// startFetch fetches the catalog of another directory, unless such a fetch is in progress
// or one from another directory began less than fetchHedgeDelay ago: after a change many
// digests announce it at the same time. The caller holds the lock.
func (d *Directory) startFetch(ctx context.Context, from netip.AddrPort, port uint16) {
	now := d.config.Clock.Now()
	if _, ok := d.fetching[from]; ok {
		return
	}
	if lo.SomeBy(lo.Values(d.fetching), func(startedAt time.Time) bool { return now.Sub(startedAt) < fetchHedgeDelay }) {
		return
	}
	d.fetching[from] = now
	go d.fetch(ctx, from, port)
}

// fetch fetches the newer catalog of another directory, and its expired servers.
func (d *Directory) fetch(ctx context.Context, from netip.AddrPort, port uint16) {
	defer func() {
		d.mu.Lock()
		delete(d.fetching, from)
		d.mu.Unlock()
	}()
	address := netip.AddrPortFrom(from.Addr(), port)
	c, err := d.server.Dial(ctx, address.String())
	if err != nil {
		d.config.Log.Debug("fetchFailed").Stringer("balancer", from).Err(err).Send()
		return
	}
	defer func() { _ = c.Close() }()
	base, sum := d.current()
	requestedAt := d.config.Clock.Now()
	r, err := rpc.Call[catalogResult](ctx, c, catalogMethod, catalogParams{
		RoutesVersion: base.Routes.Version, Position: base.Servers.Position, Sum: sum,
		EvacuationsAt: base.Servers.Evacuations.Position, Corroborated: d.Corroborated(),
	})
	if err != nil {
		d.config.Log.Debug("fetchFailed").Stringer("balancer", from).Err(err).Send()
		return
	}
	d.counts.Fetches.Add(1)
	first := !d.Catalog().Complete()
	d.applyResult(r, base, requestedAt, from.String())
	if first && d.Catalog().Complete() && !d.config.Replica {
		// Others that have just started wait for a catalog, too.
		d.sendDigests()
	}
	d.addExpired(r.Expired)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirmed = d.confirmed || r.Corroborated
}

// current returns the catalog in force and the hash of its servers.
func (d *Directory) current() (*catalog.Catalog, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.catalog.Load(), d.sum
}

// applyResult applies the lists and deltas that another directory returned. Deltas apply
// to base, the catalog that the call stated.
func (d *Directory) applyResult(r catalogResult, base *catalog.Catalog, requestedAt time.Time, from string) {
	if r.RoutesDelta != nil {
		if routes, ok := base.Routes.WithDelta(*r.RoutesDelta); ok {
			d.counts.Deltas.Add(1)
			r.Routes = &routes
		} else {
			d.config.Log.Warn("deltaRefused").Str("source", from).Uint64("base", r.RoutesDelta.Base).Uint64("version", base.Routes.Version).Send()
		}
	}
	if r.ServersDelta != nil {
		if servers, ok := base.Servers.WithDelta(*r.ServersDelta); ok {
			d.counts.Deltas.Add(1)
			r.Servers = &servers
		} else {
			d.config.Log.Warn("deltaRefused").Str("source", from).Uint64("base", r.ServersDelta.Base).Uint64("revision", base.Servers.Revision).Send()
		}
	}
	if r.Routes != nil {
		d.applyRoutesWith(*r.Routes, r.RouteHistory, from)
	}
	d.routes.Merge(r.RouteHistory, d.config.Clock.Now())
	d.takeEvacuations(&r, d.config.Clock.Since(requestedAt), from)
	if r.Servers != nil {
		list, faults := usable(r.Servers.List)
		d.recordIgnored(faults, "balancer")
		r.Servers.List = list
		age := fromMillis(r.AgeMillis) + d.config.Clock.Since(requestedAt)
		d.applyServers(*r.Servers, age, from)
		d.recordFetched(r, requestedAt)
	}
}

// recordFetched records the proof that another directory has returned with the servers now in force, to a
// call that began at the given time.
func (d *Directory) recordFetched(r catalogResult, requestedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	routesRefused := r.RoutesDelta != nil && r.Routes == nil
	if c := d.catalog.Load(); r.ProvedMillis > 0 && c.Servers.Position == r.Servers.Position && !routesRefused {
		d.recordProved(requestedAt.Add(-fromMillis(r.ProvedMillis)))
	}
}

// addExpired records the expired servers of another directory that are not listed here.
func (d *Directory) addExpired(list []expiredEntry) {
	if len(list) == 0 {
		return
	}
	now := d.config.Clock.Now()
	d.mu.Lock()
	listed := d.catalog.Load().Servers.List
	for _, e := range list {
		if e.Server.Check() != nil {
			continue
		}
		if !lo.ContainsBy(listed, func(v catalog.Server) bool { return v.ID == e.Server.ID }) {
			d.expired[e.Server.ID] = Expired{Server: e.Server, Since: now.Add(-fromMillis(e.MissingMillis))}
		}
	}
	d.mu.Unlock()
	d.changed()
}

// maxAge is the longest age that another directory may state.
const maxAge = 24 * time.Hour

// fromMillis returns the age that another directory has stated, within its bounds: what it read
// cannot be younger than now.
func fromMillis(millis int64) time.Duration {
	return time.Duration(lo.Clamp(millis, 0, maxAge.Milliseconds())) * time.Millisecond
}

// serveCatalog returns what a calling directory lacks.
func (d *Directory) serveCatalog(_ context.Context, _ *rpc.Conn, p catalogParams) (catalogResult, error) {
	now := d.config.Clock.Now()
	var r catalogResult
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.catalog.Load()
	r.Corroborated = d.corroboratedLocked()
	for _, l := range d.expired {
		if missing := now.Sub(l.Since); missing <= expiredReturn || !p.Corroborated {
			r.Expired = append(r.Expired, expiredEntry{l.Server, missing.Milliseconds()})
		}
	}
	r.RouteHistory = d.routes.Snapshot(now)
	if c.Routes.Version > p.RoutesVersion {
		d.history.routesSince(p.RoutesVersion, c.Routes, &r)
	}
	if p.EvacuationsAt.Before(c.Servers.Evacuations.Position) {
		r.EvacuationsAgeMillis = now.Sub(d.evacuationsReadAt).Milliseconds()
		r.Evacuations = &c.Servers.Evacuations
	}
	if p.Before(c.Servers.Position) {
		r.Evacuations = nil
		d.history.serversSince(p.Sum, c.Servers, &r)
		r.AgeMillis = now.Sub(d.readAt).Milliseconds()
		if !d.provedAt.IsZero() {
			r.ProvedMillis = now.Sub(d.provedAt).Milliseconds() + 1
		}
	}
	return r, nil
}

// fetchFromSeeds fetches the catalogs of the balancers named in the settings, so that a
// restarted balancer serves while the platform is down, and has the entries of live
// servers that expired before it started.
func (d *Directory) fetchFromSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range d.targets() {
		wg.Go(func() { d.fetch(ctx, s, d.config.PeerPort) })
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seedsTried = true
}

// listen serves calls of other directories until the context ends.
func (d *Directory) listen(ctx context.Context) {
	l, err := net.Listen("tcp4", d.config.Peer.String())
	if err != nil {
		d.config.Log.Error("listenFailed").Stringer("address", d.config.Peer).Err(err).Send()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.config.Log.Warn("acceptFailed").Err(err).Send()
			d.sleep(ctx, retryInterval)
			continue
		}
		go d.serveConn(ctx, c)
	}
}

func (d *Directory) serveConn(ctx context.Context, nc net.Conn) {
	c := d.server.Attach(ctx, nc)
	select {
	case <-c.Closed():
	case <-ctx.Done():
	case <-d.config.Clock.After(connLifetime):
	}
	_ = c.Close()
}

// connLifetime limits a connection of another directory, which makes one call.
const connLifetime = 5 * time.Second
