// Package catalog holds what a balancer believes of routes and backend servers.
package catalog

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Share is the part of a route's flows that goes to a service.
type Share struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is relative to the other shares of the route; never negative.
	Weight float64 `json:"weight"`
}

// Route sends the flows of a service address to services.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name"`
	// Address is the service address.
	Address netip.AddrPort `json:"address"`
	// Class describes the requests.
	Class steer.Class `json:"class"`
	// Shares is never empty.
	Shares []Share `json:"shares"`

	// only is the numeric identity of the service if there is one share; else 0.
	only uint32
}

// Routes is one version of the routes.
type Routes struct {
	// Version grows with every change.
	Version uint64 `json:"version"`
	// List holds each service address once.
	List []Route `json:"list"`
	// IdleTimeout is how long a flow may be idle and stay open.
	IdleTimeout time.Duration `json:"idleTimeout"`
}

// State tells whether a backend server takes new flows.
type State string

// States of a backend server.
const (
	// Ready servers take new flows.
	Ready State = "ready"
	// Draining servers finish their flows and take no new ones.
	Draining State = "draining"
)

// Server is a backend server as the platform lists it.
type Server struct {
	// ID is unique in time, unless a server restarts under its former one.
	ID string `json:"id"`
	// Born tells restarts under one ID apart.
	Born int64 `json:"born"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Address is the IPv4 address of the server, which its agent shares.
	Address netip.Addr `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Slots is how many requests the server runs at a time.
	Slots uint8 `json:"slots"`
	// State tells whether the server takes new flows.
	State State `json:"state"`
	// Warmup is how long the server stays slow after the reading; it is no part
	// of the list's sum.
	Warmup time.Duration `json:"warmup"`
}

// Servers is one reading of the list of servers.
type Servers struct {
	// Revision is the platform's revision at the reading.
	Revision uint64 `json:"revision"`
	// List is sorted by ID.
	List []Server `json:"list"`
}

// NewServers returns a reading with its list sorted.
func NewServers(revision uint64, list []Server) Servers {
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return Servers{Revision: revision, List: list}
}

// Sum returns a hash of all that decides where flows go.
func (s Servers) Sum() uint64 {
	h := fnv.New64a()
	for _, v := range s.List {
		text := v.ID + "|" + strconv.FormatInt(v.Born, 10) + "|" + v.Service + "|" + v.Address.String() + "|" + v.Zone + "|" +
			strconv.Itoa(int(v.Slots)) + "|" + string(v.State) + "\n"
		_, _ = h.Write([]byte(text))
	}
	return h.Sum64()
}

// Catalog is an immutable view of routes and servers.
type Catalog struct {
	// Routes is the newest version known.
	Routes Routes
	// Servers is the newest reading known.
	Servers Servers

	byAddress map[netip.AddrPort]*Route
	byService map[string][]Server
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{}
}

// WithRoutes returns a copy with other routes. An older version changes nothing.
func (c *Catalog) WithRoutes(r Routes) *Catalog {
	if r.Version <= c.Routes.Version {
		return c
	}
	next := *c
	r.List = slices.Clone(r.List)
	next.Routes = r
	next.byAddress = make(map[netip.AddrPort]*Route, len(r.List))
	for i := range r.List {
		route := &r.List[i]
		if len(route.Shares) == 1 {
			route.only = ServiceID(route.Shares[0].Service)
		}
		next.byAddress[route.Address] = route
	}
	return &next
}

// WithServers returns a copy with another reading. An older one changes nothing.
func (c *Catalog) WithServers(s Servers) *Catalog {
	if s.Revision < c.Servers.Revision {
		return c
	}
	next := *c
	next.Servers = s
	next.byService = lo.GroupBy(s.List, func(v Server) string { return v.Service })
	return &next
}

// Complete reports whether both routes and servers are known.
func (c *Catalog) Complete() bool {
	return c.Routes.Version > 0 && c.Servers.Revision > 0
}

// Route returns the route of a service address.
func (c *Catalog) Route(a netip.AddrPort) (*Route, bool) {
	r, ok := c.byAddress[a]
	return r, ok
}

// ServersOf returns the servers of a service. The list must not be changed.
func (c *Catalog) ServersOf(service string) []Server {
	return c.byService[service]
}

// Select returns the share of the route that a flow with the given hash belongs to.
func (r *Route) Select(hash uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := lo.SumBy(r.Shares, func(s Share) float64 { return s.Weight })
	at := float64(hash>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// SelectID returns the numeric identity of the service that Select returns. hash
// is called only if there are several shares.
func (r *Route) SelectID(hash func() uint64) uint32 {
	if r.only != 0 {
		return r.only
	}
	return ServiceID(r.Select(hash()))
}

// Services returns the services that may hold a flow with the given hash: first
// the one that Select returns, then those of the other shares.
func (r *Route) Services(hash uint64) []string {
	first := r.Select(hash)
	if len(r.Shares) == 1 {
		return []string{first}
	}
	return lo.Uniq(append([]string{first}, lo.Map(r.Shares, func(s Share, _ int) string { return s.Service })...))
}

// ServiceID returns the numeric identity of a service between processes.
func ServiceID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
