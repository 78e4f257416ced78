package agent

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// drainPollInterval is the time between checks whether work is in progress.
const drainPollInterval = 50 * time.Millisecond

// moveTimeout is how long callers without requests may take to close their flows.
const moveTimeout = 3 * time.Second

// closeDelay gives the last answers time to reach their callers before the
// flows are closed.
const closeDelay = 300 * time.Millisecond

// Drain starts to drain the agent: it accepts no new flows and sessions, hands
// new requests over to peers, and notifies callers to move.
func (a *Agent) Drain() {
	a.mu.Lock()
	alreadyDraining := !a.drainingSince.IsZero()
	if !alreadyDraining {
		a.drainingSince = a.config.Clock.Now()
		close(a.drainStarted)
	}
	a.mu.Unlock()
	if alreadyDraining {
		return
	}
	a.config.StateChanged()
	a.config.Log.Info().Str("event", "drainStarted").Int("flows", a.work.flows()).Int("requests", a.work.total()).Send()
}

// DrainStarted returns a channel that is closed when the agent starts to drain.
func (a *Agent) DrainStarted() <-chan struct{} {
	return a.drainStarted
}

// WaitDrained waits until no work is in progress, the grace time is over or the
// context ends. Then it closes the flows and returns how many requests this aborted.
func (a *Agent) WaitDrained(ctx context.Context) int {
	deadline := a.config.Clock.Now().Add(a.grace())
	for a.busy() && a.config.Clock.Now().Before(deadline) && ctx.Err() == nil {
		a.pause(ctx, drainPollInterval)
	}
	aborted := a.work.total()
	a.pause(ctx, closeDelay)
	a.closeFlows()
	kinds := lo.MapKeys(a.work.count(), func(_ int, k request.Kind) string { return string(k) })
	a.config.Log.Info().Str("event", "drainEnded").Int("cut", aborted).Interface("cutByKind", kinds).Send()
	return aborted
}

// busy reports whether requests are in progress or, until moveTimeout after the
// start of the drain, flows are open.
func (a *Agent) busy() bool {
	if a.work.total() > 0 {
		return true
	}
	return a.work.flows() > 0 && a.config.Clock.Since(a.drainStartTime()) < moveTimeout
}

func (a *Agent) closeFlows() {
	for _, f := range a.work.list() {
		_ = f.conn.CloseWithError(codeMoved, "moved")
	}
}

func (a *Agent) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.config.Clock.After(d):
	}
}
