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
	// Self is the balancer's address for datagrams between balancers.
	Self netip.AddrPort
	// Peer is the balancer's address for calls between balancers; its port is the
	// same on all balancers.
	Peer netip.AddrPort
	// Seeds are addresses of balancers to ask at the start; some may be down.
	Seeds []netip.Addr
	// Source reads the platform.
	Source Source
	// Send sends a datagram to another balancer.
	Send func(b []byte, to netip.AddrPort)
	// Changed is called after every change of the catalog.
	Changed func(c *catalog.Catalog)
	// Clock measures time.
	Clock clockwork.Clock
	// Log takes events.
	Log *eventlog.Log
}

// Directory keeps the catalog of a balancer. It is safe for concurrent use.
type Directory struct {
	config Config
	server *rpc.Server
	// catalog is never nil; it is replaced, not changed.
	catalog atomic.Pointer[catalog.Catalog]

	mu sync.Mutex
	// readAt is when the catalog was read, here or elsewhere.
	readAt time.Time
	// sum is the hash of the servers in the catalog.
	sum uint64
	// members holds when each other balancer was last heard; zero for those that
	// were only named by others.
	members map[netip.AddrPort]time.Time
	// fetching holds the balancers that are being asked for their catalog.
	fetching map[netip.AddrPort]bool
	// readFailed is when the platform was lost; zero while it answers.
	readFailed time.Time
	leaving    bool
	counts     Counts
}

// Counts are totals since the start.
type Counts struct {
	// Reads and FailedReads count calls to the platform.
	Reads, FailedReads atomic.Uint64
	// Fetches counts catalogs taken from other balancers.
	Fetches atomic.Uint64
}

// NewDirectory returns a directory with an empty catalog.
func NewDirectory(c Config) *Directory {
	d := &Directory{
		config:   c,
		server:   rpc.NewServer(c.Self.Addr()),
		members:  make(map[netip.AddrPort]time.Time),
		fetching: make(map[netip.AddrPort]bool),
	}
	d.catalog.Store(catalog.NewCatalog())
	rpc.Handle(d.server, catalogMethod, d.serveCatalog)
	for _, s := range c.Seeds {
		if s != c.Self.Addr() {
			d.members[netip.AddrPortFrom(s, c.Self.Port())] = time.Time{}
		}
	}
	return d
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
	wg.Go(func() { d.askSeeds(ctx) })
	wg.Go(func() { d.readPlatform(ctx) })
	wg.Go(func() { d.exchange(ctx) })
	wg.Go(func() { d.listen(ctx) })
	wg.Wait()
}

// takeRoutes puts routes in force if they are newer.
func (d *Directory) takeRoutes(r catalog.Routes, from string) {
	d.mu.Lock()
	before := d.catalog.Load()
	next := before.WithRoutes(r)
	d.catalog.Store(next)
	d.mu.Unlock()
	if next == before {
		return
	}
	d.config.Log.Info("routesChanged").Uint64("version", r.Version).
		Uint64("former", before.Routes.Version).Int("routes", len(r.List)).Str("source", from).Send()
	d.config.Changed(next)
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
	d.sum = sum
	if at := d.config.Clock.Now().Add(-age); at.After(d.readAt) {
		d.readAt = at
	}
	d.mu.Unlock()
	if changed {
		d.config.Log.Info("serversChanged").Uint64("revision", s.Revision).
			Int("servers", len(s.List)).Str("source", from).Dur("age", age).Send()
	}
	d.config.Changed(next)
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
