package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/routehistory"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// route returns a version of the routes whose only route leads to a service.
func route(version uint64, service string) catalog.Routes {
	return catalog.Routes{Version: version, List: []catalog.Route{{
		Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []catalog.Share{{Service: service, Weight: 1}},
	}}}
}

// formerServices returns the services that the route of the tests no longer leads to at a directory.
func formerServices(d *Directory) []string {
	return d.RouteHistory().Former(netip.MustParseAddrPort("198.18.0.1:443"), d.config.Clock.Now())
}

// TestSkippedVersionIsFetched guards against a balancer that resets flows of a service to which a route
// led while the balancer stood still: the others hold that version, and it fetches only the present one.
func TestSkippedVersionIsFetched(t *testing.T) {
	f := newFleet(t)
	all, _ := startFleet(f, 3)
	f.store.publishRoutes(route(2, "pass"))
	for _, d := range all {
		await(t, d, 2, 1, changeBound)
	}
	late := all[2]
	f.connect(late, false)
	f.store.refuse(late.config.Self.Addr(), true)
	f.store.publishRoutes(route(5, "next"))
	await(t, all[0], 5, 1, changeBound)
	f.store.publishRoutes(route(9, "pass"))
	await(t, all[0], 9, 1, changeBound)
	f.store.refuse(late.config.Self.Addr(), false)
	f.connect(late, true)
	await(t, late, 9, 1, changeBound)
	for deadline := time.Now().Add(changeBound); len(formerServices(late)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the service of the skipped version is unknown")
		}
	}
}

// TestVersionBetweenTwoReadings guards against a balancer that takes its record of the routes for complete
// although another one has read a version that was in force between two of its own readings. Until
// it has the services of that version, it knows that they are missing.
func TestVersionBetweenTwoReadings(t *testing.T) {
	d, clock := newQuietDirectory(false)
	other, _ := newQuietDirectory(false)
	for _, o := range []*Directory{d, other} {
		o.applyRoutes(route(3, "pass"), "platform")
	}
	clock.Advance(d.config.MaxFlow + time.Second)
	d.recordProvedNow()
	other.applyRoutes(route(8, "next"), "platform")
	other.applyRoutes(route(13, "pass"), "platform")
	d.applyRoutes(route(13, "pass"), "platform")
	if doubt := d.RouteHistory().Doubt(clock.Now()); doubt != routehistory.None {
		t.Fatalf("doubt %q before another balancer names a version", doubt)
	}
	var raw [steer.DigestMaxLen]byte
	n := steer.PutDigest(raw[:], other.freshness(), nil)
	d.HandleDigest(t.Context(), raw[:n], netip.MustParseAddrPort("127.0.0.1:1"))
	if doubt := d.RouteHistory().Doubt(clock.Now()); doubt != routehistory.SkippedVersion {
		t.Errorf("doubt %q, want that a version was skipped", doubt)
	}
	result, err := other.serveCatalog(t.Context(), nil, catalogParams{RoutesVersion: 13})
	if err != nil {
		t.Fatal(err)
	}
	d.applyResult(result, d.Catalog(), clock.Now(), "other")
	if doubt, former := d.RouteHistory().Doubt(clock.Now()), formerServices(d); doubt != routehistory.None || len(former) != 1 {
		t.Errorf("doubt %q, former services %v after the fetch", doubt, former)
	}
}

// recordProvedNow records that the catalog in force was read now.
func (d *Directory) recordProvedNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordProved(d.config.Clock.Now())
}

// publishRoutes replaces the routes.
func (s *store) publishRoutes(r catalog.Routes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes = r
}
