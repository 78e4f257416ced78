package packetagent

import (
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/coldstart"
	"github.com/bergamotgw/bergamotgw/internal/flowtable"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Timeouts of what is assumed about the server until pings state it.
const (
	// assumedColdTimeout is how long a server counts as cold after evidence of a restart that no
	// ping states. A restarted server is on the lists of all balancers sooner; one that was only
	// paused never is.
	assumedColdTimeout = 5 * time.Second
	// firstNoticeTimeout is how long after its first ping an agent that has just started waits for
	// one that states the server. Pings of older balancers never do.
	firstNoticeTimeout = time.Second
	// formerEntryTimeout is how long after its start an agent limits the new flows of a server that is
	// older than itself: servers write their entries again within 2 s of a return from a backup.
	formerEntryTimeout = 2500 * time.Millisecond
	// coldMargin is how long after the stated end of its warm-up a server still counts as cold. Pings
	// state whole milliseconds, and their own delay varies.
	coldMargin = 50 * time.Millisecond
)

// restart is the evidence that the server has restarted. The zero value is no evidence.
type restart struct {
	// after is a time before the start of the present server, and at when the first evidence of it
	// was found.
	after, at time.Time
}

// recordRestart records evidence that the present server started after the given time, unless a
// ping has stated that start already.
func (a *Agent) recordRestart(after time.Time, evidence string, now time.Time) {
	if a.noticed.bornAfter(after) || a.restart.after.After(after) {
		return
	}
	if a.assumedCold(now) {
		a.restart.after = after
		return
	}
	a.restart = restart{after, now}
	if a.noticed.coldFlowsPerSecond > 0 {
		a.counts.AssumedRestarts.Add(1)
		a.config.Log.Info("serverAssumedCold").Str("evidence", evidence).Time("after", after).
			Int64("statedStart", a.noticed.born).Float64("perSecond", a.noticed.coldFlowsPerSecond).Send()
	}
}

// bornAfter reports whether the latest stated start of the server is not before a time.
func (k *noticed) bornAfter(t time.Time) bool {
	return k.born > 0 && k.born >= t.UnixMilli()
}

// assumedCold reports whether the server has restarted and no ping has stated that start yet.
func (a *Agent) assumedCold(now time.Time) bool {
	return !a.restart.at.IsZero() && now.Sub(a.restart.at) < assumedColdTimeout && !a.noticed.bornAfter(a.restart.after)
}

// coldLimit returns how many opening packets the server may receive in any second. limited is
// false if the server is not cold, or its service has no limit.
func (a *Agent) coldLimit(now time.Time) (limit int, limited bool) {
	if a.noticePending(now) {
		return 0, true
	}
	if a.noticed.coldFlowsPerSecond == 0 || !now.Before(a.noticed.coldUntil.Add(coldMargin)) && !a.assumedCold(now) && !a.mayNameFormer(now) {
		return 0, false
	}
	return coldstart.Limit(a.noticed.coldFlowsPerSecond, a.config.WarmupOverage, a.config.WarmupSlack), true
}

// mayNameFormer reports whether the server that pings name may be a former one although this process
// cannot know it: a list that was read from a backup lacks the present server until it writes again.
func (a *Agent) mayNameFormer(now time.Time) bool {
	return now.Sub(a.completeness.Started()) < formerEntryTimeout && !a.tableComplete(now)
}

// noticePending reports whether the agent has just started in a deployment that limits cold
// servers, and has not been told yet whether its server is cold.
func (a *Agent) noticePending(now time.Time) bool {
	k := &a.noticed
	return a.config.WarmupOverage > 0 && k.born == 0 && (k.firstPingAt.IsZero() || now.Sub(k.firstPingAt) < firstNoticeTimeout)
}

// ColdLimited reports whether the server counts as cold and its new flows are limited.
func (a *Agent) ColdLimited() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, limited := a.coldLimit(a.config.Clock.Now())
	return limited
}

// coldLimitReached reports whether a further opening packet would exceed what a cold server can
// accept.
func (a *Agent) coldLimitReached(now time.Time) bool {
	limit, limited := a.coldLimit(now)
	return limited && (a.formerWindow(now) || a.syns.Full(now, limit))
}

// formerWindow reports whether a former process of the agent may have delivered opening packets to
// the present server within the window. It is unknown how many.
func (a *Agent) formerWindow(now time.Time) bool {
	return now.Sub(a.completeness.Started()) < coldstart.Window && !a.tableComplete(now) && !a.noticed.bornAfter(a.completeness.Started())
}

// countSyn counts an opening packet that is delivered to the server. Those to a warm server count
// too, and those before the rate is known: it may turn out that the server was cold.
func (a *Agent) countSyn(now time.Time) {
	limit := coldstart.Limit(a.noticed.coldFlowsPerSecond, a.config.WarmupOverage, a.config.WarmupSlack)
	a.syns.Take(now, max(limit, maxUnlimited))
}

// maxUnlimited bounds the opening packets that are counted while no limit is in force; at 24 bytes each
// they take 100 KB.
const maxUnlimited = 4096

// declineCold handles a SYN that would exceed what a cold server can accept: it passes the SYN on.
// It writes no delay into the envelope, so that the SYN does not return as a last resort. If no
// candidate is left, it drops or refuses the flow. A copy for a flow that is open here is dropped.
func (a *Agent) declineCold(e *steer.Envelope, p packet.Packet, raw, rest []byte, now time.Time) {
	flow, hop := p.FlowFromCaller(), e.Hop
	entry := a.table.Get(flow)
	switch {
	case entry != nil && entry.State == flowtable.Open:
		a.counts.ColdDropped.Add(1)
		a.logCold(flow, e, hop, p, "copyDropped", now)
	case a.forwardToNext(e, raw, rest) || a.forwardToBest(e, raw, rest):
		a.counts.ColdForwarded.Add(1)
		a.logCold(flow, e, hop, p, "passedOn", now)
	case p.AckSeq > 0 || a.noticePending(now) || a.copyWillFit(e.Class, p.AckSeq, now):
		a.counts.ColdDropped.Add(1)
		a.logCold(flow, e, hop, p, "dropped", now)
		a.sendNotFound(e, flow, false)
	default:
		a.counts.ColdRefused.Add(1)
		a.config.Log.Warn("flowRefused").Stringer("flow", flow).Str("reason", "coldServers").Uint8("hop", hop).Uint8("of", e.Count).Bool("take", e.MustAdmit).
			Int("inSecond", a.syns.Count(now)).Float64("perSecond", a.noticed.coldFlowsPerSecond).Uint16("objectiveMillis", e.Class.TargetMillis).Send()
		a.sendNotFound(e, flow, false)
		a.shedder.RecordRefused(flow)
		a.reset(flow, p.AckSeq)
	}
}

func (a *Agent) logCold(flow packet.Flow, e *steer.Envelope, hop uint8, p packet.Packet, outcome string, now time.Time) {
	limit, _ := a.coldLimit(now)
	a.config.Log.Info("coldLimitReached").Stringer("flow", flow).Str("outcome", outcome).Uint8("hop", hop).Uint8("of", e.Count).
		Uint32("copy", p.AckSeq).Int("inSecond", a.syns.Count(now)).Int("limit", limit).Bool("assumed", a.assumedCold(now)).
		Bool("pending", a.noticePending(now)).Dur("warmup", max(a.noticed.coldUntil.Sub(now), 0)).Send()
}

// copyWillFit reports whether a later copy of a SYN finds room at the server, and early enough for
// an answer within the response-time objective, or within the timeout if there is no objective.
func (a *Agent) copyWillFit(class steer.Class, number uint32, now time.Time) bool {
	allowed := time.Duration(lo.CoalesceOrEmpty(class.TargetMillis, class.TimeoutMillis)) * time.Millisecond
	limit, limited := a.coldLimit(now)
	for next := number + 1; next <= lastCopy; next++ {
		age := copyAge(next)
		if allowed > 0 && age+a.service.Mean() > allowed {
			return false
		}
		if !limited || a.syns.Expect(now.Add(age-copyAge(number)), now, limit) {
			return true
		}
	}
	return false
}

// lastCopy is the number of the last copy of a SYN that a caller sends.
const lastCopy = 2
