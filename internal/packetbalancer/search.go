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
	// notHeldRetention is how long an agent that did not hold a flow is not searched for it
	// again; callers repeat a packet every 0.2 to 1.6 s.
	notHeldRetention = 5 * time.Second
)

// search searches for the agent of an unknown flow. The result of an earlier search stays valid
// for notHeldRetention: agents that did not hold the flow are skipped, and if no other agent
// may hold it, the caller receives a reset.
func (b *Balancer) search(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, entry cacheEntry) {
	if !entry.notHeld || b.config.Clock.Since(entry.searchedAt) > notHeldRetention {
		entry.searchedAt = time.Time{}
	}
	noHolder := b.searchLikely(buf, p, flow, route, entry)
	if noHolder && !p.Reset {
		b.mu.Lock()
		delete(b.queries.byFlow, flow)
		b.mu.Unlock()
		b.resetNotHeld(flow, p, entry.attempts)
	}
}

// resetNotHeld resets a flow that no agent holds.
func (b *Balancer) resetNotHeld(flow packet.Flow, p packet.Packet, attempt uint8) {
	b.counts.NotFound.Add(1)
	b.config.Log.Info("flowReset").Stringer("flow", flow).Str("reason", "notHeldAnywhere").Uint8("attempt", attempt).Send()
	b.reset(flow, p.AckSeq)
}

// listComplete reports whether every server of the services that may run is listed, or was
// passed to Expire: either this balancer's list is confirmed to be complete, or no other
// balancer has a confirmed list and all listed servers have just started. The caller holds the
// lock.
func (b *Balancer) listComplete(services []string, corroborated, noCorroboratedPeer bool) bool {
	return corroborated || noCorroboratedPeer && b.selection.AllRecentlyStarted(services)
}

// searchLikely sends a packet of an unknown flow along the agents that probably hold it. If more
// agents may hold it, all agents are queried afterwards. entry is the result of earlier searches.
// noHolder is true if no agent is left to be searched.
func (b *Balancer) searchLikely(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, entry cacheEntry) (noHolder bool) {
	now := b.config.Clock.Now()
	e := b.envelope(route)
	e.Attempt = entry.attempts
	corroborated, noCorroboratedPeer := b.config.Corroborated(), b.config.NoCorroboratedPeer()
	b.mu.Lock()
	b.selection.RecordRead(b.config.ReadAt())
	hash := b.selection.Hash(flow)
	services := route.Services(hash)
	e.Service = catalog.ServiceID(services[0])
	e.Partial = !b.listComplete(services, corroborated, noCorroboratedPeer)
	previous := b.selection.PreviousSearch(entry.searchedAt, entry.listVersion, services, now)
	skipped := b.selection.SearchPath(&e, nil, hash, services, previous, now)
	b.mu.Unlock()
	if int(e.Count)+len(skipped) == 0 && !e.More {
		if previous.IsZero() {
			b.counts.NoServer.Add(1)
		}
		return e.Complete && !previous.IsZero()
	}
	b.counts.Searches.Add(1)
	b.config.Log.Info("flowSearched").Stringer("flow", flow).Uint8("attempt", e.Attempt).Uint8("page", e.Page).
		Uint8("agents", e.Count).Int("silentAgents", len(skipped)).Bool("again", !previous.IsZero()).Send()
	next := cacheEntry{attempts: min(e.Attempt+1, maxAttempts), searchedAt: now, listVersion: e.ListVersion}
	if !previous.IsZero() {
		next.searchedAt, next.notHeld = previous, true
	}
	b.cache.Put(flow, next)
	b.storePacket(buf, p, flow, route, e.Attempt)
	b.sendDirectCopies(e, skipped, buf)
	switch {
	case e.Count > 0:
		b.send(&e, buf)
	case e.More:
		b.queryFlow(flow)
	}
	return false
}

// sendDirectCopies sends a copy of a packet to each skipped agent.
func (b *Balancer) sendDirectCopies(e steer.Envelope, skipped []steer.Candidate, buf []byte) {
	for _, c := range skipped {
		e.Count, e.Complete, e.More, e.Direct, e.Candidates[0] = 1, false, false, true, c
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

// handleNotFound records that no agent holds a flow, unless the flow was found or placed since
// the search began.
func (b *Balancer) handleNotFound(raw []byte) {
	n, ok := steer.ParseNotFound(raw)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	b.endSearch(n)
	b.recordNotHeld(n)
}

// recordNotHeld records that the agents which answered in a search do not hold the flow.
func (b *Balancer) recordNotHeld(n steer.NotFoundNotice) {
	b.counts.NotFound.Add(1)
	b.config.Log.Info("flowNotFound").Stringer("flow", n.Flow).Bool("allAsked", n.Complete).Send()
	b.cache.Update(n.Flow, func(entry cacheEntry) cacheEntry {
		entry.notHeld = entry.notHeld || n.Searched && !entry.agent.IsValid() && entry.attempts == n.Attempt+1 && entry.listVersion == n.ListVersion
		return entry
	})
}

// endSearch ends the search of a packet that has visited all agents of its path: either its
// caller was reset, or the search proved nothing because agents were skipped.
func (b *Balancer) endSearch(n steer.NotFoundNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.queries.byFlow[n.Flow]
	switch {
	case f == nil || !n.Searched:
	case n.Complete:
		delete(b.queries.byFlow, n.Flow)
	case len(f.remaining) == 0:
		f.searching = false
	}
}
