package catalog

import (
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// Delta tells how a list differs from an earlier one of the same kind.
type Delta[K comparable, V any] struct {
	// Changed holds the entries that are new or differ.
	Changed []V `json:"changed,omitempty"`
	// Removed names the entries that are no longer there.
	Removed []K `json:"removed,omitempty"`
}

// Len returns the number of differences.
func (d Delta[K, V]) Len() int {
	return len(d.Changed) + len(d.Removed)
}

// between returns how after differs from before. Entries have unique keys.
func between[K comparable, V any](before, after []V, key func(V) K, same func(old, v V) bool) (d Delta[K, V]) {
	old := lo.KeyBy(before, key)
	for _, v := range after {
		if o, ok := old[key(v)]; !ok || !same(o, v) {
			d.Changed = append(d.Changed, v)
		}
		delete(old, key(v))
	}
	d.Removed = lo.Keys(old)
	return d
}

// apply returns a copy of a list with the differences. Entries that stay keep their order.
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

// RoutesDelta turns one version of the routes into another.
type RoutesDelta struct {
	// Base is the version that the delta applies to.
	Base uint64 `json:"base"`
	// Next is the newer version without its list.
	Next Routes `json:"next"`
	// List tells how its list differs.
	List Delta[netip.AddrPort, Route] `json:"list"`
}

// Delta returns what turns r into a newer version.
func (r Routes) Delta(next Routes) RoutesDelta {
	d := RoutesDelta{Base: r.Version, Next: next, List: between(r.List, next.List, routeKey, sameRoute)}
	d.Next.List = nil
	return d
}

// WithDelta returns the newer version, and false if the delta is for another one.
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

// ServersDelta turns one reading of the servers into another.
type ServersDelta struct {
	// Base is the sum of the reading that the delta applies to.
	Base uint64 `json:"base"`
	// Revision is the platform's revision at the newer reading.
	Revision uint64 `json:"revision"`
	// List tells how its list differs. Servers that warm up are always in it.
	List Delta[string, Server] `json:"list"`
}

// Delta returns what turns s into a newer reading.
func (s Servers) Delta(next Servers) ServersDelta {
	return ServersDelta{Base: s.Sum(), Revision: next.Revision, List: between(s.List, next.List, serverKey, sameServer)}
}

// WithDelta returns the newer reading, and false if the delta is for another one.
func (s Servers) WithDelta(d ServersDelta) (Servers, bool) {
	if s.Sum() != d.Base {
		return s, false
	}
	settled := lo.Map(s.List, func(v Server, _ int) Server {
		v.Warmup = 0
		return v
	})
	return NewServers(d.Revision, d.List.apply(settled, serverKey)), true
}

func serverKey(s Server) string { return s.ID }

// sameServer reports whether a server is as it was and has warmed up: how long it
// stays slow counts from the newer reading.
func sameServer(old, v Server) bool {
	old.Warmup = 0
	return old == v
}
