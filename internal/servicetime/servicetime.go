// Package servicetime estimates how long a backend server takes for a request, without the
// time that the request waits for a slot.
package servicetime

import "time"

// gain is the weight of a new observation in the average: the estimate follows a change
// within about ten requests.
const gain = 0.1

// Estimator computes an exponentially weighted moving average of service times. Its zero
// value is ready to use.
type Estimator struct {
	mean float64
}

// Observe adds a request that was answered in the time took. concurrent is the number of
// requests, including this one, that the server had when it was delivered, and slots is how
// many it runs at a time. The estimated wait behind other requests is subtracted.
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

// Mean returns the estimate, or 0 before the first observation.
func (e *Estimator) Mean() time.Duration {
	return time.Duration(e.mean * float64(time.Second))
}
