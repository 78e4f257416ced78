package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

func drawRoutes(t *rapid.T, version uint64) Routes {
	r := Routes{Version: version, IdleTimeout: time.Duration(version) * time.Second}
	r.ColdFlowsPerSecond = rapid.MapOfN(rapid.SampledFrom([]string{"a", "b"}), rapid.Float64Range(0.1, 1e6), 1, 2).Draw(t, "coldFlows")
	for _, n := range rapid.SliceOfDistinct(rapid.Uint8Range(0, 20), rapid.ID[uint8]).Draw(t, "routes") {
		r.List = append(r.List, Route{
			Name: fmt.Sprint(n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1),
			Class:  steer.Class{TimeoutMillis: rapid.Uint16Range(1, 3).Draw(t, "timeout")},
			Shares: []Share{{Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Weight: 1}},
		})
	}
	return r
}

func drawServers(t *rapid.T, revision uint64) Servers {
	var list []Server
	for _, n := range rapid.SliceOfDistinct(rapid.Uint8Range(0, 20), rapid.ID[uint8]).Draw(t, "servers") {
		list = append(list, Server{
			ID: fmt.Sprint(n), Address: netip.AddrFrom4([4]byte{10, 0, 0, n}), Slots: 2,
			State:  rapid.SampledFrom([]State{Ready, Draining}).Draw(t, "state"),
			Warmup: time.Duration(rapid.IntRange(0, 2).Draw(t, "warmup")) * time.Second,
		})
	}
	servers := NewServers(position.Position{Revision: revision}, list)
	zones := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c"})).Draw(t, "evacuated")
	servers.Evacuations, _ = NewEvacuations(position.Position{Revision: revision}, zones)
	return servers
}

// roundTrip returns v after encoding to JSON and decoding, as the receiver gets it.
func roundTrip[T any](t *rapid.T, v T) (got T) {
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	return got
}

// TestDeltas checks that a delta transforms one version into the next, and that every
// other version rejects it.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRoutes(t, 1), drawRoutes(t, 2)
		d := roundTrip(t, a.Delta(b))
		got, ok := a.WithDelta(d)
		byAddress := func(x, y Route) int { return x.Address.Compare(y.Address) }
		slices.SortFunc(got.List, byAddress)
		want := slices.SortedFunc(slices.Values(b.List), byAddress)
		if !ok || got.Version != 2 || got.IdleTimeout != b.IdleTimeout || !slices.EqualFunc(got.List, want, sameRoute) ||
			!maps.Equal(got.ColdFlowsPerSecond, b.ColdFlowsPerSecond) {
			t.Fatalf("routes %t %+v, want %+v", ok, got, b)
		}
		if _, ok := b.WithDelta(d); ok {
			t.Fatal("routes accepted a delta of another version")
		}
		x, y := drawServers(t, 1), drawServers(t, 2)
		e := roundTrip(t, x.Delta(y))
		servers, ok := x.WithDelta(e)
		if !ok || servers.Revision != 2 || servers.Sum() != y.Sum() || !slices.Equal(servers.List, y.List) ||
			!slices.Equal(servers.Evacuations.Zones, y.Evacuations.Zones) {
			t.Fatalf("servers %t %+v, want %+v", ok, servers, y)
		}
		if _, ok := y.WithDelta(e); ok && x.Sum() != y.Sum() {
			t.Fatal("servers accepted a delta of another reading")
		}
	})
}

// TestDeltaOfOneChange checks that the delta between two long lists holds only the one
// changed entry and the one removed entry.
func TestDeltaOfOneChange(t *testing.T) {
	before := Routes{Version: 1}
	for n := range 1400 {
		before.List = append(before.List, Route{Name: fmt.Sprint(n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)})
	}
	after := before
	after.Version = 2
	after.List = slices.Clone(before.List)[1:]
	after.List[500].Class.TimeoutMillis = 7
	if d := before.Delta(after); len(d.List.Changed) != 1 || len(d.List.Removed) != 1 {
		t.Errorf("%d changed, %d removed, want 1 and 1", len(d.List.Changed), len(d.List.Removed))
	}
}

// TestLimitsOfSameVersion guards against a limit of cold servers that stays unknown because an older
// program has passed the same version of the routes on without it.
func TestLimitsOfSameVersion(t *testing.T) {
	limited := Routes{Version: 3, ColdFlowsPerSecond: map[string]float64{"a": 10}}
	c := NewCatalog().WithRoutes(Routes{Version: 3}).WithRoutes(limited)
	if c.Routes.ColdFlowsPerSecond["a"] != 10 {
		t.Error("the limit is unknown")
	}
	if next := c.WithRoutes(Routes{Version: 3}); next != c {
		t.Error("routes of the same version without a limit replaced those with one")
	}
}
