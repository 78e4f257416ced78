package directory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// evacuate publishes the set of evacuated zones, with a new revision of the first epoch.
func (s *store) evacuate(revision uint64, zones ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := position.Position{Epoch: 1, Revision: revision}
	s.servers = s.servers.WithPosition(at)
	s.evacuations, _ = catalog.NewEvacuations(at, zones)
}

// awaitZones waits until exactly the given zones are evacuated.
func awaitZones(t *testing.T, d *Directory, zones ...string) {
	t.Helper()
	for deadline := time.Now().Add(changeBound); ; time.Sleep(10 * time.Millisecond) {
		got := d.Catalog().Servers.Evacuations
		if got.Known() && slices.Equal(got.Zones, zones) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("evacuated: %+v, want %v", got, zones)
		}
	}
}

// TestEvacuationsSpread guards against a balancer that does not learn of a request or a removal,
// with each reading by another balancer, in quick succession, when cut off, or when it starts
// while the platform is unavailable.
func TestEvacuationsSpread(t *testing.T) {
	f := newFleet(t)
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 50}, "x", "y")
	f.store.evacuate(51)
	all := []*Directory{f.start(1), f.start(2), f.start(3)}
	for _, d := range all {
		awaitZones(t, d)
	}
	f.connect(all[2], false)
	f.store.refuse(netip.MustParseAddr("127.0.0.2"), true)
	f.store.refuse(netip.MustParseAddr("127.0.0.3"), true)
	f.store.evacuate(52, "a")
	awaitZones(t, all[1], "a")
	f.store.evacuate(53, "a", "b")
	f.store.evacuate(54, "b")
	awaitZones(t, all[1], "b")
	if got := all[2].Catalog().Servers.Evacuations; len(got.Zones) > 0 {
		t.Errorf("the balancer that is cut off knows of %v", got.Zones)
	}
	f.connect(all[2], true)
	awaitZones(t, all[2], "b")
	f.store.refuse(netip.MustParseAddr("127.0.0.1"), true)
	f.store.refuse(netip.MustParseAddr("127.0.0.4"), true)
	f.store.evacuate(55)
	awaitZones(t, f.start(4), "b")
	for _, n := range []byte{1, 2, 3} {
		f.store.refuse(netip.AddrFrom4([4]byte{127, 0, 0, n}), false)
	}
	for _, d := range all {
		awaitZones(t, d)
	}
}

// TestEvacuationsOfReplica guards against a balancer that does not know the evacuated zones after
// all balancers have restarted while the platform is unavailable.
func TestEvacuationsOfReplica(t *testing.T) {
	f := newFleet(t)
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 50}, "x")
	f.store.evacuate(51, "b")
	f.store.address = netip.MustParseAddr("127.0.0.9")
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 51}, "x")
	replica, _ := f.run(9, true)
	d, stop := f.run(2, false)
	awaitZones(t, d, "b")
	awaitZones(t, replica, "b")
	stop()
	f.store.refuse(netip.MustParseAddr("127.0.0.2"), true)
	d, _ = f.run(2, false)
	awaitZones(t, d, "b")
	awaitServers(t, d, 0, "x")
}

// newQuietDirectory returns a directory that sends nothing, on a simulated clock.
func newQuietDirectory(evacuations bool) (*Directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return NewDirectory(Config{
		Self: netip.MustParseAddrPort("127.0.0.2:1"), Evacuations: evacuations, Bounds: bounds.Default(), MaxFlow: time.Minute, Clock: clock,
		Send:    func([]byte, netip.AddrPort) {},
		Changed: func(*catalog.Catalog, []Expired) {}, Log: eventlog.NewDirectLog(zerolog.Nop(), clock),
	}), clock
}

// TestEvacuationsWithoutSetting guards against a set that stays in force for ever because it is
// taken over from a replica after the operator has disabled evacuations.
func TestEvacuationsWithoutSetting(t *testing.T) {
	d, _ := newQuietDirectory(false)
	at := position.Position{Epoch: 1, Revision: 7}
	list := catalog.NewServers(at, nil).WithEvacuations(catalog.Evacuations{Position: at, Zones: []string{"b"}})
	d.applyResult(catalogResult{Servers: &list}, catalog.NewCatalog(), d.started, "replica")
	if got := d.Catalog().Servers; got.Evacuations.Known() || got.Revision != 7 || d.lacksEvacuations(steer.Freshness{EvacuationsAt: at}) {
		t.Errorf("%+v, want the list alone", got)
	}
}

// TestEvacuationsBesideOlderPrograms guards against a balancer that never reads the evacuated
// zones because older programs, which do not read them, confirm its list of servers.
func TestEvacuationsBesideOlderPrograms(t *testing.T) {
	d, clock := newQuietDirectory(true)
	at := position.Position{Epoch: 1, Revision: 7}
	d.applyRoutes(catalog.Routes{Version: 1}, "platform")
	d.applyEvacuations(catalog.Evacuations{Position: at, Zones: []string{"b"}}, 0, "platform")
	d.applyServers(catalog.NewServers(at, nil), 0, "platform")
	digest := steer.Freshness{RoutesVersion: 1, Position: at, Sum: d.sum}
	for _, newer := range []bool{false, true} {
		clock.Advance(time.Second)
		if newer {
			digest.EvacuationsAt = position.Position{Epoch: 1, Revision: 8}
		}
		var raw [steer.DigestMaxLen]byte
		d.HandleDigest(t.Context(), raw[:steer.PutDigest(raw[:], digest, nil)], netip.MustParseAddrPort("127.0.0.1:1"))
		age, _ := d.Age()
		if rank, _ := d.rank(member.reads); (age == 0) != newer || (rank == 1) != newer {
			t.Errorf("newer program %t: the list is %v old, rank %d", newer, age, rank)
		}
	}
	if got := d.Catalog().Servers.Evacuations; got.Revision != 8 || !got.Has("b") {
		t.Errorf("%+v, want the set at the position of the digest", got)
	}
}
