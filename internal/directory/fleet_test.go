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
// between versionOffset and ageOffset; the epoch, and what newer programs state, at the end.
const (
	versionOffset = 2
	ageOffset     = 18
	epochLen      = 8 + 14
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
		MaxFlow:     time.Minute,
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
