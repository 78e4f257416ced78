// Package directory keeps the catalog of a balancer current. Balancers exchange
// digests over UDP; each reads the platform only when no other balancer has read it
// recently, and fetches newer catalogs from the others over TCP.
package directory

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/echo"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/routehistory"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Source reads the platform.
type Source struct {
	// Routes returns what the operator has written. The evacuated zones are valid if they are
	// known, also with an error.
	Routes func(ctx context.Context) (catalog.Operator, error)
	// Servers returns the servers, and an error for each entry that describes none.
	Servers func(ctx context.Context) (catalog.Servers, []error, error)
}

// Config are the parameters of a directory.
type Config struct {
	// Self is the address that receives the digests of other directories.
	Self netip.AddrPort
	// Peer is the TCP address that accepts calls of other directories.
	Peer netip.AddrPort
	// PeerPort and ReplicaPort are the ports for calls to balancers and to replicas.
	PeerPort, ReplicaPort uint16
	// Replica is true if the directory only keeps a copy of the catalog of balancers, for
	// balancers that start while the platform cannot be read. It never reads the platform.
	Replica bool
	// Zone is the availability zone; a balancer updates the replicas of its own zone.
	Zone string
	// Seeds are the balancers whose catalogs are fetched at the start; some may be down.
	Seeds []netip.Addr
	// Evacuations is true if the deployment evacuates zones. Then a reading of another balancer
	// counts only if that reads the evacuated ones; else their sets are ignored.
	Evacuations bool
	// Bounds are the time bounds of the deployment.
	Bounds bounds.Bounds
	// MaxFlow is how long a flow may last.
	MaxFlow time.Duration
	// Source reads the platform.
	Source Source
	// Send sends a datagram to another balancer.
	Send func(b []byte, to netip.AddrPort)
	// Changed is called after every change of the catalog, with the servers whose
	// entries have recently expired.
	Changed func(c *catalog.Catalog, expired []Expired)
	// Confirmed is called after a reading that was requested has confirmed the catalog, or changed it.
	Confirmed func()
	// Clock measures time.
	Clock clockwork.Clock
	// Log receives the events.
	Log *eventlog.Log
}

// Expired is a server whose entry has expired. Entries of live servers may expire
// in an outage of the platform and return.
type Expired struct {
	// Server is the latest entry of the server.
	Server catalog.Server
	// Since is when the entry was first missing.
	Since time.Time
}

// Directory keeps the catalog of a balancer, or a replica of it on an agent. It is
// safe for concurrent use.
type Directory struct {
	config  Config
	server  *rpc.Server
	started time.Time
	// catalog is never nil; it is replaced, never modified.
	catalog atomic.Pointer[catalog.Catalog]
	// routes holds the services that the routes have led to at this or another directory. A version
	// is recorded there before it is in force.
	routes *routehistory.History

	// changes serializes the calls of Changed, so that the last one passes the newest catalog.
	changes sync.Mutex

	mu sync.Mutex
	// firstReadAt and readAt are the times at which the first catalog and the one in
	// force were read from the platform, by this balancer or another one, as far as is known: what
	// another one has stated may have waited. They are not zero if the catalog has servers, and never
	// later than now. Only the order of readers, the fetches of lists, and the
	// end of the use of servers that are no longer listed rest on them.
	firstReadAt, readAt time.Time
	// readableSince is when the first catalog was read or, if the platform could not be read for a
	// while before this directory was corroborated, the first one after that.
	readableSince time.Time
	// evacuationsReadAt is when the set of evacuated zones in force was read; zero if it never was.
	evacuationsReadAt time.Time
	// sum is the hash of the servers and evacuated zones in the catalog.
	sum uint64
	// passedSum is the hash of the servers that were last passed to Changed, and passedAt the
	// latest time at which they were read.
	passedSum uint64
	passedAt  time.Time
	// provedAt is the latest time of this balancer's own clock after which the catalog in force was
	// read for certain, routes and servers, and passedProvedAt that of the servers that were last passed
	// to Changed. They are never later than readAt and passedAt.
	provedAt, passedProvedAt time.Time
	// rounds numbers the digests of this directory, so that those of others show when they were sent.
	rounds *echo.Rounds
	// limitLogged is true from a reading that was due although digests stated younger ones to the next
	// proof.
	limitLogged bool
	// demand is the state of readings out of turn.
	demand demand
	// history holds former catalogs that other directories may still have.
	history history
	// members holds the other balancers; the zero member for those that only the digests or
	// the settings name.
	members map[netip.AddrPort]member
	// fetching holds the start of each fetch in progress, by the directory that is called.
	fetching map[netip.AddrPort]time.Time
	// fetchedAt is when a replica last started to fetch, or was started itself.
	fetchedAt time.Time
	// attemptedAt is when the latest attempt to read the platform began, and attempts their number.
	attemptedAt time.Time
	attempts    int
	// failedSince is the time of the first failed read in a row; zero after a success.
	failedSince time.Time
	// refusing is true from the first refused list of servers to the next applied one.
	refusing bool
	// ignored remembers the unusable entries of the latest lists.
	ignored ignored
	// expired holds the servers whose entries have recently expired, by ID.
	expired map[string]Expired
	// confirmed is true once a balancer with a complete list of the servers that may run
	// has sent its expired entries, or the list was complete at a reading; peerCorroborated is true once the digest of one has
	// been received.
	confirmed, peerCorroborated bool
	// seedsTried is true once every balancer named in the settings has answered or
	// failed to answer.
	seedsTried bool
	leaving    bool
	counts     Counts
}

// member is another balancer.
type member struct {
	// lastReceived is when its latest digest arrived.
	lastReceived time.Time
	// number is that of its latest digest, and provedAt the time after which it had read the catalog for
	// certain, as far as that digest shows; zero if it stated none.
	number   uint16
	provedAt time.Time
	// epoch is that of the list of servers that it had then.
	epoch uint64
	// leaving is true if it was about to stop then. It forwards packets until it stops, so it
	// still receives digests, but no other balancer waits for its readings.
	leaving bool
	// statesEpoch is true if it is a program that knows epochs.
	statesEpoch bool
	// failing is true if its latest read of the platform had failed.
	failing bool
	// evacuations is true if it reads the evacuated zones, or the deployment has none.
	evacuations bool
}

// Counts are totals since the start.
type Counts struct {
	// Reads counts calls to the platform, FailedReads those that failed.
	Reads, FailedReads atomic.Uint64
	// Fetches counts catalogs that other directories returned; Deltas counts the lists
	// of routes or servers in them that held only the differences and were applied.
	Fetches, Deltas atomic.Uint64
	// SkippedRoutes counts versions of the routes that another balancer has named and this one had
	// never read.
	SkippedRoutes atomic.Uint64
	// Ignored counts entries that describe no usable server, once for each content.
	Ignored atomic.Uint64
	// Refused counts lists of servers that were older than the list in force.
	Refused atomic.Uint64
	// Unproved counts readings that were due because no digest proved a young one, although digests
	// stated one.
	Unproved atomic.Uint64
	// ReadingsRequested counts requests of this balancer for a reading out of turn, and
	// ReadingsOnDemand the readings that it made at such requests.
	ReadingsRequested, ReadingsOnDemand atomic.Uint64
}

// NewDirectory returns a directory with an empty catalog.
func NewDirectory(c Config) *Directory {
	d := &Directory{
		config:   c,
		started:  c.Clock.Now(),
		server:   rpc.NewServer(c.Self.Addr()),
		members:  make(map[netip.AddrPort]member),
		fetching: make(map[netip.AddrPort]time.Time),
		ignored:  newIgnored(),
		expired:  make(map[string]Expired),
		demand:   newDemand(),
		rounds:   echo.NewRounds(uint16(rand.Uint32())),
		routes:   routehistory.NewHistory(c.MaxFlow, c.Bounds.MaxReadingAge()+readingDuration),
	}
	d.fetchedAt = d.started
	d.catalog.Store(catalog.NewCatalog())
	rpc.Handle(d.server, catalogMethod, d.serveCatalog)
	for _, s := range c.Seeds {
		if s != c.Self.Addr() {
			d.members[netip.AddrPortFrom(s, c.Self.Port())] = member{}
		}
	}
	return d
}

// pace scales a period of the exchange to the change bound of the deployment.
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

// Run reads the platform and exchanges catalogs until the context ends.
func (d *Directory) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if !d.config.Replica {
		wg.Go(func() { d.fetchFromSeeds(ctx) })
		wg.Go(func() { d.readPlatform(ctx) })
	}
	wg.Go(func() { d.exchange(ctx) })
	wg.Go(func() { d.listen(ctx) })
	wg.Wait()
}

// applyRoutes replaces the routes in force if r is newer. from names the source in the log.
func (d *Directory) applyRoutes(r catalog.Routes, from string) {
	d.applyRoutesWith(r, routehistory.Snapshot{}, from)
}

// applyRoutesWith does the same for routes that another directory has returned with its history.
func (d *Directory) applyRoutesWith(r catalog.Routes, h routehistory.Snapshot, from string) {
	d.mu.Lock()
	before := d.catalog.Load()
	next := before.WithRoutes(r)
	if next == before {
		d.mu.Unlock()
		return
	}
	d.routes.RecordFrom(next.Routes, h, d.config.Clock.Now())
	d.catalog.Store(next)
	d.history.addRoutes(next.Routes)
	d.mu.Unlock()
	d.config.Log.Info("routesChanged").Uint64("version", r.Version).
		Uint64("former", before.Routes.Version).Int("routes", len(r.List)).Str("source", from).
		Str("historyDoubt", string(d.routes.Doubt(d.config.Clock.Now()))).Send()
	d.changed()
}

// changed passes the catalog and the expired servers to the Changed callback.
func (d *Directory) changed() {
	d.changes.Lock()
	defer d.changes.Unlock()
	d.mu.Lock()
	c, sum, expired := d.catalog.Load(), d.sum, lo.Values(d.expired)
	d.mu.Unlock()
	d.config.Changed(c, expired)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passedSum = sum
	d.recordPassed()
}

// applyServers replaces the servers in force unless s is from an earlier position. age is the
// time since the platform was called for them.
func (d *Directory) applyServers(s catalog.Servers, age time.Duration, from string) {
	at := d.config.Clock.Now().Add(-age)
	d.mu.Lock()
	before := d.catalog.Load()
	if s.Before(before.Servers.Position) {
		logged := d.refusing
		d.refusing = true
		d.mu.Unlock()
		d.counts.Refused.Add(1)
		if !logged {
			d.config.Log.Warn("serversRefused").Uint64("revision", s.Revision).Uint64("epoch", s.Epoch).
				Uint64("inForce", before.Servers.Revision).Uint64("epochInForce", before.Servers.Epoch).Str("source", from).Send()
		}
		return
	}
	d.refusing = false
	next := before.WithServers(s)
	sum := next.Servers.Sum()
	changed := sum != d.sum || before.Servers.Revision == 0
	d.catalog.Store(next)
	d.updateExpired(before.Servers.List, s.List)
	d.sum = sum
	d.history.addServers(next.Servers, sum)
	d.advanceReading(at)
	if d.firstReadAt.IsZero() {
		d.firstReadAt, d.readableSince = d.readAt, d.readAt
	}
	d.mu.Unlock()
	if former := before.Servers.Position; former.Epoch > 0 && s.Epoch > former.Epoch {
		d.config.Log.Warn("platformRestored").Uint64("epoch", s.Epoch).Uint64("revision", s.Revision).
			Uint64("formerEpoch", former.Epoch).Uint64("formerRevision", former.Revision).Str("source", from).Send()
	}
	if changed {
		d.config.Log.Info("serversChanged").Uint64("revision", s.Revision).Uint64("epoch", s.Epoch).
			Int("servers", len(s.List)).Str("source", from).Dur("age", age).Send()
	}
	d.changed()
}

// updateExpired records the servers that are in the former list only, and drops those that are listed
// again, have left after draining, or are missing for longer than a flow may last. Others may live and
// hold flows although they do not reach the platform. The caller holds the lock.
func (d *Directory) updateExpired(before, after []catalog.Server) {
	now := d.config.Clock.Now()
	for _, v := range before {
		if _, recorded := d.expired[v.ID]; !recorded {
			d.expired[v.ID] = Expired{Server: v, Since: now}
		}
	}
	for _, v := range after {
		delete(d.expired, v.ID)
	}
	for id, l := range d.expired {
		missing := now.Sub(l.Since)
		if missing > d.config.MaxFlow || missing > expiredReturn && l.Server.State == catalog.Draining {
			delete(d.expired, id)
		}
	}
}

// freshness returns the content of a digest.
func (d *Directory) freshness() steer.Freshness {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.catalog.Load()
	return steer.Freshness{
		RoutesVersion: c.Routes.Version,
		FormerVersion: d.routes.FormerVersion(d.config.Clock.Now()),
		Position:      c.Servers.Position,
		EvacuationsAt: c.Servers.Evacuations.Position,
		Age:           d.config.Clock.Since(d.readAt),
		Sum:           d.sum,
		Leaving:       d.leaving,
		Failing:       !d.failedSince.IsZero(),
		Corroborated:  d.corroboratedLocked(),
		Replica:       d.config.Replica,
		ProvedAge:     d.config.Clock.Since(d.provedAt),
		Proved:        !d.provedAt.IsZero(),
	}
}

// Leave notifies the other balancers that this one stops, so that they do not wait
// for its readings.
func (d *Directory) Leave() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.sendDigests()
}
