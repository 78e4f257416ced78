// Package flowtable tracks the packet flows that a backend server has open, by the packets
// that its agent forwards in both directions.
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
	// Opening flows have had a SYN delivered, which the server has not answered yet.
	Opening State = iota
	// Open flows were answered by the server.
	Open
	// Closed flows have ended; late packets are still delivered to the server.
	Closed
)

// maxAckDistance is how far a caller's acknowledgement may be from the last sequence number
// seen of its server, in bytes; far above any window of 16 packets.
const maxAckDistance = 1 << 18

// Entry is the state of one flow.
type Entry struct {
	// Flow identifies the flow.
	Flow packet.Flow
	// State is the state of the flow.
	State State
	// Class describes its requests.
	Class steer.Class
	// LastSeen is when the agent last saw a packet of either end.
	LastSeen time.Time
	// OpenedAt is when the caller sent its first SYN, as far as the copies of it show; zero
	// if the flow was opened before this process started.
	OpenedAt time.Time
	// RoundTrip is the time between the server's answer to the SYN and the caller's next
	// packet; 0 if unknown.
	RoundTrip time.Duration
	// RequestID is the identifier that the latest request carries; empty if it has none.
	RequestID string
	// Requests is the number of requests since the flow was added to the table.
	Requests int
	// Running is true from the delivery of a request to the first byte of its answer.
	Running bool
	// Held is true while a request waits in the agent's queue.
	Held bool

	// serverNext and callerNext are the next sequence numbers of the two ends, valid if
	// serverNextKnown and callerNextKnown are true.
	serverNext, callerNext           uint32
	serverNextKnown, callerNextKnown bool
	// dataNext is the sequence number after the data that the server has sent, valid
	// with serverNext. Packets without data do not advance it, since they may overtake an
	// answer.
	dataNext uint32
	// serverFin and callerFin are true once that end has sent a FIN.
	serverFin, callerFin bool
	// synAnsweredAt is when the server answered the SYN.
	synAnsweredAt time.Time
}

// Table holds the flows of one backend server. It is not safe for concurrent use.
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

// Add adds a flow in state Opening, and replaces an entry of the same flow.
func (t *Table) Add(f packet.Flow, now time.Time) *Entry {
	e := &Entry{Flow: f, LastSeen: now}
	t.flows[f] = e
	return e
}

// Remove deletes the entry of a flow.
func (t *Table) Remove(f packet.Flow) {
	delete(t.flows, f)
}

// Len returns the number of flows.
func (t *Table) Len() int {
	return len(t.flows)
}

// Active returns the number of flows that are not closed and had a packet after since.
func (t *Table) Active(since time.Time) int {
	n := 0
	for _, e := range t.flows {
		if e.State != Closed && e.LastSeen.After(since) {
			n++
		}
	}
	return n
}

// Sweep removes closed flows without a packet since closedBefore, and other flows without
// one since idleBefore.
func (t *Table) Sweep(closedBefore, idleBefore time.Time) {
	for f, e := range t.flows {
		limit := idleBefore
		if e.State == Closed {
			limit = closedBefore
		}
		if e.LastSeen.Before(limit) {
			delete(t.flows, f)
		}
	}
}

// Matches reports whether a caller's packet, other than a SYN, belongs to this flow at this
// server: its acknowledgement must match what this server has sent. If two servers answered
// copies of one SYN, this is true of only one of them. If the flow is older than this
// process, the server may have sent more than was seen here.
func (e *Entry) Matches(p packet.Packet) bool {
	if e.State == Opening {
		return false
	}
	if !e.serverNextKnown || !p.Ack {
		return true
	}
	ahead := int32(p.AckSeq - e.serverNext)
	if e.synAnsweredAt.IsZero() {
		return ahead > -maxAckDistance && ahead < maxAckDistance
	}
	return ahead > -maxAckDistance && ahead <= 0
}

// ServerNext returns the next sequence number of the server, for log lines.
func (e *Entry) ServerNext() uint32 {
	return e.serverNext
}

// StartsRequest reports whether a caller's packet carries the first bytes of a new request:
// data not seen before, while no request runs or waits.
func (e *Entry) StartsRequest(p packet.Packet) bool {
	if len(p.Data) == 0 || e.Running || e.Held {
		return false
	}
	return !e.callerNextKnown || packet.SeqAfter(p.NextSeq(), e.callerNext)
}

// RequestSentAt returns when the caller sent the request whose first packet arrives now. The
// first request of a flow counts from the first SYN.
func (e *Entry) RequestSentAt(now time.Time) time.Time {
	if e.Requests == 0 && !e.OpenedAt.IsZero() {
		return e.OpenedAt
	}
	return now.Add(-e.RoundTrip / 2)
}

// RecordCallerPacket updates the entry for a packet of the caller that is delivered to the
// server.
func (e *Entry) RecordCallerPacket(p packet.Packet, now time.Time) {
	e.LastSeen = now
	if e.RoundTrip == 0 && !e.synAnsweredAt.IsZero() {
		e.RoundTrip = now.Sub(e.synAnsweredAt)
	}
	if next := p.NextSeq(); !e.callerNextKnown || packet.SeqAfter(next, e.callerNext) {
		e.callerNext, e.callerNextKnown = next, true
	}
	e.callerFin = e.callerFin || p.Fin
	e.close(p)
}

// RecordServerPacket updates the entry for a packet of the server. It reports whether the
// packet holds the first bytes of an answer to the running request.
func (e *Entry) RecordServerPacket(p packet.Packet, now time.Time) (firstBytes bool) {
	e.LastSeen = now
	next := p.NextSeq()
	if !e.serverNextKnown || len(p.Data) > 0 && packet.SeqAfter(next, e.dataNext) {
		firstBytes = e.Running && len(p.Data) > 0
		e.dataNext = next
	}
	if !e.serverNextKnown || packet.SeqAfter(next, e.serverNext) {
		e.serverNext, e.serverNextKnown = next, true
	}
	if e.State == Opening {
		e.State = Open
		e.synAnsweredAt = now
	}
	e.serverFin = e.serverFin || p.Fin
	e.close(p)
	return firstBytes
}

// close marks the flow as closed once either end has sent a reset, or both a FIN. p is
// the latest packet.
func (e *Entry) close(p packet.Packet) {
	if p.Reset || e.serverFin && e.callerFin {
		e.State = Closed
	}
}
