package agent

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/admission"
)

// Averaging of the utilisation.
const (
	usageInterval = 250 * time.Millisecond
	usageWindow   = 3 * time.Second
)

// usage averages the share of used slots and the rate of requests, with
// exponential decay.
type usage struct {
	clock clockwork.Clock
	gate  *admission.Gate

	mu sync.Mutex
	// mean is from 0 to 1.
	mean float64
	// rate is the mean rate of requests from the agent's own flows, per second.
	rate float64
	// arrivals counts those requests since the last sample.
	arrivals int
	// busy and at are the gate's integral and the time of the last sample.
	busy float64
	at   time.Time
}

func newUsage(clock clockwork.Clock, gate *admission.Gate) *usage {
	return &usage{clock: clock, gate: gate, at: clock.Now()}
}

func (u *usage) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-u.clock.After(usageInterval):
			u.sample()
		}
	}
}

func (u *usage) sample() {
	l := u.gate.Load()
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	elapsed := now.Sub(u.at).Seconds()
	if elapsed <= 0 || l.Slots == 0 {
		return
	}
	share := (l.Busy - u.busy) / (elapsed * float64(l.Slots))
	weight := 1 - math.Exp(-elapsed/usageWindow.Seconds())
	u.mean += (share - u.mean) * weight
	u.rate += (float64(u.arrivals)/elapsed - u.rate) * weight
	u.busy, u.at, u.arrivals = l.Busy, now, 0
}

// arrived counts a request from the agent's own flows.
func (u *usage) arrived() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals++
}

// demand returns the utilisation if all those requests ran here.
func (u *usage) demand() float64 {
	l := u.gate.Load()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rate * l.MeanService.Seconds() / float64(max(l.Slots, 1))
}

func (u *usage) value() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.mean
}
