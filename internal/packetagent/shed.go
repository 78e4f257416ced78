package packetagent

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/shedding"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// recordOffer records that a new flow was offered to the server. One that must be admitted here was
// offered before.
func (a *Agent) recordOffer(e *steer.Envelope, now time.Time) {
	if !e.MustAdmit {
		a.shedder.RecordOffered(e.Class, now)
	}
}

// shed refuses a new flow that no candidate can serve at once if others shall have its place. It
// returns true if the flow is not admitted. Like other refusals, this one resets only the first
// copy of a SYN.
func (a *Agent) shed(e *steer.Envelope, p packet.Packet, delay time.Duration, now time.Time) bool {
	if a.leaving || a.silent(now) {
		return false
	}
	flow := p.FlowFromCaller()
	o := shedding.Offer{Class: e.Class, Flow: flow, Age: copyAge(p.AckSeq), Wait: delay, ServiceTime: a.service.Mean()}
	reason := a.shedder.Decide(o, now)
	switch reason {
	case shedding.None:
		return false
	case shedding.Priority:
		a.counts.ShedPriority.Add(1)
	case shedding.Retry:
		a.counts.ShedRetry.Add(1)
	}
	if p.AckSeq > 0 {
		a.sendNotFound(e, flow, false)
		return true
	}
	a.config.Log.Warn("flowRefused").Stringer("flow", flow).Str("reason", string(reason)).Dur("expectedDelay", delay).
		Dur("service", o.ServiceTime).Uint8("priority", e.Class.Priority).Uint16("objectiveMillis", e.Class.TargetMillis).
		Int("running", len(a.running)).Int("waiting", a.queue.Len()).Send()
	a.shedder.RecordRefused(flow)
	a.reset(flow, p.AckSeq)
	return true
}
