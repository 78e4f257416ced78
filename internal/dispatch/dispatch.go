// Package dispatch holds requests that wait for a backend server, and decides
// which one goes next.
package dispatch

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Bounds of what is held.
const (
	// MaxPackets bounds the packets held for one request; a caller has at most 16
	// in flight.
	MaxPackets = 16
	// MaxRequests bounds the requests held; with packets of 1.2 KB that is 5 MB.
	MaxRequests = 256
)

// Request is a request that waits.
type Request struct {
	// Flow is the flow that it arrived on.
	Flow packet.Flow
	// Class describes it.
	Class steer.Class
	// Sent is when its caller sent it, as far as known.
	Sent time.Time
	// Return is the time that an answer takes to the caller.
	Return time.Duration

	packets []held
}

type held struct {
	seq uint32
	raw []byte
}

// Packets calls deliver for each packet in order of arrival.
func (r *Request) Packets(deliver func(raw []byte)) {
	for _, h := range r.packets {
		deliver(h.raw)
	}
}

// Queue holds requests. It is not safe for concurrent use.
type Queue struct {
	list []*Request
}

// Push adds a request with its first packet, which is copied. It returns false
// if the queue is full.
func (q *Queue) Push(r *Request, p packet.Packet, raw []byte) bool {
	if len(q.list) >= MaxRequests {
		return false
	}
	q.list = append(q.list, r)
	r.add(p, raw)
	return true
}

// Add adds a further packet of a waiting request. Copies of held packets are
// ignored.
func (q *Queue) Add(f packet.Flow, p packet.Packet, raw []byte) {
	for _, r := range q.list {
		if r.Flow == f {
			r.add(p, raw)
			return
		}
	}
}

func (r *Request) add(p packet.Packet, raw []byte) {
	if len(r.packets) >= MaxPackets {
		return
	}
	for _, h := range r.packets {
		if h.seq == p.Seq {
			return
		}
	}
	r.packets = append(r.packets, held{seq: p.Seq, raw: append([]byte(nil), raw...)})
}

// Len returns the number of requests held.
func (q *Queue) Len() int {
	return len(q.list)
}

// Timely returns the number of requests held that can still be answered within
// their response-time objective. Only they go before a request that arrives now.
func (q *Queue) Timely(now time.Time, s Server) int {
	n := 0
	for _, r := range q.list {
		if r.inTime(now.Add(s.Service)) {
			n++
		}
	}
	return n
}

// Server is what the order of requests depends on.
type Server struct {
	// Service is the time that the server takes for a request.
	Service time.Duration
	// Slots is how many requests it runs at a time; at least 1.
	Slots int
}

// Next removes and returns the request to deliver. Requests that can still be
// answered within their response-time objective go first, by priority and age;
// if they would wait for half of the objective, the youngest goes first, since
// an overloaded server that takes the oldest answers all of them late. After
// them come late requests, by priority and the youngest first: the oldest would
// use the server for answers that come after their caller has given up.
func (q *Queue) Next(now time.Time, s Server) *Request {
	best := -1
	crowded := time.Duration(len(q.list)) * s.Service / time.Duration(s.Slots)
	for i, r := range q.list {
		if best < 0 || r.before(q.list[best], now.Add(s.Service), crowded) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return q.remove(best)
}

// Expired removes and returns a request that can no longer be answered before
// its timeout, or nil.
func (q *Queue) Expired(now time.Time, service time.Duration) *Request {
	for i, r := range q.list {
		if r.Class.TimeoutMillis > 0 && now.Add(service+r.Return).After(r.Sent.Add(millis(r.Class.TimeoutMillis))) {
			return q.remove(i)
		}
	}
	return nil
}

// Drop removes the request of a flow.
func (q *Queue) Drop(f packet.Flow) {
	for i, r := range q.list {
		if r.Flow == f {
			q.remove(i)
			return
		}
	}
}

func (q *Queue) remove(i int) *Request {
	r := q.list[i]
	q.list = append(q.list[:i], q.list[i+1:]...)
	return r
}

// before reports whether r goes before s if an answer would leave the server at
// done. crowded is how long the queue takes to empty.
func (r *Request) before(s *Request, done time.Time, crowded time.Duration) bool {
	timely := r.inTime(done)
	switch {
	case timely != s.inTime(done):
		return timely
	case r.Class.Priority != s.Class.Priority:
		return r.Class.Priority < s.Class.Priority
	case timely && crowded < millis(r.Class.TargetMillis)/2:
		return r.Sent.Before(s.Sent)
	default:
		return r.Sent.After(s.Sent)
	}
}

func (r *Request) inTime(done time.Time) bool {
	return r.Class.TargetMillis == 0 || !done.Add(r.Return).After(r.Sent.Add(millis(r.Class.TargetMillis)))
}

func millis(n uint16) time.Duration {
	return time.Duration(n) * time.Millisecond
}
