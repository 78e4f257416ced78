package packetbalancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/census"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Limits and timing of queries and searches.
const (
	// queryInterval is the minimum interval between two queries, so that flows which are
	// unknown at the same time share one.
	queryInterval = 10 * time.Millisecond
	// queriedAgentInterval is added to it for each agent that was queried, so that a balancer
	// sends at most 10,000 queries a second, whatever the number of agents.
	queriedAgentInterval = 100 * time.Microsecond
	// answerTimeout is how long agents may take to answer. By then, agents that are down are
	// detected by their unanswered pings.
	answerTimeout = 300 * time.Millisecond
	// searchTimeout is how long a packet may take along the agents that answered Unknown.
	searchTimeout = 500 * time.Millisecond
	// maxSearchedFlows is the maximum number of flows that are searched, each with a packet of
	// its caller: after a loss of power all flows of a balancer may be. With packets of 1,500
	// bytes they take some 8 MB.
	maxSearchedFlows = 4096
	// searchRetention is how long a flow is searched after its latest packet.
	searchRetention = 4 * time.Second
	// retryInterval is the pause before the balancer repeats a search on its own, and
	// maxRetries how often it does so for a packet: callers repeat it after 0.2 to 1.6 s.
	retryInterval = 300 * time.Millisecond
	maxRetries    = 2
	// unknownPage is the page number of a search along the agents that answered Unknown.
	unknownPage = 1
)

// queryFlow queries the agents about a flow that is searched, unless they have denied it, together
// with the other flows that become unknown until the next query is due.
func (b *Balancer) queryFlow(flow packet.Flow) {
	now := b.config.Clock.Now()
	b.mu.Lock()
	q := &b.queries
	f := q.byFlow[flow]
	if f == nil || f.searching || b.denied(f, now) {
		b.mu.Unlock()
		return
	}
	f.searching, f.searchedAt = true, now
	q.pending = append(q.pending, f)
	due := now.Sub(q.lastSentAt) >= q.pause
	b.mu.Unlock()
	if due {
		b.sendQueries()
	}
}

// queryGroup is what flows that share a query have in common.
type queryGroup struct {
	route *catalog.Route
	// denied is the result of deniedBase.
	denied uint64
}

// sendQueries sends the queries about the pending flows. Flows of the same route that the same
// agents have denied share queries.
func (b *Balancer) sendQueries() {
	now := b.config.Clock.Now()
	b.mu.Lock()
	q := &b.queries
	pending := q.pending
	q.pending, q.lastSentAt, q.pause = nil, now, queryInterval
	all := b.allServices(now)
	groups := lo.GroupBy(pending, func(f *searchedFlow) queryGroup {
		return queryGroup{f.route, b.deniedBase(f, b.scope(f.route, 0, all, now), now)}
	})
	b.mu.Unlock()
	for group, flows := range groups {
		for _, chunk := range lo.Chunk(flows, steer.MaxQueried) {
			b.sendQuery(group, chunk, now)
		}
	}
}

// sendQuery queries the agents that may hold flows of a group about some of them. Those of its
// services that do not answer pings receive copies of the packets instead.
func (b *Balancer) sendQuery(group queryGroup, flows []*searchedFlow, now time.Time) {
	b.mu.Lock()
	q := &b.queries
	b.recordReading(now)
	hash := b.selection.Hash(flows[0].flow)
	s := b.scope(group.route, hash, b.allServices(now), now)
	denied := group.denied
	if lo.SomeBy(flows, func(f *searchedFlow) bool { return b.deniedBase(f, s, now) != denied }) {
		denied = 0
	}
	holders := b.selection.Holders(hash, s.services, s.all, denied, now)
	q.lastID++
	id := q.lastID
	query := &flowQuery{
		QueryResult: census.NewQueryResult(len(flows), holders.Agents, now), flows: flows,
	}
	for _, f := range flows {
		f.queried, f.envelope.ListVersion = queryTarget{f.askedAt(denied, now), s, holders}, holders.ListVersion
		if denied == 0 {
			f.undecided = nil
		}
	}
	q.open[id] = query
	q.pause += time.Duration(len(holders.Agents)) * queriedAgentInterval
	unnoticed := b.selection.NeverPinged(holders.Agents)
	b.mu.Unlock()
	b.counts.Queried.Add(uint64(len(flows)))
	b.config.Log.Info("flowsAsked").Int("flows", len(flows)).Stringer("first", flows[0].flow).
		Int("agents", len(holders.Agents)).Int("silentAgents", len(holders.Silent)).Bool("changedOnly", denied > 0).Send()
	// The ping tells an agent when its server has started: only then can it deny flows for certain.
	b.ping(unnoticed, now)
	var raw [steer.QueryMaxLen]byte
	n := steer.PutQuery(raw[:], id, lo.Map(flows, func(f *searchedFlow, _ int) steer.QueriedFlow {
		return steer.QueriedFlow{Flow: f.flow, Ack: f.packet.Ack, AckSeq: f.packet.AckSeq}
	}))
	for _, a := range holders.Agents {
		b.Send(raw[:n], a)
	}
	for _, f := range flows {
		b.sendDirectCopies(f.envelope, holders.Silent, f.buffer())
	}
	if query.Complete() {
		b.endQuery(id)
	}
}

// handleAnswer records an agent's answer to a query, and forwards the packets of the flows that
// the agent holds.
func (b *Balancer) handleAnswer(raw []byte, from netip.AddrPort) {
	id, holdings, ok := steer.ParseAnswer(raw)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	var found []*searchedFlow
	b.mu.Lock()
	query, open := b.queries.open[id]
	if !open {
		b.mu.Unlock()
		return
	}
	query.AddAnswer(from, holdings, func(n int) {
		found = append(found, query.flows[n])
		delete(b.queries.byFlow, query.flows[n].flow)
	})
	if slices.Contains(holdings, steer.Unknown) {
		b.selection.RecordUnsure(from)
	}
	complete := query.Complete()
	b.mu.Unlock()
	for _, f := range found {
		b.cache.Put(f.flow, cacheEntry{agent: from})
		e := f.envelope
		e.Cached = true
		e.Append(steer.Candidate{Agent: from})
		b.send(&e, f.buffer())
	}
	if complete {
		b.endQuery(id)
	}
}

// endQuery ends a query: it resolves flows that all agents have denied, and sends the packets of
// others along the agents that answered Unknown.
func (b *Balancer) endQuery(id uint32) {
	b.mu.Lock()
	query, open := b.queries.open[id]
	delete(b.queries.open, id)
	b.mu.Unlock()
	if !open {
		return
	}
	for n, f := range query.flows {
		if !query.Found(n) {
			b.endUnfound(f, query.Agents(), query.PossibleHolders(n))
		}
	}
}

// endUnfound ends the query about a flow that no agent holds for certain. Of the agents asked,
// those in unknown have not denied it. Unless they are about to, the packet visits them.
func (b *Balancer) endUnfound(f *searchedFlow, asked, unknown []netip.AddrPort) {
	b.mu.Lock()
	unknown = b.selection.WithoutStopped(unknown)
	b.recordAnswers(f, asked, unknown)
	unknown = f.undecided
	f.remaining = unknown
	retried, e := f.repeated, f.envelope
	wait := len(unknown) > 0 && b.selection.Registering(b.config.Clock.Now())
	if len(unknown) == 0 || wait {
		f.searching, f.remaining = false, nil
	}
	b.mu.Unlock()
	switch {
	case wait:
	case len(unknown) == 0:
		b.recordNotHeld(steer.NotFoundNotice{Flow: f.flow, Searched: true, Attempt: e.Attempt, ListVersion: e.ListVersion})
		b.resolve(f.flow)
	case retried:
		b.endInconclusive(f)
	default:
		b.searchUnknown(f)
	}
}

// searchUnknown sends the packet of a flow along the next page of agents that answered Unknown,
// and direct copies to those of them that no longer answer.
func (b *Balancer) searchUnknown(f *searchedFlow) {
	now := b.config.Clock.Now()
	b.mu.Lock()
	e := f.envelope
	var skipped []steer.Candidate
	for len(f.remaining) > 0 && e.Count < steer.MaxCandidates {
		a := b.selection.Agent(f.remaining[0])
		f.remaining = f.remaining[1:]
		c := steer.Candidate{Agent: a.Address, Slots: a.Server.Slots}
		if b.selection.Suspect(a.Address, now) {
			skipped = append(skipped, c)
			continue
		}
		e.Append(c)
	}
	e.More = len(f.remaining) > 0
	f.searching = e.Count > 0
	if f.searching {
		e.Attempt = f.beginUnknownPath()
	} else {
		f.unknownPath = 0
		f.recordDenied()
	}
	b.mu.Unlock()
	b.sendDirectCopies(e, skipped, f.buffer())
	if e.Count == 0 {
		b.resolve(f.flow)
		return
	}
	b.counts.Searches.Add(1)
	b.config.Log.Info("flowSearched").Stringer("flow", f.flow).Uint8("attempt", e.Attempt).Uint8("page", e.Page).
		Uint8("agents", e.Count).Int("silentAgents", len(skipped)).Bool("again", false).Send()
	b.send(&e, f.buffer())
}

// beginUnknownPath returns the attempt of a page of a path along the agents that answered Unknown.
// It differs from those of other searches, whose ends say nothing about these agents, and from
// those of the former such paths.
func (f *searchedFlow) beginUnknownPath() uint8 {
	if f.unknownPath == 0 {
		f.unknownPaths++
		f.unknownPath = maxAttempts + 1 + f.unknownPaths%unknownAttempts
	}
	return f.unknownPath
}

// endInconclusive ends a search that the balancer repeated on its own and to which some agents
// answered Unknown. Their servers receive the packet only when its caller repeats it: a late
// copy that reaches other servers before its own would count as a misrouted flow.
func (b *Balancer) endInconclusive(f *searchedFlow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f.searching, f.remaining = false, nil
}

// continueSearch sends the packet of a flow that has visited a page of agents which answered
// Unknown along the next page.
func (b *Balancer) continueSearch(flow packet.Flow) {
	b.mu.Lock()
	f, ok := b.queries.byFlow[flow]
	ok = ok && len(f.remaining) > 0
	b.mu.Unlock()
	if ok {
		b.searchUnknown(f)
	}
}

// maintainSearches sends pending queries, ends those that agents have not answered within
// answerTimeout, resets flows that are now proved to be held by no server, and repeats the search
// for flows whose callers have not repeated their packet.
func (b *Balancer) maintainSearches(now time.Time) {
	var expired []uint32
	b.mu.Lock()
	q := &b.queries
	pending := len(q.pending) > 0 && now.Sub(q.lastSentAt) >= q.pause
	for id, i := range q.open {
		if now.Sub(i.SentAt) >= answerTimeout {
			expired = append(expired, id)
		}
	}
	searched := len(q.byFlow) > 0
	b.mu.Unlock()
	if pending {
		b.sendQueries()
	}
	for _, id := range expired {
		b.endQuery(id)
	}
	if searched {
		b.reviewSearches(now)
	}
}
