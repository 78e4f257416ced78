// Package directory keeps a balancer's catalog current: it reads the platform
// when no other balancer did lately, and shares what it read with the others.
package directory

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Source reads the platform.
type Source struct {
	// Routes returns the newest routes.
	Routes func(ctx context.Context) (catalog.Routes, error)
	// Servers returns the servers, and an error for each entry that names none.
	Servers func(ctx context.Context) (catalog.Servers, []error, error)
}

// Config are the parameters of a directory.
type Config struct {
	// Self is the address for datagrams of other directories.
	Self netip.AddrPort
	// Peer is the address at which calls of other directories are taken.
	Peer netip.AddrPort
	// PeerPort and ReplicaPort are the ports of calls to balancers and to replicas.
	PeerPort, ReplicaPort uint16
	// Replica is true if the directory only keeps what balancers know, for those that
	// start while the platform cannot be read. It never reads the platform.
	Replica bool
	// Zone is the availability zone; a balancer keeps replicas in its own.
	Zone string
	// Seeds are addresses of balancers to ask at the start; some may be down.
	Seeds []netip.Addr
	// Bounds are those of the deployment.
	Bounds bounds.Bounds
	// Source reads the platform.
	Source Source
	// Send sends a datagram to another balancer.
	Send func(b []byte, to netip.AddrPort)
	// Changed is called after every change of the catalog, with the servers that
	// are no longer listed since a short time.
	Changed func(c *catalog.Catalog, lapsed []Lapsed)
	// Clock measures time.
	Clock clockwork.Clock
	// Log takes events.
	Log *eventlog.Log
}

// Lapsed is a server that is no longer listed. Entries of live servers may lapse
// in an outage and return.
type Lapsed struct {
	// Server is its latest entry.
	Server catalog.Server
	// Since is when the entry was first missing.
	Since time.Time
}

// Directory keeps the catalog of a balancer, or a replica of it at an agent. It is
// safe for concurrent use.
type Directory struct {
	config  Config
	server  *rpc.Server
	started time.Time
	// catalog is never nil; it is replaced, not changed.
	catalog atomic.Pointer[catalog.Catalog]

	mu sync.Mutex
	// firstReadAt and readAt are when the first catalog and the one in force were
	// read, here or elsewhere.
	firstReadAt, readAt time.Time
	// sum is the hash of the servers in the catalog.
	sum uint64
	// history holds the catalogs that others may still have.
	history history
	// members holds when each other balancer was last heard; zero for those that
	// were only named by others.
	members map[netip.AddrPort]time.Time
	// fetching holds when the fetches under way began, by the directory that is asked.
	fetching map[netip.AddrPort]time.Time
	// fetchedAt is when a replica last began to fetch, or was started.
	fetchedAt time.Time
	// readFailed is when the platform was lost; zero while it answers.
	readFailed time.Time
	// lapsed holds servers by ID that are no longer listed since a short time.
	lapsed map[string]Lapsed
	// told is true once a balancer that knows every server that may live has told
	// what lapsed; othersKnow once one said that it knows.
	told, othersKnow bool
	// seedsAsked is true once the balancers named in the settings have answered or
	// failed to.
	seedsAsked bool
	leaving    bool
	counts     Counts
}

// Counts are totals since the start.
type Counts struct {
	// Reads and FailedReads count calls to the platform.
	Reads, FailedReads atomic.Uint64
	// Fetches counts answers of other balancers to questions for their catalog, Deltas
	// those of them in which only what had changed was told.
	Fetches, Deltas atomic.Uint64
}

// NewDirectory returns a directory with an empty catalog.
func NewDirectory(c Config) *Directory {
	d := &Directory{
		config:   c,
		started:  c.Clock.Now(),
		server:   rpc.NewServer(c.Self.Addr()),
		members:  make(map[netip.AddrPort]time.Time),
		fetching: make(map[netip.AddrPort]time.Time),
		lapsed:   make(map[string]Lapsed),
	}
	d.fetchedAt = d.started
	d.catalog.Store(catalog.NewCatalog())
	rpc.Handle(d.server, catalogMethod, d.serveCatalog)
	for _, s := range c.Seeds {
		if s != c.Self.Addr() {
			d.members[netip.AddrPortFrom(s, c.Self.Port())] = time.Time{}
		}
	}
	return d
}

// pace returns a period of the exchange as the bounds of the deployment demand it.
func (d *Directory) pace(period time.Duration) time.Duration {
	return d.config.Bounds.ScalePeriod(period)
}

// Catalog returns the newest catalog.
func (d *Directory) Catalog() *catalog.Catalog {
	return d.catalog.Load()
}

// Counts returns the live counters.
func (d *Directory) Counts() *Counts {
	return &d.counts
}

// Age returns the time since the catalog was read, here or elsewhere, and
// false if they never were.
func (d *Directory) Age() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Clock.Since(d.readAt), !d.readAt.IsZero()
}

// Run reads and exchanges until the context ends.
func (d *Directory) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if !d.config.Replica {
		wg.Go(func() { d.askSeeds(ctx) })
		wg.Go(func() { d.readPlatform(ctx) })
	}
	wg.Go(func() { d.exchange(ctx) })
	wg.Go(func() { d.listen(ctx) })
	wg.Wait()
}

// takeRoutes puts routes in force if they are newer.
func (d *Directory) takeRoutes(r catalog.Routes, from string) {
	d.mu.Lock()
	before := d.catalog.Load()
	next := before.WithRoutes(r)
	if next == before {
		d.mu.Unlock()
		return
	}
	d.catalog.Store(next)
	d.history.addRoutes(next.Routes)
	d.mu.Unlock()
	d.config.Log.Info("routesChanged").Uint64("version", r.Version).
		Uint64("former", before.Routes.Version).Int("routes", len(r.List)).Str("source", from).Send()
	d.changed()
}

// changed tells the newest catalog.
func (d *Directory) changed() {
	d.mu.Lock()
	c, lapsed := d.catalog.Load(), lo.Values(d.lapsed)
	d.mu.Unlock()
	d.config.Changed(c, lapsed)
}

// Corroborated reports whether the servers known are all that may live: a
// balancer that knows has told which entries lapsed lately, or this one has read
// the platform for long enough to have seen them return.
func (d *Directory) Corroborated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knows()
}

func (d *Directory) knows() bool {
	return d.told || d.readAt.Sub(d.firstReadAt) > settleTime
}

// Alone reports whether no other balancer is known to know more: all of them have
// just started, as after a loss of power.
func (d *Directory) Alone() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seedsAsked && !d.othersKnow
}

// ReadAt returns when the catalog was read, here or elsewhere.
func (d *Directory) ReadAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readAt
}

// takeServers puts a reading of the servers in force unless it is older than
// the one in force. age is the time since the platform was asked.
func (d *Directory) takeServers(s catalog.Servers, age time.Duration, from string) {
	sum := s.Sum()
	d.mu.Lock()
	before := d.catalog.Load()
	if s.Revision < before.Servers.Revision {
		d.mu.Unlock()
		return
	}
	changed := sum != d.sum || before.Servers.Revision == 0
	next := before.WithServers(s)
	d.catalog.Store(next)
	d.noteLapsed(before.Servers.List, s.List)
	d.sum = sum
	d.history.addServers(next.Servers, sum)
	if at := d.config.Clock.Now().Add(-age); at.After(d.readAt) {
		d.readAt = at
	}
	if d.firstReadAt.IsZero() {
		d.firstReadAt = d.readAt
	}
	d.mu.Unlock()
	if changed {
		d.config.Log.Info("serversChanged").Uint64("revision", s.Revision).
			Int("servers", len(s.List)).Str("source", from).Dur("age", age).Send()
	}
	d.changed()
}

// noteLapsed remembers the servers that are no longer listed.
func (d *Directory) noteLapsed(before, after []catalog.Server) {
	now := d.config.Clock.Now()
	for _, v := range before {
		if _, known := d.lapsed[v.ID]; !known {
			d.lapsed[v.ID] = Lapsed{Server: v, Since: now}
		}
	}
	for _, v := range after {
		delete(d.lapsed, v.ID)
	}
	for id, l := range d.lapsed {
		if now.Sub(l.Since) > rememberLapsed {
			delete(d.lapsed, id)
		}
	}
}

// freshness returns what a digest tells.
func (d *Directory) freshness() steer.Freshness {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.catalog.Load()
	return steer.Freshness{
		ConfigVersion: c.Routes.Version,
		Revision:      c.Servers.Revision,
		Age:           d.config.Clock.Since(d.readAt),
		Sum:           d.sum,
		Leaving:       d.leaving,
		Corroborated:  d.knows(),
		Replica:       d.config.Replica,
	}
}

// Leave tells the other balancers that this one stops, so that they do not wait
// for its readings.
func (d *Directory) Leave() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.sendDigests()
}
