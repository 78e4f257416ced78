package packetbalancer

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

const (
	// maxAttempts bounds the count of searches for one flow.
	maxAttempts = 250
	// notHeldFor is how long an agent that did not hold a flow is not asked for it
	// again; callers repeat a packet every 0.2 to 1.6 s.
	notHeldFor = 5 * time.Second
)

// search looks for the agent of an unknown flow. What an earlier search has found
// out still holds: agents that did not hold the flow are not asked again for a
// while, and if no other may hold it, the caller is told.
func (b *Balancer) search(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, at place) {
	if !at.notHeld || b.config.Clock.Since(at.searched) > notHeldFor {
		at.searched = time.Time{}
	}
	gone := b.walk(buf, p, flow, route, at)
	if gone && !p.Reset {
		b.mu.Lock()
		delete(b.inquiries.byFlow, flow)
		b.mu.Unlock()
		b.resetGone(flow, p, at.attempts)
	}
}

// resetGone tells a caller that no agent holds its flow.
func (b *Balancer) resetGone(flow packet.Flow, p packet.Packet, attempt uint8) {
	b.counts.Lost.Add(1)
	b.config.Log.Info("flowReset").Stringer("flow", flow).Str("reason", "notHeldAnywhere").Uint8("attempt", attempt).Send()
	b.reset(flow, p.AckSeq)
}

// listWhole reports whether every server of the services that may live is listed, or known
// to have lapsed: somebody knows them all, or nobody knows more and all have just started.
// The caller holds the lock.
func (b *Balancer) listWhole(services []string, corroborated, alone bool) bool {
	return corroborated || alone && b.selection.AllRecentlyStarted(services)
}

// walk sends a packet of an unknown flow past the agents that probably hold it; if there
// are more that may, all are asked afterwards. at is what is known from earlier searches.
// gone is true if nobody is left to be asked.
func (b *Balancer) walk(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, at place) (gone bool) {
	now := b.config.Clock.Now()
	e := b.envelope(route)
	e.Attempt = at.attempts
	corroborated, alone := b.config.Corroborated(), b.config.Alone()
	b.mu.Lock()
	b.selection.RecordRead(b.config.ReadAt())
	hash := b.selection.Hash(flow)
	services := route.Services(hash)
	e.Service = catalog.ServiceID(services[0])
	e.Partial = !b.listWhole(services, corroborated, alone)
	asked := b.selection.PreviousSearch(at.searched, at.list, services, now)
	aside := b.selection.SearchPath(&e, nil, hash, services, asked, now)
	b.mu.Unlock()
	if int(e.Count)+len(aside) == 0 && !e.More {
		if asked.IsZero() {
			b.counts.NoServer.Add(1)
		}
		return e.Complete && !asked.IsZero()
	}
	b.counts.Walks.Add(1)
	b.config.Log.Info("flowSearched").Stringer("flow", flow).Uint8("attempt", e.Attempt).Uint8("page", e.Page).
		Uint8("agents", e.Count).Int("silentAgents", len(aside)).Bool("again", !asked.IsZero()).Send()
	next := place{attempts: min(e.Attempt+1, maxAttempts), searched: now, list: e.List}
	if !asked.IsZero() {
		next.searched, next.notHeld = asked, true
	}
	b.cache.Put(flow, next)
	b.remember(buf, p, flow, route, e.Attempt)
	b.copyAside(e, aside, buf)
	switch {
	case e.Count > 0:
		b.send(&e, buf)
	case e.More:
		b.inquire(flow)
	}
	return false
}

// copyAside sends a copy of a packet to each agent that is passed over.
func (b *Balancer) copyAside(e steer.Envelope, aside []steer.Candidate, buf []byte) {
	for _, c := range aside {
		e.Count, e.Complete, e.More, e.Aside, e.Candidates[0] = 1, false, false, true, c
		b.send(&e, buf)
	}
}

// handleReturn searches the agent for a packet that went to the wrong one.
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
	flow := p.SentFlow()
	route, ok := b.config.Catalog().Route(flow.Service())
	if !ok {
		b.counts.NoRoute.Add(1)
		return
	}
	buf := make([]byte, steer.MaxLen+len(rest))
	copy(buf[steer.MaxLen:], rest)
	switch {
	case e.More && e.Page == restPage:
		b.continueWalk(flow)
		return
	case e.More:
		b.remember(buf, p, flow, route, e.Attempt)
		b.inquire(flow)
		return
	}
	b.forwardReturned(buf, p, flow, route, from)
}

// forwardReturned sends a packet that came back from an agent to where the flow
// was found since, or in search of it.
func (b *Balancer) forwardReturned(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, from netip.AddrPort) {
	at, _ := b.cache.Get(flow)
	if !at.agent.IsValid() || at.agent == from {
		b.search(buf, p, flow, route, at)
		return
	}
	e := b.envelope(route)
	e.Cached = true
	e.Service = route.SelectID(func() uint64 { return b.selection.Hash(flow) })
	e.Append(steer.Candidate{Agent: at.agent})
	b.send(&e, buf)
}

// handleLost notes that no agent holds a flow, unless it was found or placed since
// the search began.
func (b *Balancer) handleLost(raw []byte) {
	n, ok := steer.ParseLost(raw)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	b.endSearch(n)
	b.noteNotHeld(n)
}

// noteNotHeld notes that the agents which answered in a search do not hold the flow.
func (b *Balancer) noteNotHeld(n steer.LostNotice) {
	b.counts.Lost.Add(1)
	b.config.Log.Info("flowNotFound").Stringer("flow", n.Flow).Bool("allAsked", n.Complete).Send()
	b.cache.Update(n.Flow, func(at place) place {
		at.notHeld = at.notHeld || n.Searched && !at.agent.IsValid() && at.attempts == n.Attempt+1 && at.list == n.List
		return at
	})
}

// endSearch ends a search that a packet has gone through: its caller was told that the
// flow is gone, or nothing was proved.
func (b *Balancer) endSearch(n steer.LostNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.inquiries.byFlow[n.Flow]
	switch {
	case f == nil || !n.Searched:
	case n.Complete:
		delete(b.inquiries.byFlow, n.Flow)
	case len(f.walking) == 0:
		f.asking = false
	}
}
