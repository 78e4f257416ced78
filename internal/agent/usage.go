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
	// usageInterval is the time between samples.
	usageInterval = 250 * time.Millisecond
	// usageWindow is the time constant of the exponential decay.
	usageWindow = 3 * time.Second
)

// usage computes exponentially weighted means of the utilisation of the slots
// and of the arrival rate of requests.
type usage struct {
	clock   clockwork.Clock
	limiter *admission.Limiter

	mu sync.Mutex
	// meanUtilisation is the mean share of used slots, from 0 to 1.
	meanUtilisation float64
	// arrivalRate is the mean number of requests per second on the agent's own flows.
	arrivalRate float64
	// arrivals counts the requests on the agent's own flows since the last sample.
	arrivals int
	// lastBusy is Busy of the limiter, in slot-seconds, at the last sample;
	// sampledAt is the time of that sample.
	lastBusy  float64
	sampledAt time.Time
}

func newUsage(clock clockwork.Clock, limiter *admission.Limiter) *usage {
	return &usage{clock: clock, limiter: limiter, sampledAt: clock.Now()}
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
	l := u.limiter.Load()
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	elapsed := now.Sub(u.sampledAt).Seconds()
	if elapsed <= 0 || l.Slots == 0 {
		return
	}
	share := (l.Busy - u.lastBusy) / (elapsed * float64(l.Slots))
	weight := 1 - math.Exp(-elapsed/usageWindow.Seconds())
	u.meanUtilisation += (share - u.meanUtilisation) * weight
	u.arrivalRate += (float64(u.arrivals)/elapsed - u.arrivalRate) * weight
	u.lastBusy, u.sampledAt, u.arrivals = l.Busy, now, 0
}

// countArrival counts a request on one of the agent's own flows.
func (u *usage) countArrival() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals++
}

// demand returns the utilisation that the local backend server would have if it
// ran all requests of the agent's own flows; it may exceed 1.
func (u *usage) demand() float64 {
	l := u.limiter.Load()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivalRate * l.MeanService.Seconds() / float64(max(l.Slots, 1))
}

func (u *usage) utilisation() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.meanUtilisation
}
