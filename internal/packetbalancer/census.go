package packetbalancer

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/census"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Bounds of the questions about flows.
const (
	// queryPause is the least pause between two queries, so that flows which are unknown
	// at the same time share one.
	queryPause = 10 * time.Millisecond
	// answerTime is how long agents may take to answer. Those that are down are known not
	// to answer pings by then.
	answerTime = 300 * time.Millisecond
	// walkTime is how long a packet may take past the agents that could not tell.
	walkTime = 500 * time.Millisecond
	// maxAsked bounds the flows that are searched, each with a packet of its caller.
	maxAsked = 1024
	// searchMemory is how long after its latest packet a flow is searched.
	searchMemory = 4 * time.Second
	// repeatPause is the pause before the balancer searches again by itself, and maxRepeats
	// how often it does so for a packet: callers repeat it after 0.2 to 1.6 s.
	repeatPause = 300 * time.Millisecond
	maxRepeats  = 2
	// restPage is the page number of a search past the agents that could not tell.
	restPage = 1
)

// asked is a flow that is searched, with the latest packet of its caller.
type asked struct {
	flow   packet.Flow
	packet packet.Packet
	raw    []byte
	route  *catalog.Route
	// envelope is what is alike for all datagrams of the search.
	envelope steer.Envelope
	// seen is when the packet came, searched when the latest search began.
	seen, searched time.Time
	// repeats counts the searches since, by which the balancer did not wait for the caller.
	repeats int
	// asking is true from the question until the answers have come, or are too late.
	asking bool
	// walking holds the agents that the packet has still to pass, as they could not tell.
	walking []netip.AddrPort
}

// inquiry is a census with the flows that it is about.
type inquiry struct {
	*census.QueryResult
	flows []*asked
	// partial is true if an agent that does not answer may hold the flows, or the list of
	// servers may not be whole.
	partial bool
}

// inquiries are the questions of a balancer.
type inquiries struct {
	// byFlow holds every flow that is searched and was not found or told to be gone.
	byFlow map[packet.Flow]*asked
	// pending holds the flows that wait for the next query.
	pending []*asked
	// sentAt is when the latest query was sent.
	sentAt time.Time
	lastID uint32
	open   map[uint32]*inquiry
}

// remember keeps the packet of a flow that is searched.
func (b *Balancer) remember(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, attempt uint8) {
	if p.Reset {
		return
	}
	now := b.config.Clock.Now()
	e := b.envelope(route)
	e.Attempt, e.Page = attempt, restPage
	e.Service = route.SelectID(func() uint64 { return b.selection.Hash(flow) })
	p.Data = nil
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.inquiries.byFlow[flow]
	switch {
	case f != nil && f.asking:
		return
	case f == nil && len(b.inquiries.byFlow) >= maxAsked:
		return
	}
	b.inquiries.byFlow[flow] = &asked{
		flow: flow, packet: p, raw: append([]byte(nil), buf[steer.MaxLen:]...), route: route, envelope: e, seen: now, searched: now,
	}
}

// inquire asks all agents about a flow that is searched, soon and together with others.
func (b *Balancer) inquire(flow packet.Flow) {
	now := b.config.Clock.Now()
	b.mu.Lock()
	q := &b.inquiries
	f := q.byFlow[flow]
	if f == nil || f.asking {
		b.mu.Unlock()
		return
	}
	f.asking, f.searched = true, now
	q.pending = append(q.pending, f)
	due := now.Sub(q.sentAt) >= queryPause
	b.mu.Unlock()
	if due {
		b.sendQueries()
	}
}

// sendQueries asks about the flows that wait: those of the same services together.
func (b *Balancer) sendQueries() {
	now := b.config.Clock.Now()
	corroborated, alone := b.config.Corroborated(), b.config.Alone()
	b.mu.Lock()
	q := &b.inquiries
	pending := q.pending
	q.pending, q.sentAt = nil, now
	b.mu.Unlock()
	for _, route := range lo.Uniq(lo.Map(pending, func(f *asked, _ int) *catalog.Route { return f.route })) {
		flows := lo.Filter(pending, func(f *asked, _ int) bool { return f.route == route })
		for _, chunk := range lo.Chunk(flows, steer.MaxQueried) {
			b.sendQuery(route, chunk, corroborated, alone, now)
		}
	}
}

// sendQuery asks the agents that a route leads to about some of its flows. Those that do
// not answer pings get copies of the packets instead.
func (b *Balancer) sendQuery(route *catalog.Route, flows []*asked, corroborated, alone bool, now time.Time) {
	b.mu.Lock()
	q := &b.inquiries
	b.selection.RecordRead(b.config.ReadAt())
	hash := b.selection.Hash(flows[0].flow)
	services := route.Services(hash)
	holders := b.selection.Holders(hash, services, now)
	q.lastID++
	id := q.lastID
	i := &inquiry{
		QueryResult: census.NewQueryResult(len(flows), holders.Agents, now), flows: flows,
		partial: holders.SilentMayHold || !b.listWhole(services, corroborated, alone),
	}
	for _, f := range flows {
		f.envelope.Partial, f.envelope.List = i.partial, holders.List
	}
	q.open[id] = i
	b.mu.Unlock()
	b.counts.Queried.Add(uint64(len(flows)))
	b.config.Log.Info("flowsAsked").Int("flows", len(flows)).Stringer("first", flows[0].flow).
		Int("agents", len(holders.Agents)).Int("silentAgents", len(holders.Silent)).Bool("partial", i.partial).Send()
	var raw [steer.QueryMaxLen]byte
	n := steer.PutQuery(raw[:], id, lo.Map(flows, func(f *asked, _ int) steer.AskedFlow {
		return steer.AskedFlow{Flow: f.flow, Ack: f.packet.Ack, AckSeq: f.packet.AckSeq}
	}))
	for _, a := range holders.Agents {
		b.Send(raw[:n], a)
	}
	for _, f := range flows {
		b.copyAside(f.envelope, holders.Silent, f.buffer())
	}
	if i.Complete() {
		b.conclude(id)
	}
}

// buffer returns the packet behind room for an envelope.
func (f *asked) buffer() []byte {
	return append(make([]byte, steer.MaxLen, steer.MaxLen+len(f.raw)), f.raw...)
}

// handleAnswer takes what an agent knows of the flows of a query.
func (b *Balancer) handleAnswer(raw []byte, from netip.AddrPort) {
	id, holdings, ok := steer.ParseAnswer(raw)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	var found []*asked
	b.mu.Lock()
	i, open := b.inquiries.open[id]
	if !open {
		b.mu.Unlock()
		return
	}
	i.AddAnswer(from, holdings, func(n int) {
		found = append(found, i.flows[n])
		delete(b.inquiries.byFlow, i.flows[n].flow)
	})
	complete := i.Complete()
	b.mu.Unlock()
	for _, f := range found {
		b.cache.Put(f.flow, place{agent: from})
		e := f.envelope
		e.Cached = true
		e.Append(steer.Candidate{Agent: from})
		b.send(&e, f.buffer())
	}
	if complete {
		b.conclude(id)
	}
}

// conclude ends a query: flows that no agent can hold are gone, others go past the agents
// that could not tell.
func (b *Balancer) conclude(id uint32) {
	b.mu.Lock()
	i, open := b.inquiries.open[id]
	delete(b.inquiries.open, id)
	b.mu.Unlock()
	if !open {
		return
	}
	for n, f := range i.flows {
		if i.Found(n) {
			continue
		}
		rest := i.PossibleHolders(n)
		b.mu.Lock()
		f.walking = rest
		repeated := f.repeats > 0
		b.mu.Unlock()
		switch {
		case len(rest) == 0:
			b.notHeldAnywhere(f)
		case repeated:
			b.endUnsure(f)
		default:
			b.walkRest(f)
		}
	}
}

// notHeldAnywhere tells the caller of a flow that no agent holds it, or notes that those
// that answered do not.
func (b *Balancer) notHeldAnywhere(f *asked) {
	b.mu.Lock()
	e := f.envelope
	f.asking = false
	if !e.Partial {
		delete(b.inquiries.byFlow, f.flow)
	}
	b.mu.Unlock()
	if e.Partial {
		b.noteNotHeld(steer.LostNotice{Flow: f.flow, Searched: true, Attempt: e.Attempt, List: e.List})
		return
	}
	if at, known := b.cache.Get(f.flow); known && at.agent.IsValid() || f.packet.Reset {
		return
	}
	b.resetGone(f.flow, f.packet, e.Attempt)
}

// walkRest sends the packet of a flow past the next page of agents that could not tell,
// and copies to those of them that have fallen silent.
func (b *Balancer) walkRest(f *asked) {
	now := b.config.Clock.Now()
	b.mu.Lock()
	e := f.envelope
	var aside []steer.Candidate
	for len(f.walking) > 0 && e.Count < steer.MaxCandidates {
		a := b.selection.Agent(f.walking[0])
		f.walking = f.walking[1:]
		c := steer.Candidate{Agent: a.Address, Slots: a.Server.Slots}
		if b.selection.Suspect(a.Address, now) {
			aside = append(aside, c)
			f.envelope.Partial, e.Partial = true, true
			continue
		}
		e.Append(c)
	}
	e.More = len(f.walking) > 0
	e.Complete = !e.More && !e.Partial
	b.mu.Unlock()
	b.copyAside(e, aside, f.buffer())
	if e.Count == 0 {
		b.notHeldAnywhere(f)
		return
	}
	b.counts.Walks.Add(1)
	b.config.Log.Info("flowSearched").Stringer("flow", f.flow).Uint8("attempt", e.Attempt).Uint8("page", e.Page).
		Uint8("agents", e.Count).Int("silentAgents", len(aside)).Bool("again", false).Send()
	b.send(&e, f.buffer())
}

// endUnsure ends a search that the balancer has repeated, and that some agents could not
// answer. Their servers are shown the packet only when its caller repeats it: a late copy
// that reaches others before its own server would count as a flow gone astray.
func (b *Balancer) endUnsure(f *asked) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f.asking, f.walking = false, nil
}

// continueWalk sends the packet of a flow on that has passed a page of agents which
// could not tell.
func (b *Balancer) continueWalk(flow packet.Flow) {
	b.mu.Lock()
	f, ok := b.inquiries.byFlow[flow]
	ok = ok && len(f.walking) > 0
	b.mu.Unlock()
	if ok {
		b.walkRest(f)
	}
}

// conclusive reports whether a search for a flow can prove that nobody holds it. The
// caller holds the lock.
func (b *Balancer) conclusive(f *asked, corroborated, alone bool, now time.Time) bool {
	services := f.route.Services(b.selection.Hash(f.flow))
	return b.listWhole(services, corroborated, alone) && !b.selection.AnySilentMayHold(services, now)
}

// tendInquiries sends queries that wait, ends those that agents have not answered in
// time, and searches again for flows whose callers have not repeated their packet.
func (b *Balancer) tendInquiries(now time.Time) {
	var late []uint32
	corroborated, alone := b.config.Corroborated(), b.config.Alone()
	b.mu.Lock()
	q := &b.inquiries
	pending := len(q.pending) > 0
	for id, i := range q.open {
		if now.Sub(i.SentAt) >= answerTime {
			late = append(late, id)
		}
	}
	again := b.searchedAgain(corroborated, alone, now)
	b.mu.Unlock()
	if pending {
		b.sendQueries()
	}
	for _, id := range late {
		b.conclude(id)
	}
	for _, f := range again {
		if at, _ := b.cache.Get(f); !at.agent.IsValid() {
			b.inquire(f)
		}
	}
}

// searchedAgain forgets flows that were searched long ago, and returns those to search
// again: the former search was cut short or could prove nothing, and a further one can.
// The caller holds the lock.
func (b *Balancer) searchedAgain(corroborated, alone bool, now time.Time) []packet.Flow {
	var again []packet.Flow
	conclusive := make(map[*catalog.Route]bool)
	for flow, f := range b.inquiries.byFlow {
		if f.asking && now.Sub(f.searched) >= answerTime+walkTime {
			f.asking = false
		}
		switch {
		case now.Sub(f.seen) >= searchMemory:
			delete(b.inquiries.byFlow, flow)
			continue
		case f.asking || f.repeats >= maxRepeats || now.Sub(f.searched) < repeatPause:
			continue
		}
		if _, known := conclusive[f.route]; !known {
			conclusive[f.route] = b.conclusive(f, corroborated, alone, now)
		}
		if conclusive[f.route] {
			f.repeats++
			again = append(again, flow)
		}
	}
	return again
}
