package packetagent

import (
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/completeness"
	"github.com/bergamotgw/bergamotgw/internal/evacuation"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// noticed is what pings of balancers have stated about the server. Balancers read the platform at
// different times, so an older statement never replaces a newer one.
type noticed struct {
	// evacuations holds ownZone while the zone of the server is evacuated.
	evacuations evacuation.Zones
	// firstPingAt is when the first ping was received, whatever it stated; zero before.
	firstPingAt time.Time
	// born is the latest start of a server at this address, as a Unix time in milliseconds; 0
	// before the first statement.
	born int64
	// coldUntil is when that server stops being cold.
	coldUntil time.Time
	// coldFlowsPerSecond is how many new flows a second a cold server bears; 0 if there is no limit.
	coldFlowsPerSecond float64
}

// recordNotice records what a ping states, unless something newer is known. An entry of another
// service at the address says nothing about the server. It returns true if the notice has
// completed the table.
func (a *Agent) recordNotice(n steer.Notice, now time.Time) (completed bool) {
	if a.noticed.firstPingAt.IsZero() {
		a.noticed.firstPingAt = now
	}
	a.recordEvacuation(n, now)
	if !n.ServerKnown || n.Service != a.config.Service {
		return false
	}
	a.checkClock(now)
	completed = a.completeness.RecordServer(completeness.Server{Born: n.Born, CommonStart: n.CommonStart}, now)
	if completed || n.Born > a.noticed.born && !a.tableComplete(now) {
		event := lo.Ternary(completed, "tableCompleted", "tableIncomplete")
		a.config.Log.Info(event).Str("reason", string(a.completeness.Reason(now))).Bool("commonStart", n.CommonStart).
			Dur("serverBefore", a.completeness.Started().Sub(time.UnixMilli(n.Born))).Send()
	}
	if k := &a.noticed; n.Born >= k.born {
		k.recordWarmup(n, now)
		k.born, k.coldFlowsPerSecond = n.Born, n.ColdFlowsPerSecond
	}
	a.presence.RecordListed(n.Born, now)
	a.probeIfDue(now)
	a.statePresence(now)
	return completed
}

// recordWarmup records when the server stops being cold. A ping that states no remaining time leaves
// an end that has passed as it is.
func (k *noticed) recordWarmup(n steer.Notice, now time.Time) {
	switch {
	case n.Warmup > 0:
		k.coldUntil = now.Add(n.Warmup)
	case n.Born > k.born:
		k.coldUntil = time.Time{}
	case k.coldUntil.After(now):
		k.coldUntil = now
	}
}

// checkClock records and logs whether the time of day has been set.
func (a *Agent) checkClock(now time.Time) {
	since := a.completeness.ComparedFrom()
	// Round removes the reading of the steady clock, so the difference is one of times of day.
	byDay, steady := now.Round(0).Sub(since.Round(0)), now.Sub(since)
	if a.completeness.RecordElapsed(byDay, steady, now) {
		a.counts.ClockSets.Add(1)
		a.config.Log.Warn("clockSet").Dur("by", byDay-steady).Bool("tableComplete", a.tableComplete(now)).Send()
	}
}
