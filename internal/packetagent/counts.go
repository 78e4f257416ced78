package packetagent

import "sync/atomic"

// Counts are totals since the start.
type Counts struct {
	// Admitted counts new flows whose SYN was delivered to the server.
	Admitted atomic.Uint64
	// Forwarded counts packets forwarded to the next candidate.
	Forwarded atomic.Uint64
	// Returned counts packets returned to their balancer.
	Returned atomic.Uint64
	// NotFound counts packets whose flow no candidate holds or admits.
	NotFound atomic.Uint64
	// Refused counts new flows that were reset because their expected delay reached the timeout, or
	// because all candidates are in evacuated zones.
	Refused atomic.Uint64
	// Evacuated counts SYN packets that were not delivered because the zone is evacuated.
	Evacuated atomic.Uint64
	// ColdForwarded, ColdDropped and ColdRefused count new flows that were passed on, dropped and
	// reset because the server is cold and has received as many as it can accept.
	ColdForwarded, ColdDropped, ColdRefused atomic.Uint64
	// AssumedRestarts counts restarts of the server that were inferred before a ping stated them.
	AssumedRestarts atomic.Uint64
	// ShedPriority and ShedRetry count new flows that were reset because they would have been
	// answered late while kinds of higher priority competed, or as retries of refused ones.
	ShedPriority, ShedRetry atomic.Uint64
	// ClockSets counts how often the time of day was found to have been set.
	ClockSets atomic.Uint64
	// Probes counts the connection attempts to the server that have ended, and ProbesRefused those of
	// them that were refused.
	Probes, ProbesRefused atomic.Uint64
	// Bounced counts packets that the server bounced because it does not hold their flow.
	Bounced atomic.Uint64
	// Learned counts flows added to the table from packets of the server.
	Learned atomic.Uint64
	// ServerQueries counts packets of unknown flows that were delivered to the server to
	// find out whether it holds the flow.
	ServerQueries atomic.Uint64
	// Held counts requests that were queued at the agent.
	Held atomic.Uint64
	// Expired counts requests that stayed in the queue until their timeout.
	Expired atomic.Uint64
	// Answered counts answers of the server to requests.
	Answered atomic.Uint64
	// ServerFailures counts answers with a status of 500 or more, and requests that the
	// server reset.
	ServerFailures atomic.Uint64
	// Overdue counts requests that the server left unanswered past the overdue timeout.
	Overdue atomic.Uint64
	// WrongService counts SYN packets for another service.
	WrongService atomic.Uint64
	// Malformed counts datagrams that could not be read or decoded.
	Malformed atomic.Uint64
	// SendFailed counts datagrams that could not be sent.
	SendFailed atomic.Uint64
}

// Counts returns the live counters.
func (a *Agent) Counts() *Counts {
	return &a.counts
}
