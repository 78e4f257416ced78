package packetagent

import (
	"math"
	"time"
)

const (
	// slowTimeConstant is the time in which the weight of an answer decays to 1/e, about
	// a third: a server that has recovered gets its share of flows back within seconds,
	// even if it received few requests meanwhile.
	slowTimeConstant = 4 * time.Second
	// fastTimeConstant is the same for a second average, which detects within a few
	// requests that a server has begun to fail, however many it has answered before.
	fastTimeConstant = time.Second
	// failurePrior is the weight, in answers, of the prior assumption that a server does
	// not fail. It keeps the effect of a single failure small.
	failurePrior = 4
)

// failureMeter measures the recent share of requests that failed at the server, as two
// averages with exponential decay.
type failureMeter struct {
	decayedAt  time.Time
	slow, fast failureCount
}

// failureCount counts answers, weighted by their age.
type failureCount struct {
	failures, answers float64
}

// add records an answer, or a request that the server reset.
func (m *failureMeter) add(failed bool, now time.Time) {
	m.decay(now)
	for _, c := range []*failureCount{&m.slow, &m.fast} {
		c.answers++
		if failed {
			c.failures++
		}
	}
}

// share returns the share of failures, from 0 to 1: the higher one of the slow and the
// fast average.
func (m *failureMeter) share(now time.Time) float32 {
	m.decay(now)
	return float32(max(m.slow.share(), m.fast.share()))
}

func (m *failureMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.decayedAt); elapsed > 0 {
		m.slow.decay(elapsed, slowTimeConstant)
		m.fast.decay(elapsed, fastTimeConstant)
		m.decayedAt = now
	}
}

func (c *failureCount) share() float64 {
	return c.failures / (c.answers + failurePrior)
}

func (c *failureCount) decay(elapsed, timeConstant time.Duration) {
	f := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	c.failures, c.answers = c.failures*f, c.answers*f
}
