package packetbalancer

import "sync/atomic"

// Counts are totals since the start.
type Counts struct {
	// Cached counts packets forwarded to the agent in the cache.
	Cached atomic.Uint64
	// Placed counts new flows offered to agents.
	Placed atomic.Uint64
	// Searches counts packets of unknown flows sent along a search path.
	Searches atomic.Uint64
	// Queried counts flows about which the agents that may hold them were queried.
	Queried atomic.Uint64
	// QueriedFirst counts packets of unknown flows that visited no agent before a query.
	QueriedFirst atomic.Uint64
	// Returned counts packets that an agent without the flow returned.
	Returned atomic.Uint64
	// NotFound counts packets whose flow no agent holds or admits.
	NotFound atomic.Uint64
	// Inconclusive counts searches that found no holder and could not prove that there is none.
	Inconclusive atomic.Uint64
	// Reset counts open flows that were reset because no server holds them.
	Reset atomic.Uint64
	// Refused counts new flows that were reset because no server was available, or only in evacuated
	// zones.
	Refused atomic.Uint64
	// ColdAdmitted counts new flows that were offered first to a cold server with a limit and were
	// admitted there, ColdPassedOn those that were not.
	ColdAdmitted, ColdPassedOn atomic.Uint64
	// NoRoute counts packets to addresses without a route.
	NoRoute atomic.Uint64
	// NoServer counts packets of services without a server.
	NoServer atomic.Uint64
	// Malformed counts datagrams that could not be decoded.
	Malformed atomic.Uint64
	// SendFailed counts datagrams that could not be sent.
	SendFailed atomic.Uint64
}

// Counts returns the live counters.
func (b *Balancer) Counts() *Counts {
	return &b.counts
}
