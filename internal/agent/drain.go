package agent

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// drainPoll is the time between looks at what is still open.
const drainPoll = 50 * time.Millisecond

// moveTime is how long callers without requests have to leave by themselves.
const moveTime = 3 * time.Second

// closeDelay leaves time for the last answers to reach their callers.
const closeDelay = 300 * time.Millisecond

// Drain makes the agent leave: it takes no new flows and sessions, hands new
// requests to peers, and asks callers to move.
func (a *Agent) Drain() {
	a.mu.Lock()
	already := !a.drainingSince.IsZero()
	if !already {
		a.drainingSince = a.config.Clock.Now()
		close(a.draining)
	}
	a.mu.Unlock()
	if already {
		return
	}
	a.config.StateChanged()
	a.config.Log.Info().Str("event", "drainStarted").Int("flows", a.work.flows()).Int("requests", a.work.total()).Send()
}

// DrainStarted returns a channel that is closed when the agent starts to leave.
func (a *Agent) DrainStarted() <-chan struct{} {
	return a.draining
}

// WaitDrained waits until nothing is in progress, the grace time is over or the
// context ends, and returns how many requests are cut by leaving now.
func (a *Agent) WaitDrained(ctx context.Context) int {
	deadline := a.config.Clock.Now().Add(a.grace())
	for a.busy() && a.config.Clock.Now().Before(deadline) && ctx.Err() == nil {
		a.pause(ctx, drainPoll)
	}
	cut := a.work.total()
	a.pause(ctx, closeDelay)
	a.closeFlows()
	kinds := lo.MapKeys(a.work.count(), func(_ int, k request.Kind) string { return string(k) })
	a.config.Log.Info().Str("event", "drainEnded").Int("cut", cut).Interface("cutByKind", kinds).Send()
	return cut
}

// busy reports whether a caller still has work here. Flows without requests
// count until their callers had time to move.
func (a *Agent) busy() bool {
	if a.work.total() > 0 {
		return true
	}
	return a.work.flows() > 0 && a.config.Clock.Since(a.drainStart()) < moveTime
}

func (a *Agent) closeFlows() {
	for _, f := range a.work.list() {
		_ = f.conn.CloseWithError(closedMoved, "moved")
	}
}

func (a *Agent) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.config.Clock.After(d):
	}
}
