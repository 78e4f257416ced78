package packetbalancer

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

const (
	// maxAttempts is the highest count of searches for one flow; it is encoded in one byte.
	maxAttempts = 250
	// unknownAttempts is how many attempts above maxAttempts are used in turn for paths along the
	// agents that answered Unknown.
	unknownAttempts = 5
	// notHeldRetention is how long an agent that did not hold a flow is not searched for it
	// again; callers repeat a packet every 0.2 to 1.6 s.
	notHeldRetention = 5 * time.Second
	// queryFirstPeriod is how long after a common start of all balancers and servers they query all
	// agents without a search path before: callers repeat the packets of lost flows for 2 to 3 s,
	// and use others that were idle within some ten seconds.
	queryFirstPeriod = 15 * time.Second
	// manySearchedFlows is the number of flows from which on it does so at any time: they fill a
	// query, which then costs each agent 17 bytes for a flow instead of a packet.
	manySearchedFlows = steer.MaxQueried
)

// search searches for the agent of an unknown flow. The result of an earlier search stays valid
// for notHeldRetention: agents that did not hold the flow are skipped.
func (b *Balancer) search(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, entry cacheEntry) {
	if !entry.notHeld || b.config.Clock.Since(entry.searchedAt) > notHeldRetention {
		entry.searchedAt = time.Time{}
	}
	b.storePacket(buf, p, flow, route, entry.attempts)
	first := b.queriesFirst(flow)
	if first {
		b.counts.QueriedFirst.Add(1)
		b.cache.Put(flow, cacheEntry{attempts: min(entry.attempts+1, maxAttempts)})
	}
	if first || !b.searchLikely(buf, flow, route, entry) {
		b.queryFlow(flow)
		b.resolve(flow)
	}
}

// queriesFirst reports whether all agents that may hold a flow are queried at once, and its packet
// visits none of them before: it is probably lost, together with others that share the query. Once
// the packet has been on a path along unsure agents without a result, further ones are searched as
// usual: a server that is down swallows each packet on that path, and usual paths vary.
func (b *Balancer) queriesFirst(flow packet.Flow) bool {
	now := b.config.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.queries.byFlow[flow]
	if f == nil || f.unknownPaths > 0 && !b.denied(f, now) {
		return false
	}
	return len(b.queries.byFlow) >= manySearchedFlows ||
		now.Sub(b.started) < queryFirstPeriod && (b.selection.Registering(now) || b.selection.AllRecentlyStarted())
}

// searchLikely sends a packet of an unknown flow along the agents that probably hold it; if none
// does, all that may hold it are queried afterwards. entry is the result of earlier searches. It returns
// false if no agent is left to be searched.
func (b *Balancer) searchLikely(buf []byte, flow packet.Flow, route *catalog.Route, entry cacheEntry) bool {
	now := b.config.Clock.Now()
	e := b.envelope(route)
	e.Attempt = entry.attempts
	b.mu.Lock()
	b.recordReading(now)
	hash := b.selection.Hash(flow)
	services := route.Services(hash)
	e.Service = catalog.ServiceID(services[0])
	previous := b.selection.PreviousSearch(entry.searchedAt, entry.listVersion, services, now)
	skipped := b.selection.SearchPath(&e, nil, hash, services, previous, now)
	b.mu.Unlock()
	if int(e.Count)+len(skipped) == 0 && !e.More {
		if previous.IsZero() {
			b.counts.NoServer.Add(1)
		}
		return false
	}
	b.counts.Searches.Add(1)
	b.config.Log.Info("flowSearched").Stringer("flow", flow).Uint8("attempt", e.Attempt).Uint8("page", e.Page).
		Uint8("agents", e.Count).Int("silentAgents", len(skipped)).Bool("again", !previous.IsZero()).Send()
	next := cacheEntry{attempts: min(e.Attempt+1, maxAttempts), searchedAt: now, listVersion: e.ListVersion}
	if !previous.IsZero() {
		next.searchedAt, next.notHeld = previous, true
	}
	b.cache.Put(flow, next)
	b.sendDirectCopies(e, skipped, buf)
	switch {
	case e.Count > 0:
		b.send(&e, buf)
	case e.More:
		b.queryFlow(flow)
	}
	return true
}

// sendDirectCopies sends a copy of a packet to each skipped agent.
func (b *Balancer) sendDirectCopies(e steer.Envelope, skipped []steer.Candidate, buf []byte) {
	for _, c := range skipped {
		e.Count, e.More, e.Direct, e.Candidates[0] = 1, false, true, c
		b.send(&e, buf)
	}
}

// handleReturn handles a packet that an agent returned because it does not hold the flow, or at
// the end of a page of the search.
func (b *Balancer) handleReturn(raw []byte, from netip.AddrPort) {
	var e steer.Envelope
	rest, ok := e.Parse(raw)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	p, ok := b.config.Codec.Parse(rest)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	b.counts.Returned.Add(1)
	flow := p.FlowFromCaller()
	route, ok := b.config.Catalog().Route(flow.Service())
	if !ok {
		b.counts.NoRoute.Add(1)
		return
	}
	buf := make([]byte, steer.MaxLen+len(rest))
	copy(buf[steer.MaxLen:], rest)
	switch {
	case e.More && e.Page == unknownPage:
		b.continueSearch(flow)
		return
	case e.More:
		b.storePacket(buf, p, flow, route, e.Attempt)
		b.queryFlow(flow)
		return
	}
	b.forwardReturned(buf, p, flow, route, from)
}

// forwardReturned forwards a returned packet to the agent at which its flow was found in the
// meantime, or searches for the flow.
func (b *Balancer) forwardReturned(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, from netip.AddrPort) {
	entry, _ := b.cache.Get(flow)
	if !entry.agent.IsValid() || entry.agent == from {
		b.search(buf, p, flow, route, entry)
		return
	}
	e := b.envelope(route)
	e.Cached = true
	e.Service = route.SelectID(func() uint64 { return b.selection.Hash(flow) })
	e.Append(steer.Candidate{Agent: entry.agent})
	b.send(&e, buf)
}

// handleNotFound records that no agent of a search path holds a flow, and queries those that may
// hold it unless they have denied it already.
func (b *Balancer) handleNotFound(raw []byte) {
	n, ok := steer.ParseNotFound(raw)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	b.recordNotHeld(n)
	if !n.Searched {
		b.recordOutcome(n.Flow, netip.AddrPort{})
		return
	}
	b.endSearchPath(n)
	b.queryFlow(n.Flow)
	b.resolve(n.Flow)
}

// recordNotHeld records that the agents of a search path do not hold a flow, unless the flow was
// found or placed since the search began.
func (b *Balancer) recordNotHeld(n steer.NotFoundNotice) {
	b.counts.NotFound.Add(1)
	b.config.Log.Info("flowNotFound").Stringer("flow", n.Flow).Send()
	b.cache.Update(n.Flow, func(entry cacheEntry) cacheEntry {
		entry.notHeld = entry.notHeld || n.Searched && !entry.agent.IsValid() && entry.attempts == n.Attempt+1 && entry.listVersion == n.ListVersion
		return entry
	})
}

// endSearchPath ends the search for a flow along the agents that answered Unknown: they have
// denied the flow, as all others had.
func (b *Balancer) endSearchPath(n steer.NotFoundNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.queries.byFlow[n.Flow]
	if f == nil || f.unknownPath == 0 || len(f.remaining) > 0 || f.unknownPath != n.Attempt || f.envelope.ListVersion != n.ListVersion {
		return
	}
	f.searching, f.unknownPath = false, 0
	f.recordDenied()
}
