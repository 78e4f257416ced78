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
	// failurePrior is the weight of the belief that a server does not fail, in
	// answers, so that a single failure decides little.
	failurePrior = 4
)

// failureMeter measures the recent share of answers that tell of a failure.
type failureMeter struct {
	at                time.Time
	failures, answers float64
}

// add notes an answer.
func (m *failureMeter) add(failed bool, now time.Time) {
	m.decay(now)
	m.answers++
	if failed {
		m.failures++
	}
}

// share returns the share of failures.
func (m *failureMeter) share(now time.Time) float32 {
	m.decay(now)
	return float32(m.failures / (m.answers + failurePrior))
}

func (m *failureMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / failureMemory.Seconds())
		m.failures, m.answers = m.failures*f, m.answers*f
		m.at = now
	}
}
