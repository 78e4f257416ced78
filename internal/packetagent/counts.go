package packetagent

import "sync/atomic"

// Counts are totals since the start.
type Counts struct {
	// Admitted counts new flows offered to the server.
	Admitted atomic.Uint64
	// PassedOn counts packets passed to the next candidate.
	PassedOn atomic.Uint64
	// Returned counts packets sent back to their balancer.
	Returned atomic.Uint64
	// Lost counts packets whose flow no candidate holds.
	Lost atomic.Uint64
	// Refused counts new flows that were reset because they could not be served in time.
	Refused atomic.Uint64
	// Bounced counts packets that the server returned.
	Bounced atomic.Uint64
	// Learnt counts flows found in packets of the server.
	Learnt atomic.Uint64
	// Asked counts packets of unknown flows shown to the server.
	Asked atomic.Uint64
	// Held counts requests that waited at the agent.
	Held atomic.Uint64
	// Expired counts requests that waited until their timeout.
	Expired atomic.Uint64
	// Answered counts answers of the server.
	Answered atomic.Uint64
	// ServerFailures counts answers that tell of a failure of the server, and requests
	// that it reset.
	ServerFailures atomic.Uint64
	// Overdue counts requests whose answer the server owes for too long.
	Overdue atomic.Uint64
	// WrongService counts new flows for another service.
	WrongService atomic.Uint64
	// Malformed counts datagrams that could not be decoded.
	Malformed atomic.Uint64
	// SendFailed counts datagrams that the kernel did not take.
	SendFailed atomic.Uint64
}

// Counts returns the live counters.
func (a *Agent) Counts() *Counts {
	return &a.counts
}
