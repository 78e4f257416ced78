package packetlab

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
)

const (
	// evacuateBound is how long after a request an evacuated zone may get new flows.
	evacuateBound = 5 * time.Second
	// operatorRetry is the interval at which the operator repeats a write that the platform did
	// not accept.
	operatorRetry = 100 * time.Millisecond
	// shortPingLen is the length of the pings of programs that state nothing in them.
	shortPingLen = 2
)

// evacuation is the operator's request to evacuate a zone.
type evacuation struct {
	// since is when the platform accepted it or, if the platform became unreachable before the
	// balancers had to know of it, when the platform returned.
	since time.Time
	// number counts the requests for the zone: only the end of the latest one removes it.
	number int
}

// EvacuateZone makes the operator request the evacuation of a zone, and remove the request after
// the given time, unless the zone is requested again before.
func (l *Lab) EvacuateZone(zone string, d time.Duration) {
	if l.platform.down {
		l.after(operatorRetry, func() { l.EvacuateZone(zone, d) })
		return
	}
	r, ok := l.requests[zone]
	if !ok {
		r.since = l.clock.Now()
	}
	r.number++
	l.requests[zone] = r
	l.evacuates = true
	l.writeRequest(zone, true)
	l.after(d, func() { l.endEvacuation(zone, r.number) })
}

// endEvacuation removes a request unless a later one has replaced it.
func (l *Lab) endEvacuation(zone string, number int) {
	if l.requests[zone].number != number {
		return
	}
	delete(l.requests, zone)
	l.evacuatedUntil = l.clock.Now()
	l.removeRequest(zone)
}

// removeRequest removes the request for a zone from the platform, unless there is a new one.
func (l *Lab) removeRequest(zone string) {
	if _, requested := l.requests[zone]; requested {
		return
	}
	if l.platform.down {
		l.after(operatorRetry, func() { l.removeRequest(zone) })
		return
	}
	l.writeRequest(zone, false)
}

// writeRequest writes or removes the key of a request.
func (l *Lab) writeRequest(zone string, evacuated bool) {
	p := &l.platform
	p.at.Revision++
	p.evacuated = maps.Clone(p.evacuated)
	if p.evacuated == nil {
		p.evacuated = make(map[string]bool)
	}
	if evacuated {
		p.evacuated[zone] = true
	} else {
		delete(p.evacuated, zone)
	}
	switch {
	case l.real == nil:
	case evacuated:
		l.real.store.Evacuate(zone)
	default:
		l.real.store.Return(zone)
	}
}

// rewriteRequests repeats the requests and removals that the platform has lost, in the given epoch,
// as soon as it accepts them.
func (l *Lab) rewriteRequests(epoch uint64) {
	if l.platform.at.Epoch != epoch {
		return
	}
	if l.platform.down {
		l.after(operatorRetry, func() { l.rewriteRequests(epoch) })
		return
	}
	for zone := range l.requests {
		if !l.platform.evacuated[zone] {
			l.writeRequest(zone, true)
		}
	}
	for zone := range l.platform.evacuated {
		if _, requested := l.requests[zone]; !requested {
			l.writeRequest(zone, false)
		}
	}
}

// delayRequests begins the bounds of the requests anew that an outage of the platform, which began
// at the given time and ends now, has kept from the balancers.
func (l *Lab) delayRequests(outageFrom time.Time) {
	for zone, r := range l.requests {
		if outageFrom.Before(r.since.Add(evacuateBound)) {
			r.since = l.clock.Now()
			l.requests[zone] = r
		}
	}
}

// evacuations returns the set of evacuated zones as the platform lists it; unknown until the first
// request, and to a balancer of an older program.
func (b *balancerVM) evacuations() catalog.Evacuations {
	p := &b.lab.platform
	if !b.lab.evacuates || b.older {
		return catalog.Evacuations{}
	}
	e, _ := catalog.NewEvacuations(p.at, lo.Keys(p.evacuated))
	return e
}

// settingMillis returns a bound as real processes get it in their settings; 0 without evacuations.
func (l *Lab) settingMillis(bound time.Duration) float64 {
	return lo.Ternary(l.evacuates, float64(bound.Milliseconds()), 0)
}

// MakeOlder makes a balancer behave as an older program: it does not read the evacuated zones, and
// its pings state nothing.
func (l *Lab) MakeOlder(i int) {
	l.balancers[i].older = true
	l.RestartBalancer(i, 0)
}

// recordOpening checks that the SYN of a new flow has not reached a server in an evacuated zone. It
// must not if the balancer that placed it, or the agent, has had time to learn of the request.
func (l *Lab) recordOpening(s *serverVM, f packet.Flow) {
	r, requested := l.requests[s.zone]
	if !requested || l.clock.Since(r.since) <= evacuateBound {
		return
	}
	if l.platform.down && l.platform.downSince.Before(r.since.Add(evacuateBound)) {
		return
	}
	b := l.placedBy[f]
	agentInformed := l.clock.Since(s.disturbedAt) > contactBound && l.clock.Since(s.agentStartedAt) > contactBound
	placerInformed := b != nil && !b.older && !b.cut && l.clock.Since(b.disturbedAt) > contactBound
	if agentInformed || placerInformed {
		l.addFinding("evacuation: new flow %s at a server of %s, evacuated for %v", f, s.zone, l.clock.Since(r.since))
	}
}
