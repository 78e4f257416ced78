package evenload

import "math"

// Bound returns the shares of requests that wait, and that an agent holds, if long flows are
// placed as evenly as possible: every server is then a queue of two slots with Poisson arrivals
// (M/M/2), whose utilization follows the demand of the zones that it serves. outside is the
// share of requests that are served outside the zone of their caller.
func Bound(utilization, outside float64) (waiting, held float64) {
	const steps = 1000
	amplitude := swing * mixedAmplitude(1-outside)
	for i := range steps {
		demand := 1 + amplitude*math.Sin(2*math.Pi*float64(i)/steps)
		u := min(utilization*demand, 1)
		p := 2 * u * u / (1 + u)
		waiting += demand * p / steps
		held += demand * p * u / steps
	}
	return waiting, held
}

// mixedAmplitude returns the amplitude of the demand at a server that gets the given share of it
// from its own zone and the rest in equal parts from the others, relative to that of a zone. The
// zones' demands are sines that cancel each other out.
func mixedAmplitude(own float64) float64 {
	return math.Abs(own - (1-own)/(zones-1))
}
