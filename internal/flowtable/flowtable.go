// Package flowtable holds the packet flows that a backend server has open, as
// its agent sees them in both directions.
package flowtable

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// State is the state of a flow.
type State uint8

// States of a flow.
const (
	// Opening flows have had a SYN delivered and no answer yet.
	Opening State = iota
	// Open flows were answered by the server.
	Open
	// Closed flows have ended; late packets still go to the server.
	Closed
)

// maxAckDistance is how far a caller's acknowledgement may be from what its
// server is known to have sent, in bytes; far above any window of 16 packets.
const maxAckDistance = 1 << 18

// Entry is one flow.
type Entry struct {
	// Flow names the flow.
	Flow packet.Flow
	// State is the state of the flow.
	State State
	// Class describes its requests.
	Class steer.Class
	// Seen is when either end last sent a packet.
	Seen time.Time
	// Opened is when the caller sent its first SYN, as far as its copies tell; zero
	// if the flow was opened before this process started.
	Opened time.Time
	// RoundTrip is the time between the server's first answer and the caller's next
	// packet; 0 if unknown.
	RoundTrip time.Duration
	// RequestID names the latest request; empty if it bears no name.
	RequestID string
	// Requests counts requests since the flow is known here.
	Requests int
	// Running is true from the delivery of a request to the first byte of its answer.
	Running bool
	// Held is true while a request waits at the agent.
	Held bool

	// serverNext and callerNext are the next sequence numbers of the two ends,
	// valid if known.
	serverNext, callerNext           uint32
	serverNextKnown, callerNextKnown bool
	// dataNext is the sequence number behind the data that the server has sent, valid
	// with serverNext. Packets without data do not move it: they may overtake an answer.
	dataNext             uint32
	serverFin, callerFin bool
	// answeredAt is when the server answered the SYN.
	answeredAt time.Time
}

// Table holds flows. It is not safe for concurrent use.
type Table struct {
	flows map[packet.Flow]*Entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{flows: make(map[packet.Flow]*Entry)}
}

// Get returns the entry of a flow, or nil.
func (t *Table) Get(f packet.Flow) *Entry {
	return t.flows[f]
}

// Add enters a flow, in place of one of the same name.
func (t *Table) Add(f packet.Flow, now time.Time) *Entry {
	e := &Entry{Flow: f, Seen: now}
	t.flows[f] = e
	return e
}

// Remove forgets a flow.
func (t *Table) Remove(f packet.Flow) {
	delete(t.flows, f)
}

// Len returns the number of flows.
func (t *Table) Len() int {
	return len(t.flows)
}

// Active counts the flows that are not closed and were seen since the given time.
func (t *Table) Active(since time.Time) int {
	n := 0
	for _, e := range t.flows {
		if e.State != Closed && e.Seen.After(since) {
			n++
		}
	}
	return n
}

// Sweep removes closed flows not seen since closedBefore, and others not seen
// since idleBefore.
func (t *Table) Sweep(closedBefore, idleBefore time.Time) {
	for f, e := range t.flows {
		limit := idleBefore
		if e.State == Closed {
			limit = closedBefore
		}
		if e.Seen.Before(limit) {
			delete(t.flows, f)
		}
	}
}

// Holds reports whether a caller's packet, other than a SYN, belongs to this
// flow as the server knows it: it acknowledges what this server has sent. Of
// two servers that both answered a SYN, only one passes. If the flow is older
// than this process, the server may have sent more than was seen here.
func (e *Entry) Holds(p packet.Packet) bool {
	if e.State == Opening {
		return false
	}
	if !e.serverNextKnown || !p.Ack {
		return true
	}
	ahead := int32(p.AckSeq - e.serverNext)
	if e.answeredAt.IsZero() {
		return ahead > -maxAckDistance && ahead < maxAckDistance
	}
	return ahead > -maxAckDistance && ahead <= 0
}

// ServerNext returns the next sequence number of the server, for logs.
func (e *Entry) ServerNext() uint32 {
	return e.serverNext
}

// StartsRequest reports whether a caller's packet carries the first bytes of a
// further request.
func (e *Entry) StartsRequest(p packet.Packet) bool {
	if len(p.Data) == 0 || e.Running || e.Held {
		return false
	}
	return !e.callerNextKnown || packet.SeqAfter(p.NextSeq(), e.callerNext)
}

// RequestSent returns when the caller sent the request whose first packet comes
// now: a flow's first request counts from its opening.
func (e *Entry) RequestSent(now time.Time) time.Time {
	if e.Requests == 0 && !e.Opened.IsZero() {
		return e.Opened
	}
	return now.Add(-e.RoundTrip / 2)
}

// Sent notes a packet of the caller that is delivered to the server.
func (e *Entry) Sent(p packet.Packet, now time.Time) {
	e.Seen = now
	if e.RoundTrip == 0 && !e.answeredAt.IsZero() {
		e.RoundTrip = now.Sub(e.answeredAt)
	}
	if next := p.NextSeq(); !e.callerNextKnown || packet.SeqAfter(next, e.callerNext) {
		e.callerNext, e.callerNextKnown = next, true
	}
	e.callerFin = e.callerFin || p.Fin
	e.close(p)
}

// Answered notes a packet of the server. It reports whether the packet holds
// the first bytes of an answer to the request that runs.
func (e *Entry) Answered(p packet.Packet, now time.Time) (answer bool) {
	e.Seen = now
	next := p.NextSeq()
	if !e.serverNextKnown || len(p.Data) > 0 && packet.SeqAfter(next, e.dataNext) {
		answer = e.Running && len(p.Data) > 0
		e.dataNext = next
	}
	if !e.serverNextKnown || packet.SeqAfter(next, e.serverNext) {
		e.serverNext, e.serverNextKnown = next, true
	}
	if e.State == Opening {
		e.State = Open
		e.answeredAt = now
	}
	e.serverFin = e.serverFin || p.Fin
	e.close(p)
	return answer
}

func (e *Entry) close(p packet.Packet) {
	if p.Reset || e.serverFin && e.callerFin {
		e.State = Closed
	}
}
