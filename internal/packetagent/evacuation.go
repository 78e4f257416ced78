package packetagent

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// ownZone stands for the zone of the server in the set of evacuated zones of an agent, which knows
// of no other.
const ownZone = "own"

// Evacuated reports whether the zone of the server is evacuated, as far as balancers have stated.
func (a *Agent) Evacuated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evacuated(a.config.Clock.Now())
}

// evacuated is Evacuated for a caller that holds the lock.
func (a *Agent) evacuated(now time.Time) bool {
	return a.noticed.evacuations.Has(ownZone, now)
}

// recordEvacuation records what a ping states about the zone of the server, unless something newer
// is known.
func (a *Agent) recordEvacuation(n steer.Notice, now time.Time) {
	if !n.EvacuationsKnown {
		return
	}
	stated := catalog.Evacuations{Position: n.EvacuationsAt}
	if n.Evacuated {
		stated.Zones = []string{ownZone}
	}
	before := a.evacuated(now)
	a.noticed.evacuations.Update(stated, now)
	if after := a.evacuated(now); after != before {
		a.config.Log.Warn("evacuationChanged").Bool("evacuated", after).
			Uint64("revision", n.EvacuationsAt.Revision).Uint64("epoch", n.EvacuationsAt.Epoch).Send()
	}
}

// forwardFromEvacuated handles the SYN of a flow that is not open, in an evacuated zone: whatever
// the envelope demands, the server must not receive it. The SYN goes to the next candidate, or to
// the one with the shortest delay of those that declined it, which must admit it. If there is
// none, no candidate can take the flow. opening is true if the server has got an earlier copy, which
// it may yet answer.
func (a *Agent) forwardFromEvacuated(e *steer.Envelope, p packet.Packet, raw, rest []byte, opening bool) {
	flow := p.FlowFromCaller()
	a.counts.Evacuated.Add(1)
	a.config.Log.Info("flowPassedOn").Stringer("flow", flow).Uint8("hop", e.Hop).Uint8("of", e.Count).
		Uint32("copy", p.AckSeq).Bool("take", e.MustAdmit).Str("reason", "evacuated").Send()
	switch {
	case a.forwardToNext(e, raw, rest) || a.forwardToBest(e, raw, rest):
	case p.AckSeq > 0 || opening:
		// An earlier copy may have opened the flow.
		a.sendNotFound(e, flow, false)
	default:
		a.counts.Refused.Add(1)
		a.config.Log.Failure("flowRefused").Stringer("flow", flow).Str("reason", "evacuated").Send()
		a.reset(flow, p.AckSeq)
	}
}
