package packetagent

import (
	"math"
	"time"
)

const (
	// failureMemory is the time in which an answer loses all but a third of its
	// weight: a server that got better gets its share back within seconds, also if
	// it was hardly used meanwhile.
	failureMemory = 4 * time.Second
	// suddenMemory is the same for a second look, at which a server that has begun to
	// fail shows after a few requests, however many it has answered before.
	suddenMemory = time.Second
	// failurePrior is the weight of the belief that a server does not fail, in
	// answers, so that a single failure decides little.
	failurePrior = 4
)

// failureMeter measures the recent share of requests that failed at the server.
type failureMeter struct {
	at             time.Time
	recent, sudden failureCount
}

// failureCount counts answers, weighed by their age.
type failureCount struct {
	failures, answers float64
}

// add notes an answer, or a request that the server broke off.
func (m *failureMeter) add(failed bool, now time.Time) {
	m.decay(now)
	for _, c := range []*failureCount{&m.recent, &m.sudden} {
		c.answers++
		if failed {
			c.failures++
		}
	}
}

// share returns the share of failures, or that of the last moments if it is higher.
func (m *failureMeter) share(now time.Time) float32 {
	m.decay(now)
	return float32(max(m.recent.share(), m.sudden.share()))
}

func (m *failureMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.recent.decay(elapsed, failureMemory)
		m.sudden.decay(elapsed, suddenMemory)
		m.at = now
	}
}

func (c *failureCount) share() float64 {
	return c.failures / (c.answers + failurePrior)
}

func (c *failureCount) decay(elapsed, memory time.Duration) {
	f := math.Exp(-elapsed.Seconds() / memory.Seconds())
	c.failures, c.answers = c.failures*f, c.answers*f
}
