// Package coldshare estimates at which rate one of several balancers may send new flows to a cold
// backend server. The balancers do not know of each other's flows. Each raises its own rate while
// the server's agent admits what it sends, and lowers it when the agent passes a flow on, so that
// together they stay near the rate that the server can accept.
package coldshare

import (
	"time"

	"github.com/samber/lo"
)

// Parameters of the estimate, as shares of the rate that the server can accept.
const (
	// initialShare is the rate of a balancer that has sent nothing yet. An availability zone has
	// a few balancers, and a flow that is passed on costs one hop.
	initialShare = 0.25
	// minShare keeps the estimate from vanishing: some flows must be sent to find out that the
	// server accepts more.
	minShare = 1.0 / 64
	// raise is added for each admitted flow.
	raise = 1.0 / 32
	// lowering multiplies the rate when a flow is passed on.
	lowering = 0.5
	// loweringInterval is the shortest time between two lowerings: flows that were sent before the
	// first one took effect say nothing new.
	loweringInterval = 250 * time.Millisecond
)

// Share is the estimate for one server. The zero value has sent nothing. It is not safe for
// concurrent use.
type Share struct {
	// part is the rate of this balancer as a share of the server's; 0 before the first flow.
	part float64
	// nextAt is when the next flow may be sent.
	nextAt    time.Time
	loweredAt time.Time
}

// Due reports whether a flow may be sent to the server now.
func (s *Share) Due(now time.Time) bool {
	return !now.Before(s.nextAt)
}

// RecordSent records that a flow was sent. perSecond is the rate that the server can accept.
func (s *Share) RecordSent(perSecond float64, now time.Time) {
	s.nextAt = lo.Latest(s.nextAt, now).Add(time.Duration(float64(time.Second) / (s.current() * perSecond)))
}

// RecordAdmitted records that the agent admitted a flow.
func (s *Share) RecordAdmitted() {
	s.part = min(s.current()+raise, 1)
}

// RecordPassedOn records that the agent passed a flow on or dropped it.
func (s *Share) RecordPassedOn(now time.Time) {
	if now.Sub(s.loweredAt) < loweringInterval {
		return
	}
	s.part, s.loweredAt = max(s.current()*lowering, minShare), now
}

func (s *Share) current() float64 {
	return lo.CoalesceOrEmpty(s.part, initialShare)
}
