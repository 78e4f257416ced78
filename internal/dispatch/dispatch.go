// Package dispatch queues requests that wait for a slot of a backend server, and chooses
// the one to deliver next by priority, deadline and age.
package dispatch

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Limits of the queue.
const (
	// MaxPackets is the largest number of packets held for one request; a caller has at
	// most 16 in flight.
	MaxPackets = 16
	// MaxRequests is the largest number of requests held; with packets of 1.2 KB they
	// take 5 MB.
	MaxRequests = 256
)

// Request is a request that waits for delivery.
type Request struct {
	// Flow is the flow that it arrived on.
	Flow packet.Flow
	// Class holds its priority, response-time objective and timeout.
	Class steer.Class
	// SentAt is when its caller sent it, as estimated by the agent.
	SentAt time.Time
	// ReturnDelay is the time that an answer takes from the server to the caller.
	ReturnDelay time.Duration

	packets []heldPacket
}

// heldPacket is a packet of a request, with its sequence number.
type heldPacket struct {
	seq uint32
	raw []byte
}

// Packets calls deliver for each held packet, in order of arrival.
func (r *Request) Packets(deliver func(raw []byte)) {
	for _, h := range r.packets {
		deliver(h.raw)
	}
}

// Queue holds the waiting requests of one backend server. It is not safe for concurrent use.
type Queue struct {
	requests []*Request
}

// Push adds a request with its first packet, which is copied. It returns false if the queue
// holds MaxRequests already.
func (q *Queue) Push(r *Request, p packet.Packet, raw []byte) bool {
	if len(q.requests) >= MaxRequests {
		return false
	}
	q.requests = append(q.requests, r)
	r.add(p, raw)
	return true
}

// Add adds a further packet, which is copied, to the waiting request of a flow. It ignores
// repetitions of held packets, and packets beyond MaxPackets.
func (q *Queue) Add(f packet.Flow, p packet.Packet, raw []byte) {
	for _, r := range q.requests {
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
	r.packets = append(r.packets, heldPacket{seq: p.Seq, raw: append([]byte(nil), raw...)})
}

// Len returns the number of requests held.
func (q *Queue) Len() int {
	return len(q.requests)
}

// Timely returns the number of requests held that can still be answered within their
// response-time objective. Only these are delivered before a request that arrives now.
func (q *Queue) Timely(now time.Time, s Server) int {
	n := 0
	for _, r := range q.requests {
		if r.inTime(now.Add(s.ServiceTime)) {
			n++
		}
	}
	return n
}

// Server describes the backend server, on which the order of requests depends.
type Server struct {
	// ServiceTime is the time that the server takes for a request, without waiting.
	ServiceTime time.Duration
	// Slots is how many requests it runs at a time; at least 1.
	Slots int
}

// Next removes and returns the request to deliver, or nil if none waits. Requests that can
// still be answered within their response-time objective come first, by priority and age. If
// the queue takes half of the objective or longer to empty, the youngest of them comes first,
// since an overloaded server that takes the oldest answers all of them late. Late requests
// come last, by priority and the youngest first: with the oldest, the server would work on
// answers that arrive after the caller's timeout.
func (q *Queue) Next(now time.Time, s Server) *Request {
	best := -1
	timeToEmpty := time.Duration(len(q.requests)) * s.ServiceTime / time.Duration(s.Slots)
	for i, r := range q.requests {
		if best < 0 || r.before(q.requests[best], now.Add(s.ServiceTime), timeToEmpty) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return q.remove(best)
}

// Expired removes and returns a request that can no longer be answered before its timeout,
// or nil if there is none. service is the time that the server takes for a request.
func (q *Queue) Expired(now time.Time, service time.Duration) *Request {
	for i, r := range q.requests {
		if r.Class.TimeoutMillis > 0 && now.Add(service+r.ReturnDelay).After(r.SentAt.Add(millis(r.Class.TimeoutMillis))) {
			return q.remove(i)
		}
	}
	return nil
}

// Drop removes the request of a flow, if one waits.
func (q *Queue) Drop(f packet.Flow) {
	for i, r := range q.requests {
		if r.Flow == f {
			q.remove(i)
			return
		}
	}
}

func (q *Queue) remove(i int) *Request {
	r := q.requests[i]
	q.requests = append(q.requests[:i], q.requests[i+1:]...)
	return r
}

// before reports whether r is delivered before other, if an answer would leave the server
// at answerAt. timeToEmpty is how long the queue takes to empty.
func (r *Request) before(other *Request, answerAt time.Time, timeToEmpty time.Duration) bool {
	timely := r.inTime(answerAt)
	switch {
	case timely != other.inTime(answerAt):
		return timely
	case r.Class.Priority != other.Class.Priority:
		return r.Class.Priority < other.Class.Priority
	case timely && timeToEmpty < millis(r.Class.TargetMillis)/2:
		return r.SentAt.Before(other.SentAt)
	default:
		return r.SentAt.After(other.SentAt)
	}
}

// inTime reports whether an answer that leaves the server at answerAt reaches the caller
// within the response-time objective, or whether there is no objective.
func (r *Request) inTime(answerAt time.Time) bool {
	return r.Class.TargetMillis == 0 || !answerAt.Add(r.ReturnDelay).After(r.SentAt.Add(millis(r.Class.TargetMillis)))
}

func millis(n uint16) time.Duration {
	return time.Duration(n) * time.Millisecond
}
