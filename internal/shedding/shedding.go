// Package shedding decides which new flows a backend server refuses while the servers of its service
// are full, so that flows that can be answered in time are not delayed by those that cannot. A kind
// is the class of a route. It decides nothing while all kinds have the same priority.
package shedding

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/recent"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Parameters of the decision.
const (
	// memory is the time constant with which past flows are forgotten, and how long a caller that was
	// refused is expected to retry.
	memory = time.Second
	// minShare is the part of the admitted flows that each kind keeps, even if they are answered
	// late. Ten kinds together keep at most half.
	minShare = 0.05
	// minOffered is how many flows of a kind must have been offered lately for it to compete: one
	// within the last second or so.
	minOffered = 0.5
	// maxKinds and maxCallers bound the memory for kinds and for refused callers. Of
	// further kinds none is remembered until others have ended.
	maxKinds   = 64
	maxCallers = 4096
)

// Reason is why a flow is refused.
type Reason string

// Reasons of refusals.
const (
	// None means that the flow is admitted.
	None Reason = ""
	// Priority means that the flow would be answered late while kinds of higher priority compete.
	Priority Reason = "priority"
	// Retry means that the flow would be answered late, and that its caller has just been refused.
	Retry Reason = "retry"
)

// Offer is a new flow that no server can serve at once, at the server that would admit it.
type Offer struct {
	// Class is the kind of the flow.
	Class steer.Class
	// Flow identifies it.
	Flow packet.Flow
	// Age is the time since the caller sent the first SYN, Wait how long the request will wait, and
	// ServiceTime how long the server will take for it.
	Age, Wait, ServiceTime time.Duration
}

// Shedder holds what was offered and admitted lately. It is not safe for concurrent use.
type Shedder struct {
	kinds map[steer.Class]*kind
	// refused counts the refusals of callers at a service address that have not been retried since.
	refused *recent.Map[packet.Flow, int]
}

// kind counts the flows of one kind, with weights that decay over the time memory.
type kind struct {
	offered, admitted float64
	at                time.Time
}

// NewShedder returns a shedder that has seen no flows.
func NewShedder(clock clockwork.Clock) *Shedder {
	return &Shedder{kinds: make(map[steer.Class]*kind), refused: recent.NewMap[packet.Flow, int](clock, memory, maxCallers)}
}

// RecordOffered records that a flow was offered to the server.
func (s *Shedder) RecordOffered(class steer.Class, now time.Time) {
	s.kind(class, now).offered++
}

// RecordAdmitted records that the server admitted a flow.
func (s *Shedder) RecordAdmitted(class steer.Class, now time.Time) {
	s.kind(class, now).admitted++
}

// RecordRefused records that a flow was reset, for whatever reason.
func (s *Shedder) RecordRefused(f packet.Flow) {
	n, _ := s.refused.Get(anyPort(f))
	s.refused.Put(anyPort(f), n+1)
}

// anyPort returns the flow without the caller's port: a retry comes from a new one.
func anyPort(f packet.Flow) packet.Flow {
	f.CallerPort = 0
	return f
}

// Decide returns why a flow is to be refused, or None.
func (s *Shedder) Decide(o Offer, now time.Time) Reason {
	if !o.late() {
		return None
	}
	higher, lower := s.competing(o.Class, now)
	switch {
	case (higher || lower) && s.retries(o.Flow):
		return Retry
	case higher && !s.belowShare(o.Class, now):
		return Priority
	default:
		return None
	}
}

// late reports whether the server cannot answer all requests before this one and this one within its
// response-time objective: if it is admitted, it or another one is late.
func (o Offer) late() bool {
	objective := time.Duration(o.Class.TargetMillis) * time.Millisecond
	return objective > 0 && o.Age+o.Wait+o.ServiceTime > objective
}

// competing reports whether flows of higher and of lower priority were offered lately.
func (s *Shedder) competing(class steer.Class, now time.Time) (higher, lower bool) {
	for c := range s.kinds {
		if s.kind(c, now).offered < minOffered {
			continue
		}
		higher = higher || c.Priority < class.Priority
		lower = lower || c.Priority > class.Priority
	}
	return higher, lower
}

// belowShare reports whether fewer flows of a kind were admitted lately than it keeps.
func (s *Shedder) belowShare(class steer.Class, now time.Time) bool {
	total := lo.SumBy(lo.Keys(s.kinds), func(c steer.Class) float64 { return s.kind(c, now).admitted })
	return s.kind(class, now).admitted < minShare*total
}

// retries reports whether the caller of a flow was refused at the same service address and has not
// retried since; this is its retry. Callers behind one address have as many retries as refusals.
func (s *Shedder) retries(f packet.Flow) bool {
	n, _ := s.refused.Get(anyPort(f))
	if n == 0 {
		return false
	}
	s.refused.Put(anyPort(f), n-1)
	return true
}

// kind returns the counts of a kind as of now.
func (s *Shedder) kind(class steer.Class, now time.Time) *kind {
	k := s.kinds[class]
	if k == nil {
		k = &kind{at: now}
		if len(s.kinds) >= maxKinds {
			s.forget(now)
		}
		if len(s.kinds) < maxKinds {
			s.kinds[class] = k
		}
		return k
	}
	if age := now.Sub(k.at); age > 0 {
		weight := math.Exp(-age.Seconds() / memory.Seconds())
		k.offered, k.admitted, k.at = k.offered*weight, k.admitted*weight, now
	}
	return k
}

// forget removes the kinds of which no flow was offered lately.
func (s *Shedder) forget(now time.Time) {
	s.kinds = lo.PickBy(s.kinds, func(c steer.Class, _ *kind) bool { return s.kind(c, now).offered >= minOffered })
}
