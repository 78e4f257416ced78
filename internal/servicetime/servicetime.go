// Package servicetime estimates how long a backend server works on a request.
package servicetime

import "time"

// gain is the weight of a new observation; the estimate follows a change
// within about ten requests.
const gain = 0.1

// Estimator keeps a moving average of service times.
type Estimator struct {
	mean float64
}

// Observe notes that a request was answered after the given time, when the
// server had so many requests of the given slots at its delivery, itself
// included. The wait behind others is taken off.
func (e *Estimator) Observe(took time.Duration, concurrent, slots int) {
	rounds := 1.0
	if slots > 0 && concurrent > slots {
		rounds += float64(concurrent-slots) / float64(slots)
	}
	service := took.Seconds() / rounds
	if e.mean == 0 {
		e.mean = service
		return
	}
	e.mean += gain * (service - e.mean)
}

// Mean returns the estimate, or 0 if nothing was observed.
func (e *Estimator) Mean() time.Duration {
	return time.Duration(e.mean * float64(time.Second))
}
