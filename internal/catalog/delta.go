package catalog

import (
	"net/netip"
	"slices"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/position"
)

// Delta holds the differences between a list and an earlier one of the same kind.
type Delta[K comparable, V any] struct {
	// Changed holds the entries that are new or differ.
	Changed []V `json:"changed,omitempty"`
	// Removed holds the keys of the entries that only the earlier list has.
	Removed []K `json:"removed,omitempty"`
}

// Len returns the number of differences.
func (d Delta[K, V]) Len() int {
	return len(d.Changed) + len(d.Removed)
}

// diff returns the delta from former to current. Keys are unique within each list.
func diff[K comparable, V any](former, current []V, key func(V) K, equal func(old, v V) bool) (d Delta[K, V]) {
	old := lo.KeyBy(former, key)
	for _, v := range current {
		if o, ok := old[key(v)]; !ok || !equal(o, v) {
			d.Changed = append(d.Changed, v)
		}
		delete(old, key(v))
	}
	d.Removed = lo.Keys(old)
	return d
}

// apply returns a copy of the list with the delta applied: unchanged entries in their order,
// then the changed ones.
func (d Delta[K, V]) apply(list []V, key func(V) K) []V {
	drop := make(map[K]bool, d.Len())
	for _, k := range d.Removed {
		drop[k] = true
	}
	for _, v := range d.Changed {
		drop[key(v)] = true
	}
	kept := make([]V, 0, len(list)+len(d.Changed))
	for _, v := range list {
		if !drop[key(v)] {
			kept = append(kept, v)
		}
	}
	return append(kept, d.Changed...)
}

// RoutesDelta transforms one version of the routes into a newer one.
type RoutesDelta struct {
	// Base is the version that the delta applies to.
	Base uint64 `json:"base"`
	// Next is the newer version, without its list.
	Next Routes `json:"next"`
	// List holds the differences between the lists.
	List Delta[netip.AddrPort, Route] `json:"list"`
}

// Delta returns the delta from r to a newer version.
func (r Routes) Delta(next Routes) RoutesDelta {
	d := RoutesDelta{Base: r.Version, Next: next, List: diff(r.List, next.List, routeKey, sameRoute)}
	d.Next.List = nil
	return d
}

// WithDelta returns the newer version, or r and false if the delta applies to another version.
func (r Routes) WithDelta(d RoutesDelta) (Routes, bool) {
	if r.Version != d.Base {
		return r, false
	}
	next := d.Next
	next.List = d.List.apply(r.List, routeKey)
	return next, true
}

func routeKey(r Route) netip.AddrPort { return r.Address }

func sameRoute(a, b Route) bool {
	return a.Name == b.Name && a.Class == b.Class && slices.Equal(a.Shares, b.Shares)
}

// ServersDelta transforms one reading of the servers into a newer one.
type ServersDelta struct {
	// Base is the hash of the reading that the delta applies to, from Servers.Sum.
	Base uint64 `json:"base"`
	// Position is the state of the platform at the newer reading.
	position.Position
	// List holds the differences between the lists. Servers that warm up are always in it.
	List Delta[string, Server] `json:"list"`
	// Evacuations is the newer set of evacuated zones, as a whole.
	Evacuations Evacuations `json:"evacuations,omitzero"`
}

// Delta returns the delta from s to a newer reading.
func (s Servers) Delta(next Servers) ServersDelta {
	list := diff(s.List, next.List, serverKey, sameServer)
	return ServersDelta{Base: s.Sum(), Position: next.Position, List: list, Evacuations: next.Evacuations}
}

// WithDelta returns the newer reading, or s and false if the delta applies to another reading.
func (s Servers) WithDelta(d ServersDelta) (Servers, bool) {
	if s.Sum() != d.Base {
		return s, false
	}
	warmedUp := lo.Map(s.List, func(v Server, _ int) Server {
		v.Warmup = 0
		return v
	})
	next := NewServers(d.Position, d.List.apply(warmedUp, serverKey))
	next.Evacuations = d.Evacuations
	return next, true
}

func serverKey(s Server) string { return s.ID }

// sameServer reports whether a server has not changed and has warmed up. One that still
// warms up always differs, because its Warmup counts from the newer reading.
func sameServer(old, v Server) bool {
	old.Warmup = 0
	return old == v
}
