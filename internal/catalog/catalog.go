// Package catalog holds the routes and the backend servers that a balancer forwards to, and
// computes and applies the differences between two versions of them.
package catalog

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Share is the part of the flows of a route that is sent to one service.
type Share struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is relative to the weights of the other shares of the route; never negative.
	Weight float64 `json:"weight"`
}

// Route maps a service address to the services that receive its flows.
type Route struct {
	// Name identifies the route in logs.
	Name string `json:"name"`
	// Address is the service address.
	Address netip.AddrPort `json:"address"`
	// Class is the class of the requests.
	Class steer.Class `json:"class"`
	// Shares holds at least one share.
	Shares []Share `json:"shares"`

	// singleID is the numeric ID of the service if there is one share; else 0.
	singleID uint32
}

// Routes is one version of the routes.
type Routes struct {
	// Version increases with every change; 0 if the routes were never read.
	Version uint64 `json:"version"`
	// List holds each service address once.
	List []Route `json:"list"`
	// IdleTimeout is how long a flow stays open without packets.
	IdleTimeout time.Duration `json:"idleTimeout"`
	// Services are the services that the operator has defined, whether or not a route leads to
	// them; older programs omit them.
	Services []string `json:"services,omitempty"`
	// ColdFlowsPerSecond is how many new flows a second a cold server bears, by service; a service
	// without an entry has no limit. Older programs omit it.
	ColdFlowsPerSecond map[string]float64 `json:"coldFlowsPerSecond,omitempty"`
	// Faults describes the parts of the operator's config that were invalid and are ignored; only
	// the process that read the config has them.
	Faults []error `json:"-"`
}

// ServiceNames returns the services that the operator has defined or that a route leads to.
func (r Routes) ServiceNames() []string {
	return lo.Uniq(append(slices.Clone(r.Services), lo.FlatMap(r.List, func(v Route, _ int) []string {
		return lo.Map(v.Shares, func(s Share, _ int) string { return s.Service })
	})...))
}

// State determines whether a backend server receives new flows.
type State string

// States of a backend server.
const (
	// Ready servers receive new flows.
	Ready State = "ready"
	// Draining servers complete their flows and receive no new ones.
	Draining State = "draining"
)

// Server is the entry of a backend server in the list of the platform.
type Server struct {
	// ID is never used for another server; a server may keep it when it restarts.
	ID string `json:"id"`
	// Born is the Unix time of the start of the server, in milliseconds. It distinguishes
	// restarts under one ID.
	Born int64 `json:"born"`
	// Service is the name of the service.
	Service string `json:"service"`
	// Address is the IPv4 address of the server and of the agent beside it.
	Address netip.Addr `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Slots is how many requests the server runs concurrently.
	Slots uint8 `json:"slots"`
	// State determines whether the server receives new flows.
	State State `json:"state"`
	// Warmup is how long the server stays slow after the reading; Servers.Sum does not
	// cover it.
	Warmup time.Duration `json:"warmup"`
}

// Servers is the list of servers as read from the platform at one time.
type Servers struct {
	// Position is the state of the platform at the reading; zero if there was none.
	position.Position
	// List is sorted by ID.
	List []Server `json:"list"`
	// Evacuations is the newest known set of evacuated zones. Its position is its own, since it
	// may have been read before or after the list.
	Evacuations Evacuations `json:"evacuations,omitzero"`
}

// NewServers returns a reading with the list sorted by ID. It sorts list in place.
func NewServers(at position.Position, list []Server) Servers {
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return Servers{Position: at, List: list}
}

// WithPosition returns the same list as read at another position.
func (s Servers) WithPosition(at position.Position) Servers {
	s.Position = at
	return s
}

// Sum returns a hash of all fields that determine to which server a flow is forwarded.
// Equal lists have equal hashes.
func (s Servers) Sum() uint64 {
	h := fnv.New64a()
	for _, v := range s.List {
		text := v.ID + "|" + strconv.FormatInt(v.Born, 10) + "|" + v.Service + "|" + v.Address.String() + "|" + v.Zone + "|" +
			strconv.Itoa(int(v.Slots)) + "|" + string(v.State) + "\n"
		_, _ = h.Write([]byte(text))
	}
	for _, zone := range s.Evacuations.Zones {
		_, _ = h.Write([]byte("evacuated|" + zone + "\n"))
	}
	return h.Sum64()
}

// Catalog is an immutable view of routes and servers.
type Catalog struct {
	// Routes is the version of the routes in force.
	Routes Routes
	// Servers is the reading of the servers in force.
	Servers Servers

	// named holds the services in Routes.ServiceNames.
	named     map[string]bool
	byAddress map[netip.AddrPort]*Route
	byService map[string][]Server
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{}
}

// WithRoutes returns a copy with the given routes, or c itself if they are not newer. Routes of the
// same version are newer if only they limit cold servers: older programs pass a version on without
// its limits.
func (c *Catalog) WithRoutes(r Routes) *Catalog {
	addsLimits := r.Version == c.Routes.Version && len(r.ColdFlowsPerSecond) > 0 && len(c.Routes.ColdFlowsPerSecond) == 0
	if r.Version < c.Routes.Version || r.Version == c.Routes.Version && !addsLimits {
		return c
	}
	next := *c
	r.List = slices.Clone(r.List)
	next.Routes = r
	next.named = lo.SliceToMap(r.ServiceNames(), func(name string) (string, bool) { return name, true })
	next.byAddress = make(map[netip.AddrPort]*Route, len(r.List))
	for i := range r.List {
		route := &r.List[i]
		if len(route.Shares) == 1 {
			route.singleID = ServiceID(route.Shares[0].Service)
		}
		next.byAddress[route.Address] = route
	}
	return &next
}

// WithServers returns a copy with the given list, or with the former one if the given one is older,
// and with the newer one of the two sets of evacuated zones. It returns c itself if both are older.
func (c *Catalog) WithServers(s Servers) *Catalog {
	if s.Before(c.Servers.Position) {
		return c.WithEvacuations(s.Evacuations)
	}
	next := *c
	next.Servers = s.WithEvacuations(c.Servers.Evacuations)
	next.byService = lo.GroupBy(s.List, func(v Server) string { return v.Service })
	return &next
}

// Complete reports whether the catalog holds both routes and a reading of the servers.
func (c *Catalog) Complete() bool {
	return c.Routes.Version > 0 && c.Servers.Revision > 0
}

// Route returns the route of a service address, and false if there is none.
func (c *Catalog) Route(a netip.AddrPort) (*Route, bool) {
	r, ok := c.byAddress[a]
	return r, ok
}

// Named reports whether the operator has defined a service, or a route leads to it.
func (c *Catalog) Named(service string) bool {
	return c.named[service]
}

// ServersOf returns the servers of a service. The list must not be changed.
func (c *Catalog) ServersOf(service string) []Server {
	return c.byService[service]
}

// Select returns the service to which the shares assign a flow with the given hash, in
// proportion to their weights.
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

// SelectID returns the numeric ID of the service that Select returns. hash is called only
// if there are several shares.
func (r *Route) SelectID(hash func() uint64) uint32 {
	if r.singleID != 0 {
		return r.singleID
	}
	return ServiceID(r.Select(hash()))
}

// Services returns the services whose servers may hold a flow with the given hash: first
// the one that Select returns, then those of the other shares.
func (r *Route) Services(hash uint64) []string {
	first := r.Select(hash)
	if len(r.Shares) == 1 {
		return []string{first}
	}
	return lo.Uniq(append([]string{first}, lo.Map(r.Shares, func(s Share, _ int) string { return s.Service })...))
}

// ServiceID returns the numeric ID of a service in messages between processes: a hash of its
// name.
func ServiceID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
