package packetbalancer

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/selection"
)

// queryTarget states to which agents a query was sent, or had been before. at is the time of the
// oldest of these queries.
type queryTarget struct {
	at      time.Time
	scope   scope
	holders selection.Holders
}

// recordDenied records that all agents that the latest query went to have denied the flow.
func (f *searchedFlow) recordDenied() {
	f.denied, f.undecided = f.queried, nil
}

// recordAnswers records that the agents asked have denied the flow in the latest query, except
// unknown, which holds those that have not. Agents outside the scope of that query no longer matter.
// The caller holds the lock.
func (b *Balancer) recordAnswers(f *searchedFlow, asked, unknown []netip.AddrPort) {
	f.denied = f.queried
	former := b.selection.OfServices(lo.Without(f.undecided, asked...), f.queried.scope.services, f.queried.scope.all)
	f.undecided = append(former, unknown...)
}

// denied reports whether all agents that answer have denied a flow. The caller holds the lock.
func (b *Balancer) denied(f *searchedFlow, now time.Time) bool {
	return now.Sub(f.denied.at) <= notHeldRetention && len(f.undecided) == 0 && b.selection.AllListed(f.denied.holders)
}

// deniedBase returns the number of the change of an agent up to which all agents that may hold a
// flow have denied it, or are about to change; 0 if all need to be asked. s is the scope of its
// route. The caller holds the lock.
func (b *Balancer) deniedBase(f *searchedFlow, s scope, now time.Time) uint64 {
	if now.Sub(f.denied.at) > notHeldRetention || !f.denied.scope.covers(s) || len(f.undecided) > 0 && !b.selection.Registering(now) {
		return 0
	}
	return f.denied.holders.Changes
}

// askedAt returns when the oldest of the queries was sent on which a denial of a flow rests whose
// next query is sent now. denied is the result of deniedBase.
func (f *searchedFlow) askedAt(denied uint64, now time.Time) time.Time {
	if denied > 0 {
		return f.denied.at
	}
	return now
}

// agentsChanged reports whether agents have changed since the latest query about a flow that all
// others have denied. Only those are asked, so that this costs a datagram for each of them. The
// caller holds the lock.
func (b *Balancer) agentsChanged(f *searchedFlow, r review) bool {
	route, ok := r.catalog.Route(f.flow.Service())
	return ok && !b.selection.AllListed(f.queried.holders) && b.deniedBase(f, b.scope(route, 0, r.all, r.now), r.now) > 0
}
