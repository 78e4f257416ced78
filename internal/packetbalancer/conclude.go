package packetbalancer

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/absence"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// scope is the set of services whose servers may hold the flows of a route.
type scope struct {
	services []string
	// all is true if servers of any other service may, too: the route may have led there before
	// this balancer knew it.
	all bool
}

// covers reports whether s contains another scope.
func (s scope) covers(o scope) bool {
	return s.all || !o.all && lo.Every(s.services, o.services)
}

// scope returns the scope of a route, its services first in the order for a flow with the given
// hash. all is the result of allServices. The caller holds the lock.
func (b *Balancer) scope(route *catalog.Route, hash uint64, all bool, now time.Time) scope {
	return scope{lo.Uniq(append(route.Services(hash), b.config.RouteHistory.Former(route.Address, now)...)), all}
}

// allServices reports whether it is unknown which services the routes have led to for as long as
// a flow may last. After a common start the servers are too young to hold flows of unknown routes.
// The caller holds the lock.
func (b *Balancer) allServices(now time.Time) bool {
	return !b.config.RouteHistory.Complete(now) && !b.selection.AllStartedTogether()
}

// review holds what is the same for all flows that are judged at one time.
type review struct {
	now     time.Time
	catalog *catalog.Catalog
	common  absence.Evidence
	all     bool
	// silent holds, by service address, whether an agent that does not answer may hold its flows.
	silent map[netip.AddrPort]bool
}

// newReview returns a review of the present state. The caller holds the lock. The reading of the
// list is determined before, so that the selection has that list or a newer one.
func (b *Balancer) newReview(r reading, now time.Time) review {
	b.selection.RecordRun(now)
	b.selection.RecordRead(r.at, r.since)
	return review{
		now: now, catalog: b.config.Catalog(), all: b.allServices(now), silent: make(map[netip.AddrPort]bool),
		common: absence.Evidence{
			ListReadSince: r.since,
			ListConfirmed: r.corroborated || r.noCorroboratedPeer && b.selection.AllRecentlyStarted(),
			Interrupted:   b.selection.Interrupted(),
		},
	}
}

// reading is the state of the list of servers.
type reading struct {
	at, since                        time.Time
	corroborated, noCorroboratedPeer bool
}

// reading returns the state of the list of servers. The caller does not hold the lock.
func (b *Balancer) reading() reading {
	return reading{b.config.ReadAt(), b.config.ReadSince(), b.config.Corroborated(), b.config.NoCorroboratedPeer()}
}

// evidence returns the evidence about a flow that is searched. The route that is in force counts,
// because the flow may have been opened by it. The caller holds the lock.
func (b *Balancer) evidence(f *searchedFlow, r review) absence.Evidence {
	e := r.common
	e.OpenSince = f.openSince
	route, ok := r.catalog.Route(f.flow.Service())
	if !ok {
		return e
	}
	s := b.scope(route, 0, r.all, r.now)
	silent, known := r.silent[route.Address]
	if !known {
		silent = b.selection.SilentMayHold(s.services, s.all, r.now)
		r.silent[route.Address] = silent
	}
	e.AllDenied = b.denied(f, r.now) && f.denied.scope.covers(s)
	e.SilentMayHold = silent
	return e
}

// resolve resets a flow that is searched if the evidence proves that no server holds it. In any
// doubt it does nothing: maintainSearches resolves the flow again.
func (b *Balancer) resolve(flow packet.Flow) {
	now, reading := b.config.Clock.Now(), b.reading()
	b.mu.Lock()
	f := b.queries.byFlow[flow]
	if f == nil || f.searching {
		b.mu.Unlock()
		return
	}
	e := b.evidence(f, b.newReview(reading, now))
	proved := b.judge(f, e)
	b.mu.Unlock()
	if proved {
		b.resetNotHeld(f, e)
	} else if e.Doubt() == absence.StaleList {
		b.config.RequestReading()
	}
}

// judge reports whether the evidence proves that no server holds a flow, and then ends its
// search. Otherwise it logs the doubt, once in a row. The caller holds the lock.
func (b *Balancer) judge(f *searchedFlow, e absence.Evidence) bool {
	doubt := e.Doubt()
	if doubt == absence.None {
		delete(b.queries.byFlow, f.flow)
		return true
	}
	if doubt != f.doubt {
		f.doubt = doubt
		b.counts.Inconclusive.Add(1)
		b.config.Log.Info("searchInconclusive").Stringer("flow", f.flow).Str("doubt", string(doubt)).
			Time("openSince", e.OpenSince).Time("listReadSince", e.ListReadSince).Send()
	}
	return false
}

// resetNotHeld resets a flow that no server holds, unless it was found in the meantime.
func (b *Balancer) resetNotHeld(f *searchedFlow, e absence.Evidence) {
	if entry, known := b.cache.Get(f.flow); known && entry.agent.IsValid() {
		return
	}
	b.counts.Reset.Add(1)
	b.config.Log.Info("flowReset").Stringer("flow", f.flow).Str("reason", "notHeldAnywhere").Uint8("attempt", f.envelope.Attempt).
		Time("openSince", e.OpenSince).Time("listReadSince", e.ListReadSince).Time("deniedAt", f.denied.at).Send()
	b.reset(f.flow, f.packet.AckSeq)
}

// ReviewSearches judges the flows that are searched after a reading that was requested.
func (b *Balancer) ReviewSearches() {
	b.reviewSearches(b.config.Clock.Now())
}

// reviewSearches judges the flows that are searched by the present evidence, and repeats the
// search for those about which a further one can prove something.
func (b *Balancer) reviewSearches(now time.Time) {
	reading := b.reading()
	stale := false
	var due []packet.Flow
	proved := make(map[*searchedFlow]absence.Evidence)
	b.mu.Lock()
	r := b.newReview(reading, now)
	for flow, f := range b.queries.byFlow {
		if f.searching && now.Sub(f.searchedAt) >= answerTimeout+searchTimeout {
			f.searching, f.unknownPath = false, 0
		}
		e := b.evidence(f, r)
		stale = stale || e.Doubt() == absence.StaleList
		switch {
		case now.Sub(f.receivedAt) >= searchRetention:
			delete(b.queries.byFlow, flow)
		case f.searching:
		case b.judge(f, e):
			proved[f] = e
		case b.agentsChanged(f, r):
			f.repeated = true
			due = append(due, flow)
		case f.dueForRetry(e, now):
			f.denied = queryTarget{}
			f.retries++
			f.repeated = true
			due = append(due, flow)
		}
	}
	b.mu.Unlock()
	if stale {
		b.config.RequestReading()
	}
	for f, e := range proved {
		b.resetNotHeld(f, e)
	}
	for _, f := range due {
		if entry, _ := b.cache.Get(f); !entry.agent.IsValid() {
			b.queryFlow(f)
		}
	}
}

// dueForRetry reports whether the balancer repeats the search for a flow on its own: the former
// one was interrupted or some agents have changed since, and a further one can prove something.
func (f *searchedFlow) dueForRetry(e absence.Evidence, now time.Time) bool {
	if e.AllDenied || f.retries >= maxRetries || now.Sub(f.searchedAt) < retryInterval {
		return false
	}
	e.AllDenied = true
	return e.Doubt() == absence.None || e.Doubt() == absence.StaleList
}
