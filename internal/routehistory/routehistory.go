// Package routehistory remembers which services the routes have led to for as long as a flow may
// last, since a flow stays at the service that it was opened at. Versions that one process never
// reads may have been in force at another one, which places flows by them, so processes exchange
// their histories.
package routehistory

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// History holds the services that routes have led to. It is safe for concurrent use.
type History struct {
	maxFlow time.Duration
	// maxGap is the longest time between two readings of the routes in which no other process can
	// have placed flows by a version that it does not name afterwards.
	maxGap time.Duration

	mu sync.Mutex
	// knownSince is the time since which every service is known that a route has led to; zero
	// before the first version.
	knownSince time.Time
	// confirmedAt is when the latest version was certainly in force for the last time.
	confirmedAt time.Time
	// latest is the latest version that was recorded.
	latest catalog.Routes
	// former holds, for each service address, the services that the latest version does not lead
	// to and an earlier one did, with the time at which it was replaced.
	former map[netip.AddrPort]map[string]time.Time
	// replaced holds the former versions whose services are in former, with the time at which each
	// was replaced.
	replaced map[uint64]time.Time
	// skipped holds the versions that others have named and whose services are not known, with the
	// time at which each was named first; also later ones than latest, until they are recorded.
	skipped map[uint64]time.Time
}

// Snapshot is the part of a history that other processes may lack.
type Snapshot struct {
	// KnownMillis is the time since which every service is known that a route has led to, as an
	// age in milliseconds.
	KnownMillis int64 `json:"knownMillis"`
	// Versions are the former versions that the history covers, and Services the services that
	// routes no longer lead to.
	Versions []FormerVersion `json:"versions,omitempty"`
	Services []FormerService `json:"services,omitempty"`
}

// FormerVersion is a version of the routes that was replaced, ReplacedMillis ago.
type FormerVersion struct {
	Version        uint64 `json:"version"`
	ReplacedMillis int64  `json:"replacedMillis"`
}

// FormerService is a service that the route of a service address led to until ReplacedMillis ago.
type FormerService struct {
	Address        netip.AddrPort `json:"address"`
	Service        string         `json:"service"`
	ReplacedMillis int64          `json:"replacedMillis"`
}

// NewHistory returns an empty history of flows that last for maxFlow at most. A new version that is
// read later than maxGap after the former one was in force may have had a predecessor.
func NewHistory(maxFlow, maxGap time.Duration) *History {
	return &History{
		maxFlow: maxFlow, maxGap: maxGap,
		former:   make(map[netip.AddrPort]map[string]time.Time),
		replaced: make(map[uint64]time.Time),
		skipped:  make(map[uint64]time.Time),
	}
}

// Record records a version of the routes that was read by this process. It returns false if the
// version is the latest one.
func (h *History) Record(r catalog.Routes, now time.Time) bool {
	return h.RecordFrom(r, Snapshot{}, now)
}

// RecordFrom records a version of the routes that another process returned together with its history.
// It returns false if the version is the latest one.
func (h *History) RecordFrom(r catalog.Routes, s Snapshot, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merge(s, now)
	if r.Version == h.latest.Version {
		return false
	}
	switch {
	case h.knownSince.IsZero():
		h.knownSince, h.confirmedAt = now, now
	case now.Sub(h.confirmedAt) > h.maxGap && !s.coversSince(h.confirmedAt, now):
		h.knownSince = now
	}
	current := sharesByAddress(r)
	for _, route := range h.latest.List {
		for _, s := range route.Shares {
			if !leadsTo(current[route.Address], s.Service) {
				h.add(route.Address, s.Service, now)
			}
		}
	}
	if h.latest.Version > 0 {
		h.replaced[h.latest.Version] = now
	}
	delete(h.skipped, r.Version)
	h.latest = r
	h.expire(now)
	return true
}

// Merge adds the history of another process.
func (h *History) Merge(s Snapshot, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merge(s, now)
}

// merge is Merge for a caller that holds the lock.
func (h *History) merge(s Snapshot, now time.Time) {
	for _, v := range s.Versions {
		at := now.Add(-fromMillis(v.ReplacedMillis))
		if v.Version != h.latest.Version && at.After(h.replaced[v.Version]) {
			h.replaced[v.Version] = at
		}
		delete(h.skipped, v.Version)
	}
	current := sharesByAddress(h.latest)
	for _, f := range s.Services {
		if !leadsTo(current[f.Address], f.Service) {
			h.add(f.Address, f.Service, now.Add(-fromMillis(f.ReplacedMillis)))
		}
	}
}

// coversSince reports whether the history of another process covers the time since a given one.
func (s Snapshot) coversSince(since, now time.Time) bool {
	return s.KnownMillis > 0 && !now.Add(-fromMillis(s.KnownMillis)).After(since)
}

// Confirm records that the latest version was certainly in force at the given time.
func (h *History) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// RecordNamed records that a version was in force at another process. unknown is true while the services of
// that version are not known although they may hold flows, and first if it was not named before.
func (h *History) RecordNamed(version uint64, now time.Time) (unknown, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.replaced[version]; known || version == 0 || version == h.latest.Version {
		return false, false
	}
	first = h.skipped[version].IsZero()
	if first {
		h.skipped[version] = now
	}
	// A later version is fetched anyway.
	earlier := version < h.latest.Version
	return earlier && now.Sub(h.skipped[version]) <= h.maxFlow, earlier && first
}

// Snapshot returns what other processes may lack.
func (h *History) Snapshot(now time.Time) Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	s := Snapshot{}
	if h.doubt(now) != SkippedVersion && !h.knownSince.IsZero() {
		s.KnownMillis = now.Sub(h.knownSince).Milliseconds()
	}
	for version, at := range h.replaced {
		if now.Sub(at) <= h.maxFlow {
			s.Versions = append(s.Versions, FormerVersion{version, now.Sub(at).Milliseconds()})
		}
	}
	for address, services := range h.former {
		for service, at := range services {
			s.Services = append(s.Services, FormerService{address, service, now.Sub(at).Milliseconds()})
		}
	}
	return s
}

// FormerVersion returns the latest version that was replaced within the time for which a flow may last;
// 0 if there is none.
func (h *History) FormerVersion(now time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.Max(lo.Keys(lo.PickBy(h.replaced, func(_ uint64, at time.Time) bool { return now.Sub(at) <= h.maxFlow })))
}

func sharesByAddress(r catalog.Routes) map[netip.AddrPort][]catalog.Share {
	return lo.SliceToMap(r.List, func(v catalog.Route) (netip.AddrPort, []catalog.Share) { return v.Address, v.Shares })
}

func leadsTo(shares []catalog.Share, service string) bool {
	return slices.ContainsFunc(shares, func(s catalog.Share) bool { return s.Service == service })
}

func (h *History) add(address netip.AddrPort, service string, replacedAt time.Time) {
	if h.former[address] == nil {
		h.former[address] = make(map[string]time.Time)
	}
	if replacedAt.After(h.former[address][service]) {
		h.former[address][service] = replacedAt
	}
}

// expire drops the services and versions that were replaced longer ago than a flow may last. Replaced
// versions stay for as long again, since another process may have replaced them later.
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
	for version, at := range h.replaced {
		if now.Sub(at) > 2*h.maxFlow {
			delete(h.replaced, version)
		}
	}
	for version, at := range h.skipped {
		if now.Sub(at) > 2*h.maxFlow {
			delete(h.skipped, version)
		}
	}
}

// Former returns the services that a service address no longer leads to, but whose servers may
// hold flows of it.
func (h *History) Former(address netip.AddrPort, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.Keys(lo.PickBy(h.former[address], func(_ string, replacedAt time.Time) bool { return now.Sub(replacedAt) <= h.maxFlow }))
}

// Complete reports whether the history covers the whole time for which a flow may last: no version
// was in force at any process since then whose services are not known.
func (h *History) Complete(now time.Time) bool {
	return h.Doubt(now) == None
}

// Doubt is a reason why a history may lack services.
type Doubt string

// Doubts.
const (
	// None means that the history is complete.
	None Doubt = ""
	// TooShort means that the process has recorded versions for less time than a flow may last, or
	// has recorded none for a while.
	TooShort Doubt = "tooShort"
	// SkippedVersion means that another process has named a version that this one has never read.
	SkippedVersion Doubt = "skippedVersion"
)

// Doubt returns why the history may lack services, or None.
func (h *History) Doubt(now time.Time) Doubt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doubt(now)
}

// doubt is Doubt for a caller that holds the lock.
func (h *History) doubt(now time.Time) Doubt {
	switch {
	case lo.SomeBy(lo.Values(h.skipped), func(at time.Time) bool { return now.Sub(at) <= h.maxFlow }):
		return SkippedVersion
	case h.knownSince.IsZero() || now.Sub(h.knownSince) <= h.maxFlow:
		return TooShort
	default:
		return None
	}
}

// KnownFor returns for how long the history has been complete, at most the time for which a flow may
// last; 0 while a skipped version is unknown.
func (h *History) KnownFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.knownSince.IsZero() || h.doubt(now) == SkippedVersion {
		return 0
	}
	return min(now.Sub(h.knownSince), h.maxFlow)
}

// maxAge is the longest age that another process may state.
const maxAge = 24 * time.Hour

// fromMillis returns the age that another process has stated, within its bounds.
func fromMillis(millis int64) time.Duration {
	return time.Duration(lo.Clamp(millis, 0, maxAge.Milliseconds())) * time.Millisecond
}
