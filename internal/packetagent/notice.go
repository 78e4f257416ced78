package packetagent

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// noticed is what pings of balancers have stated about the server. Balancers read the platform at
// different times, so an older statement never replaces a newer one.
type noticed struct {
	// evacuated is whether the server's zone is evacuated, as of the position evacuationsAt; false
	// before the first statement.
	evacuated     bool
	evacuationsAt position.Position
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

// recordNotice records what a ping states, unless something newer is known.
func (a *Agent) recordNotice(n steer.Notice, now time.Time) {
	k := &a.noticed
	if k.firstPingAt.IsZero() {
		k.firstPingAt = now
	}
	if n.EvacuationsKnown && !n.EvacuationsAt.Before(k.evacuationsAt) {
		k.evacuated, k.evacuationsAt = n.Evacuated, n.EvacuationsAt
	}
	if n.ServerKnown && n.Born >= k.born {
		k.recordWarmup(n, now)
		k.born, k.coldFlowsPerSecond = n.Born, n.ColdFlowsPerSecond
	}
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
