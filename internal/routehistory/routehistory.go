// Package routehistory remembers which services the routes have led to for as long as a flow may
// last, since a flow stays at the service that it was opened at.
package routehistory

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// History holds the services that routes have led to. It is not safe for concurrent use.
type History struct {
	maxFlow time.Duration
	// knownSince is when the first version was recorded; zero before.
	knownSince time.Time
	// latest is the latest version that was recorded.
	latest catalog.Routes
	// former holds, for each service address, the services that the latest version does not lead
	// to and an earlier one did, with the time at which it was replaced.
	former map[netip.AddrPort]map[string]time.Time
}

// NewHistory returns an empty history of flows that last for maxFlow at most.
func NewHistory(maxFlow time.Duration) *History {
	return &History{maxFlow: maxFlow, former: make(map[netip.AddrPort]map[string]time.Time)}
}

// Record records a version of the routes. It returns false if the version is known.
func (h *History) Record(r catalog.Routes, now time.Time) bool {
	if r.Version == h.latest.Version {
		return false
	}
	if h.knownSince.IsZero() {
		h.knownSince = now
	}
	current := lo.SliceToMap(r.List, func(v catalog.Route) (netip.AddrPort, []catalog.Share) { return v.Address, v.Shares })
	for _, route := range h.latest.List {
		for _, s := range route.Shares {
			if !leadsTo(current[route.Address], s.Service) {
				h.add(route.Address, s.Service, now)
			}
		}
	}
	h.latest = r
	h.expire(now)
	return true
}

func leadsTo(shares []catalog.Share, service string) bool {
	return slices.ContainsFunc(shares, func(s catalog.Share) bool { return s.Service == service })
}

func (h *History) add(address netip.AddrPort, service string, now time.Time) {
	if h.former[address] == nil {
		h.former[address] = make(map[string]time.Time)
	}
	h.former[address][service] = now
}

// expire drops the services that were replaced longer ago than a flow may last.
func (h *History) expire(now time.Time) {
	for address, services := range h.former {
		for service, replacedAt := range services {
			if now.Sub(replacedAt) > h.maxFlow {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(h.former, address)
		}
	}
}

// Former returns the services that a service address no longer leads to, but whose servers may
// hold flows of it.
func (h *History) Former(address netip.AddrPort, now time.Time) []string {
	return lo.Keys(lo.PickBy(h.former[address], func(_ string, replacedAt time.Time) bool { return now.Sub(replacedAt) <= h.maxFlow }))
}

// Complete reports whether the history covers the whole time for which a flow may last.
func (h *History) Complete(now time.Time) bool {
	return !h.knownSince.IsZero() && now.Sub(h.knownSince) > h.maxFlow
}
