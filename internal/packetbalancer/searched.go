package packetbalancer

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/absence"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/census"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// searchedFlow is a flow that is searched, with the latest packet of its caller.
type searchedFlow struct {
	flow   packet.Flow
	packet packet.Packet
	raw    []byte
	route  *catalog.Route
	// envelope holds the fields that all datagrams of the search have in common.
	envelope steer.Envelope
	// openSince is when the first packet of the flow arrived that only an open flow sends.
	openSince time.Time
	// receivedAt is when the packet arrived, searchedAt when the latest search began.
	receivedAt, searchedAt time.Time
	// queried is the latest query about the flow, and denied the latest one after which all
	// queried agents have denied the flow.
	queried, denied queryTarget
	// doubt is the reason why the flow was not reset when that was last determined.
	doubt absence.Doubt
	// retries counts the searches that the balancer repeated on its own since the packet
	// arrived. It does not count those of only the agents that have changed; repeated is true
	// after either.
	retries  int
	repeated bool
	// searching is true from the query until the search has ended or timed out.
	searching bool
	// undecided holds the agents to which the query in denied, or one before it, was sent and that
	// have not denied the flow.
	undecided []netip.AddrPort
	// remaining holds the agents that answered Unknown and that the packet has still to visit;
	// unknownPath is the attempt of the path along them while the packet is on it, else 0.
	remaining   []netip.AddrPort
	unknownPath uint8
	// unknownPaths counts these paths.
	unknownPaths uint8
}

// flowQuery is a query that is open, with its result so far and the flows that it is about.
type flowQuery struct {
	*census.QueryResult
	flows []*searchedFlow
}

// queries holds the flows that a balancer searches, and its queries about them.
type queries struct {
	// byFlow holds the flows that are searched: neither found nor reset since, at most
	// searchRetention after their latest packet.
	byFlow map[packet.Flow]*searchedFlow
	// pending holds the flows that wait for the next query.
	pending []*searchedFlow
	// lastSentAt is when the latest query was sent, and pause the time to the next one.
	lastSentAt time.Time
	pause      time.Duration
	lastID     uint32
	open       map[uint32]*flowQuery
}

// storePacket stores the packet of a flow that is searched, unless the flow is being queried.
func (b *Balancer) storePacket(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route, attempt uint8) {
	if p.Reset {
		return
	}
	now := b.config.Clock.Now()
	e := b.envelope(route)
	e.Attempt, e.Page = attempt, unknownPage
	e.Service = route.SelectID(func() uint64 { return b.selection.Hash(flow) })
	p.Data = nil
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.queries.byFlow[flow]
	switch {
	case f != nil && f.searching:
		return
	case f == nil && len(b.queries.byFlow) >= maxSearchedFlows:
		return
	}
	next := &searchedFlow{
		flow: flow, packet: p, raw: append([]byte(nil), buf[steer.MaxLen:]...), route: route, envelope: e,
		openSince: now, receivedAt: now, searchedAt: now,
	}
	if f != nil {
		next.openSince, next.queried, next.denied, next.doubt, next.unknownPaths = f.openSince, f.queried, f.denied, f.doubt, f.unknownPaths
		next.undecided = f.undecided
	}
	b.queries.byFlow[flow] = next
}

// buffer returns a copy of the packet, with room for an envelope in front of it.
func (f *searchedFlow) buffer() []byte {
	return append(make([]byte, steer.MaxLen, steer.MaxLen+len(f.raw)), f.raw...)
}
