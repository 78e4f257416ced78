package directory

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Bounds of the exchange.
const (
	// digestInterval is the pause between digests.
	digestInterval = 300 * time.Millisecond
	// maxDigests is how many balancers each round of digests goes to.
	maxDigests = 16
	// forgetAfter is how long a silent balancer still gets digests.
	forgetAfter = 60 * time.Second
	// rememberLapsed is how long a server that is no longer listed is remembered;
	// entries that lapsed in an outage return sooner.
	rememberLapsed = 5 * time.Second
	// seedTimeout bounds the wait for the balancers named in the settings, which
	// answer within some round trips unless they are down.
	seedTimeout = 300 * time.Millisecond
	// settleTime is how long a balancer reads the platform before it has seen all
	// entries return that lapsed in an outage: they are back within 2 s.
	settleTime = 3 * time.Second
	// fetchPatience is how long another directory may take to answer before a further
	// one is asked as well; an answer takes some round trips.
	fetchPatience = 250 * time.Millisecond
	// settle is how much newer another balancer's reading must be to be fetched
	// although it lists the same servers.
	settle = 100 * time.Millisecond
)

const catalogMethod = "catalog"

type catalogParams struct {
	ConfigVersion uint64 `json:"configVersion"`
	Revision      uint64 `json:"revision"`
	// Sum is the hash of the servers that the caller knows.
	Sum uint64 `json:"sum"`
}

// catalogResult holds either the whole or a delta of what the caller lacks.
type catalogResult struct {
	// Routes and RoutesDelta are absent if the caller has the same or newer routes.
	Routes      *catalog.Routes      `json:"routes,omitempty"`
	RoutesDelta *catalog.RoutesDelta `json:"routesDelta,omitempty"`
	// Servers and ServersDelta are absent if the caller has the same or newer servers.
	Servers      *catalog.Servers      `json:"servers,omitempty"`
	ServersDelta *catalog.ServersDelta `json:"serversDelta,omitempty"`
	// AgeMillis is the time since the servers were read.
	AgeMillis int64 `json:"ageMillis"`
	// Corroborated is true if the balancer knows every server that may live.
	Corroborated bool `json:"corroborated"`
	// Lapsed are servers that are no longer listed since a short time.
	Lapsed []lapsedEntry `json:"lapsed,omitempty"`
}

type lapsedEntry struct {
	Server        catalog.Server `json:"server"`
	MissingMillis int64          `json:"missingMillis"`
}

// exchange sends digests at intervals.
func (d *Directory) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		d.sendDigests()
		d.sleep(ctx, d.pace(digestInterval))
	}
}

func (d *Directory) sendDigests() {
	f := d.freshness()
	if f.Revision == 0 {
		f.Age = forgetAfter
	}
	targets := d.targets()
	var b [steer.DigestMaxLen]byte
	n := steer.PutDigest(b[:], f, lo.Samples(targets, steer.MaxMembers))
	for _, t := range append(targets, d.replicas()...) {
		d.config.Send(b[:n], t)
	}
}

// targets returns the balancers for a round of digests: all, or a sample.
func (d *Directory) targets() []netip.AddrPort {
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, heard := range d.members {
		if !heard.IsZero() && now.Sub(heard) > forgetAfter {
			delete(d.members, a)
		}
	}
	all := lo.Keys(lo.PickBy(d.members, func(_ netip.AddrPort, heard time.Time) bool { return d.tells(heard, now) }))
	if len(all) > maxDigests {
		return lo.Samples(all, maxDigests)
	}
	return all
}

// HandleDigest takes a digest of another balancer.
func (d *Directory) HandleDigest(ctx context.Context, raw []byte, from netip.AddrPort) {
	f, members, ok := steer.ParseDigest(raw)
	if !ok {
		return
	}
	if f.Replica {
		d.handleReplica(ctx, f, from)
		return
	}
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members[from] = now
	if d.config.Replica {
		members = nil
	} else if f.Leaving {
		delete(d.members, from)
	}
	for _, m := range members {
		if _, known := d.members[m]; !known && m != d.config.Self {
			d.members[m] = time.Time{}
		}
	}
	c := d.catalog.Load()
	readAt := now.Add(-f.Age)
	if f.Sum == d.sum && f.Revision > 0 && readAt.After(d.readAt) {
		d.readAt = readAt
	}
	newer := f.ConfigVersion > c.Routes.Version ||
		f.Revision > c.Servers.Revision && f.Sum != d.sum && readAt.After(d.readAt.Add(-settle))
	d.othersKnow = d.othersKnow || f.Corroborated
	if (newer || f.Corroborated && !d.knows()) && d.mayFetch(now) {
		d.startFetch(ctx, from, d.config.PeerPort)
	}
}

// startFetch fetches the catalog of another directory, unless that is under way there
// or has just begun elsewhere: after a change many tell it at once.
// The caller holds the lock.
func (d *Directory) startFetch(ctx context.Context, from netip.AddrPort, port uint16) {
	now := d.config.Clock.Now()
	if _, ok := d.fetching[from]; ok {
		return
	}
	if lo.SomeBy(lo.Values(d.fetching), func(began time.Time) bool { return now.Sub(began) < fetchPatience }) {
		return
	}
	d.fetching[from] = now
	go d.fetch(ctx, from, port)
}

// fetch takes what another balancer has newer, and what it knows to have lapsed.
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
	have, sum := d.known()
	asked := d.config.Clock.Now()
	r, err := rpc.Call[catalogResult](ctx, c, catalogMethod, catalogParams{have.Routes.Version, have.Servers.Revision, sum})
	if err != nil {
		d.config.Log.Debug("fetchFailed").Stringer("balancer", from).Err(err).Send()
		return
	}
	d.counts.Fetches.Add(1)
	d.takeResult(r, have, asked, from.String())
	d.takeLapsed(r.Lapsed)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = d.told || r.Corroborated
}

// known returns the catalog in force and the sum of its servers.
func (d *Directory) known() (*catalog.Catalog, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.catalog.Load(), d.sum
}

// takeResult takes what another directory has newer than the given catalog.
func (d *Directory) takeResult(r catalogResult, have *catalog.Catalog, asked time.Time, from string) {
	if r.RoutesDelta != nil {
		if routes, ok := have.Routes.WithDelta(*r.RoutesDelta); ok {
			d.counts.Deltas.Add(1)
			r.Routes = &routes
		} else {
			d.config.Log.Warn("deltaRefused").Str("source", from).Uint64("base", r.RoutesDelta.Base).Uint64("version", have.Routes.Version).Send()
		}
	}
	if r.ServersDelta != nil {
		if servers, ok := have.Servers.WithDelta(*r.ServersDelta); ok {
			d.counts.Deltas.Add(1)
			r.Servers = &servers
		} else {
			d.config.Log.Warn("deltaRefused").Str("source", from).Uint64("base", r.ServersDelta.Base).Uint64("revision", have.Servers.Revision).Send()
		}
	}
	if r.Routes != nil {
		d.takeRoutes(*r.Routes, from)
	}
	if r.Servers != nil {
		age := time.Duration(r.AgeMillis)*time.Millisecond + d.config.Clock.Since(asked)
		d.takeServers(*r.Servers, age, from)
	}
}

// takeLapsed remembers what another balancer knows to have lapsed.
func (d *Directory) takeLapsed(list []lapsedEntry) {
	if len(list) == 0 {
		return
	}
	now := d.config.Clock.Now()
	d.mu.Lock()
	listed := d.catalog.Load().Servers.List
	for _, l := range list {
		if !lo.ContainsBy(listed, func(v catalog.Server) bool { return v.ID == l.Server.ID }) {
			d.lapsed[l.Server.ID] = Lapsed{Server: l.Server, Since: now.Add(-time.Duration(l.MissingMillis) * time.Millisecond)}
		}
	}
	d.mu.Unlock()
	d.changed()
}

func (d *Directory) serveCatalog(_ context.Context, _ *rpc.Conn, p catalogParams) (catalogResult, error) {
	now := d.config.Clock.Now()
	var r catalogResult
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.catalog.Load()
	r.Corroborated = d.knows()
	for _, l := range d.lapsed {
		r.Lapsed = append(r.Lapsed, lapsedEntry{l.Server, now.Sub(l.Since).Milliseconds()})
	}
	if c.Routes.Version > p.ConfigVersion {
		d.history.routesSince(p.ConfigVersion, c.Routes, &r)
	}
	if c.Servers.Revision > p.Revision {
		d.history.serversSince(p.Sum, c.Servers, &r)
		r.AgeMillis = now.Sub(d.readAt).Milliseconds()
	}
	return r, nil
}

// askSeeds takes the catalog of the balancers named in the settings, so that a
// restarted balancer serves while the platform is down, and knows which entries
// of live servers lapsed before it started.
func (d *Directory) askSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range d.targets() {
		wg.Go(func() { d.fetch(ctx, s, d.config.PeerPort) })
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seedsAsked = true
}

// listen serves calls of other balancers.
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

// connLifetime bounds a connection of another balancer, which makes one call.
const connLifetime = 5 * time.Second
