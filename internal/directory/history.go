package directory

import (
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// historyLen is how many catalogs are kept, so that directories that have one of them
// receive only the differences. It covers a few seconds of changes in quick succession.
const historyLen = 8

// history holds the latest routes and servers, the oldest first.
type history struct {
	routes  []catalog.Routes
	servers []reading
}

// reading is a list of servers with its hash.
type reading struct {
	sum  uint64
	list catalog.Servers
}

func (h *history) addRoutes(r catalog.Routes) {
	h.routes = newest(append(h.routes, r))
}

func (h *history) addServers(s catalog.Servers, sum uint64) {
	if n := len(h.servers); n > 0 && h.servers[n-1].sum == sum {
		h.servers[n-1].list = s
		return
	}
	h.servers = newest(append(h.servers, reading{sum, s}))
}

// newest returns the last historyLen elements of a list.
func newest[T any](list []T) []T {
	return lo.Subset(list, -min(len(list), historyLen), historyLen)
}

// routesSince sets in r what a directory with the given version lacks: a delta if the
// version is in the history and fewer than half as many entries differ as there are
// routes, else all routes.
func (h *history) routesSince(version uint64, now catalog.Routes, r *catalogResult) {
	former, ok := lo.Find(h.routes, func(c catalog.Routes) bool { return c.Version == version })
	if ok {
		if d := former.Delta(now); d.List.Len() < len(now.List)/2 {
			r.RoutesDelta = &d
			return
		}
	}
	r.Routes = &now
}

// serversSince does the same for a directory whose servers have the given hash.
func (h *history) serversSince(sum uint64, now catalog.Servers, r *catalogResult) {
	former, ok := lo.Find(h.servers, func(s reading) bool { return s.sum == sum })
	if ok {
		if d := former.list.Delta(now); d.List.Len() < len(now.List)/2 {
			r.ServersDelta = &d
			return
		}
	}
	r.Servers = &now
}
