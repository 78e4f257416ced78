package packetlab

import (
	"slices"
	"time"
)

// The bounds of the new flows at cold servers, as deployments configure them.
const (
	warmupOverage = 1.5
	warmupSlack   = 5
)

// warmupBounds returns the settings of agents that bound the new flows at cold servers; zeros if no
// service has a limit.
func (l *Lab) warmupBounds() (overage, slack float64) {
	if len(l.coldRates) == 0 {
		return 0, 0
	}
	return warmupOverage, warmupSlack
}

// recordColdSyn checks that a cold server receives no more opening packets in the second that ends
// now than its service's limit.
func (l *Lab) recordColdSyn(s *serverVM) {
	rate, now := l.coldRates[s.service.Name], l.clock.Now()
	if rate == 0 || now.Sub(s.born) >= s.service.Cold {
		return
	}
	s.coldSyns = append(slices.DeleteFunc(s.coldSyns, func(at time.Time) bool { return now.Sub(at) > time.Second }), now)
	if n := float64(len(s.coldSyns)); n > rate*warmupOverage+warmupSlack {
		l.addFinding("cold: %.0f opening packets within a second at a server that has run for %v", n, now.Sub(s.born))
	}
}
