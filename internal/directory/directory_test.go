package directory

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// store is a stand-in for the platform. It returns errors to the balancers in refused.
type store struct {
	mu      sync.Mutex
	routes  catalog.Routes
	servers catalog.Servers
	// evacuations is known once it was published.
	evacuations catalog.Evacuations
	refused     map[netip.Addr]bool
	// address is the address of every server.
	address netip.Addr
	calls   int
}

func (s *store) source(self netip.Addr) Source {
	return Source{
		Routes: func(context.Context) (catalog.Operator, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			if s.refused[self] {
				return catalog.Operator{}, errors.New("refused")
			}
			return catalog.Operator{Routes: s.routes, Evacuations: s.evacuations}, nil
		},
		Servers: func(context.Context) (catalog.Servers, []error, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			if s.refused[self] {
				return catalog.Servers{}, nil, errors.New("refused")
			}
			return s.servers, nil, nil
		},
	}
}

func (s *store) publish(version, revision uint64, ids ...string) {
	s.publishAt(version, position.Position{Revision: revision}, ids...)
}

func (s *store) publishAt(version uint64, at position.Position, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = catalog.Routes{Version: version, Services: []string{"pass"}}
	var list []catalog.Server
	for _, id := range ids {
		list = append(list, catalog.Server{ID: id, Service: "pass", Zone: "a", State: catalog.Ready, Slots: 1, Address: s.address})
	}
	s.servers = catalog.NewServers(at, list)
}

// countCalls returns the number of calls within the given time.
func (s *store) countCalls(d time.Duration) int {
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls - before
}

func (s *store) refuse(self netip.Addr, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[self] = refused
}

// fleet runs directories that exchange digests by function calls, and catalogs over
// the loopback interface.
type fleet struct {
	t     *testing.T
	store *store
	port  uint16
	mu    sync.Mutex
	all   map[netip.AddrPort]*Directory
	// cut holds the directories that exchange no digests.
	cut map[netip.AddrPort]bool
	// older holds the directories that act as programs which do not know epochs: their
	// digests and lists state none, and the digests that they receive from others offer
	// them no list.
	older map[netip.AddrPort]bool
	// seeds is the number of balancers that the settings name, the first of them; source returns
	// the platform for a balancer.
	seeds  int
	source func(self netip.Addr) Source
}

// withoutEpoch returns a source whose lists state no epoch.
func (s Source) withoutEpoch() Source {
	read := s.Servers
	s.Servers = func(ctx context.Context) (catalog.Servers, []error, error) {
		list, faults, err := read(ctx)
		list.Epoch = 0
		return list, faults, err
	}
	return s
}

// Layout of a digest, in bytes: the version of the routes and the revision of the servers lie
// between versionOffset and ageOffset, the epoch at the end.
const (
	versionOffset = 2
	ageOffset     = 18
	epochLen      = 8
)

// connect determines whether a directory exchanges digests with others.
func (f *fleet) connect(d *Directory, connected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[d.config.Self] = !connected
}

func newFleet(t *testing.T) *fleet {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := l.Addr().(*net.TCPAddr).AddrPort().Port()
	_ = l.Close()
	s := &store{refused: make(map[netip.Addr]bool), address: netip.MustParseAddr("10.0.0.1")}
	return &fleet{t: t, store: s, port: port, all: make(map[netip.AddrPort]*Directory), cut: make(map[netip.AddrPort]bool), older: make(map[netip.AddrPort]bool), seeds: 1, source: s.source}
}

// start runs a directory on 127.0.0.n until the test ends.
func (f *fleet) start(n byte) *Directory {
	d, _ := f.run(n, false)
	return d
}

// run runs a directory on 127.0.0.n until the test ends or stop is called.
func (f *fleet) run(n byte, replica bool) (d *Directory, stop func()) {
	return f.runAt(numbered(int(n)), replica)
}

// numbered returns the address of the balancer with a number.
func numbered(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)})
}

// runAt runs a directory on an address until the test ends or stop is called.
func (f *fleet) runAt(ip netip.Addr, replica bool) (d *Directory, stop func()) {
	self := netip.AddrPortFrom(ip, 7000)
	source := f.source(ip)
	if f.older[self] {
		source = source.withoutEpoch()
	}
	ctx, cancel := context.WithCancel(context.Background())
	d = NewDirectory(Config{
		Self:        self,
		Peer:        netip.AddrPortFrom(ip, f.port),
		PeerPort:    f.port,
		ReplicaPort: f.port,
		Replica:     replica,
		Zone:        "a",
		Seeds:       lo.Times(f.seeds, func(i int) netip.Addr { return numbered(i + 1) }),
		Bounds:      bounds.Default(),
		Evacuations: f.store.evacuations.Known(),
		Source:      source,
		Send: func(b []byte, to netip.AddrPort) {
			f.mu.Lock()
			to = netip.AddrPortFrom(to.Addr(), 7000)
			other, cut := f.all[to], f.cut[self] || f.cut[to]
			digest := slices.Clone(b)
			if f.older[self] {
				digest = digest[:len(digest)-epochLen]
			}
			if f.older[to] && !f.older[self] {
				clear(digest[versionOffset:ageOffset])
			}
			f.mu.Unlock()
			if other != nil && !cut {
				other.HandleDatagram(ctx, digest, self)
			}
		},
		Changed:   func(*catalog.Catalog, []Expired) {},
		Confirmed: func() {},
		Clock:     clockwork.NewRealClock(),
		Log:       eventlog.NewDirectLog(zerolog.Nop(), clockwork.NewRealClock()),
	})
	f.mu.Lock()
	f.all[self] = d
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.Run(ctx)
		close(done)
	}()
	stop = sync.OnceFunc(func() {
		f.mu.Lock()
		delete(f.all, self)
		f.mu.Unlock()
		cancel()
		<-done
	})
	f.t.Cleanup(stop)
	return d, stop
}

// await waits until a directory has at least the given version and revision.
func await(t *testing.T, d *Directory, version, revision uint64, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		c := d.Catalog()
		if c.Routes.Version >= version && c.Servers.Revision >= revision {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("routes %d, servers %d after %v; want %d and %d", c.Routes.Version, c.Servers.Revision, limit, version, revision)
		}
	}
}

// changeBound is the time within which a change must be in force on every balancer.
const changeBound = 3 * time.Second

// TestOneBalancerReads checks that one balancer reads the platform for all of them, and
// that a change reaches all of them within changeBound.
func TestOneBalancerReads(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	var all []*Directory
	for n := range byte(4) {
		all = append(all, f.start(n+1))
	}
	for _, d := range all {
		await(t, d, 1, 1, changeBound)
	}
	time.Sleep(time.Second)
	const watched = 3 * time.Second
	calls := f.store.countCalls(watched)
	single := 2 * int(watched/readInterval+1)
	if calls > single*3/2 {
		t.Errorf("%d calls by four balancers, one alone makes %d", calls, single)
	}
	f.store.publish(2, 2, "a", "b")
	for _, d := range all {
		await(t, d, 2, 2, changeBound)
	}
}

// TestReaderIsCutOff checks that another balancer reads when the platform refuses the
// first reader, and that the first one then fetches the catalog from it.
func TestReaderIsCutOff(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	first, second := f.start(1), f.start(2)
	await(t, first, 1, 1, changeBound)
	await(t, second, 1, 1, changeBound)
	f.store.refuse(netip.MustParseAddr("127.0.0.1"), true)
	f.store.publish(2, 2, "a", "b")
	await(t, second, 2, 2, changeBound)
	await(t, first, 2, 2, changeBound)
}

// TestStartWithoutPlatform checks that a balancer that starts while the platform cannot
// be read serves with the catalog of another balancer.
func TestStartWithoutPlatform(t *testing.T) {
	f := newFleet(t)
	f.store.publish(3, 9, "a")
	first := f.start(1)
	await(t, first, 3, 9, changeBound)
	for n := range byte(3) {
		f.store.refuse(netip.AddrFrom4([4]byte{127, 0, 0, n + 1}), true)
	}
	second := f.start(2)
	await(t, second, 3, 9, time.Second)
	if !second.Catalog().Complete() {
		t.Error("the catalog is not complete")
	}
}

// TestLapsedEntriesAreTold checks that a balancer that starts while entries of live
// servers are missing receives them from one that had them.
func TestLapsedEntriesAreTold(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a", "b")
	first := f.start(1)
	await(t, first, 1, 1, changeBound)
	f.store.publish(1, 2, "a")
	await(t, first, 1, 2, changeBound)
	second := f.start(2)
	await(t, second, 1, 2, changeBound)
	if second.Corroborated() {
		t.Error("corroborated by a balancer that has just started")
	}
	for deadline := time.Now().Add(time.Second); len(second.expiredIDs()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no expired entry was received within 1 s")
		}
	}
	second.mu.Lock()
	defer second.mu.Unlock()
	if l, ok := second.expired["b"]; !ok || time.Since(l.Since) > changeBound {
		t.Errorf("expired entries %v, want server b", second.expired)
	}
}

// expiredIDs returns the IDs of the servers whose entries have expired.
func (d *Directory) expiredIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Keys(d.expired)
}

// TestNothingGoesBack checks that older routes and readings do not replace newer ones.
func TestNothingGoesBack(t *testing.T) {
	f := newFleet(t)
	f.store.publish(5, 50, "a", "b")
	d := f.start(1)
	await(t, d, 5, 50, changeBound)
	f.store.publish(4, 40, "a")
	time.Sleep(2 * readInterval)
	if c := d.Catalog(); c.Routes.Version != 5 || len(c.Servers.List) != 2 {
		t.Errorf("routes %d and %d servers, want 5 and 2", c.Routes.Version, len(c.Servers.List))
	}
}

// TestServersReturnAfterPowerLoss checks that a balancer that no other balancer can send
// expired entries reads soon after its start that the servers listed then have restarted,
// without many more calls to the platform.
func TestServersReturnAfterPowerLoss(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	d := f.start(2)
	await(t, d, 1, 1, changeBound)
	const registered = 250 * time.Millisecond
	time.Sleep(registered)
	f.store.publish(1, 2, "b")
	await(t, d, 1, 2, readInterval/2)
	time.Sleep(readInterval)
	f.store.mu.Lock()
	calls := f.store.calls
	f.store.mu.Unlock()
	if limit := 2*3 + int(readInterval/startReadInterval); calls > limit {
		t.Errorf("%d calls in two intervals after the start, want at most %d", calls, limit)
	}
}

// replicaBound is the time within which a change must reach a replica.
const replicaBound = 2*replicaInterval + readInterval + 2*digestInterval

// TestBalancersRestartWhilePlatformIsDown checks that a balancer fetches the catalog from
// the replica on an agent if every balancer restarts while the platform cannot be read,
// and that the replica never reads the platform itself.
func TestBalancersRestartWhilePlatformIsDown(t *testing.T) {
	f := newFleet(t)
	f.store.address = netip.MustParseAddr("127.0.0.9")
	f.store.publish(4, 7, "a")
	first, stop := f.run(1, false)
	await(t, first, 4, 7, changeBound)
	replica, _ := f.run(9, true)
	await(t, replica, 4, 7, replicaBound)
	f.store.publish(5, 8, "a", "b")
	await(t, replica, 5, 8, replicaBound)

	stop()
	f.store.refuse(netip.MustParseAddr("127.0.0.1"), true)
	restarted, _ := f.run(1, false)
	await(t, restarted, 5, 8, memberTimeout+replicaDelay+2*digestInterval)
	if !restarted.Catalog().Complete() {
		t.Error("the catalog is not complete")
	}
	if n := replica.Counts().Reads.Load(); n != 0 {
		t.Errorf("%d readings by the replica, want none", n)
	}
}

// TestReplicaAfterPowerLoss checks that a replica fetches at most once per replicaInterval
// while servers register again one after the other, as after a loss of power.
func TestReplicaAfterPowerLoss(t *testing.T) {
	f := newFleet(t)
	f.store.address = netip.MustParseAddr("127.0.0.9")
	f.store.publish(1, 1, "a")
	for n := range byte(3) {
		f.start(n + 1)
	}
	replica, _ := f.run(9, true)
	started := time.Now()
	ids := []string{"a"}
	for n := range uint64(12) {
		time.Sleep(readInterval / 2)
		ids = append(ids, string(rune('b'+n)))
		f.store.publish(1, 2+n, ids...)
	}
	await(t, replica, 1, 2, replicaBound)
	if got, limit := int(replica.Counts().Fetches.Load()), int(time.Since(started)/replicaInterval); got > limit {
		t.Errorf("%d fetches in %v, want at most %d", got, time.Since(started), limit)
	}
}

// TestChangeOfLongConfiguration checks that after a change of one route among many, a
// balancer receives that route and not the complete list, and fetches it about once
// although several balancers announce it.
func TestChangeOfLongConfiguration(t *testing.T) {
	const routes, changes = 1400, 5
	f := newFleet(t)
	list := make([]catalog.Route, routes)
	for n := range list {
		list[n] = catalog.Route{
			Name: "idle", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
			Shares: []catalog.Share{{Service: "pass", Weight: 1}},
		}
	}
	publish := func(version uint64) {
		f.store.publish(version, version, "a")
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		f.store.routes.List = slices.Clone(list[:routes-int(version)])
	}
	publish(1)
	var all []*Directory
	for n := range byte(4) {
		all = append(all, f.start(n+1))
	}
	for _, d := range all {
		await(t, d, 1, 1, changeBound)
	}
	time.Sleep(2 * digestInterval)
	last := all[3]
	received, fetches := last.server.Traffic().Received.Load(), last.counts.Fetches.Load()
	for version := range uint64(changes) {
		publish(version + 2)
		await(t, last, version+2, 1, changeBound)
	}
	if got := len(last.Catalog().Routes.List); got != routes-changes-1 {
		t.Errorf("%d routes, want %d", got, routes-changes-1)
	}
	const maxBytes = 2000
	if n := (last.server.Traffic().Received.Load() - received) / changes; n > maxBytes {
		t.Errorf("%d bytes for each change, want at most %d", n, maxBytes)
	}
	if n := last.counts.Fetches.Load() - fetches; n > 2*changes {
		t.Errorf("%d fetches for %d changes", n, changes)
	}
}
