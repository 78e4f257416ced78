package directory

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// TestReplicasAreAgents guards against a zone without a replica of the catalog because entries of
// another writer have the lowest addresses.
func TestReplicasAreAgents(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := NewDirectory(Config{
		Self: netip.MustParseAddrPort("10.0.0.1:1"), ReplicaPort: 7, Zone: "a", Clock: clock,
		Changed: func(*catalog.Catalog, []Expired) {}, Log: eventlog.NewDirectLog(zerolog.Nop(), clock),
	})
	clock.Advance(replicaInterval)
	server := func(id, address, service string) catalog.Server {
		return catalog.Server{ID: id, Service: service, Zone: "a", State: catalog.Ready, Slots: 1, Address: netip.MustParseAddr(address)}
	}
	d.applyRoutes(catalog.Routes{Version: 1, Services: []string{"pass"}}, "platform")
	d.applyServers(catalog.NewServers(position.Position{Revision: 1}, []catalog.Server{
		server("x", "10.0.1.1", "exporter"), server("y", "10.0.1.2", "exporter"), server("a", "10.0.1.3", "pass"), server("b", "10.0.1.4", "pass"),
	}), 0, "platform")
	want := []netip.AddrPort{netip.MustParseAddrPort("10.0.1.3:7"), netip.MustParseAddrPort("10.0.1.4:7")}
	if got := d.replicas(); !slices.Equal(got, want) {
		t.Errorf("replicas at %v, want %v", got, want)
	}
}
