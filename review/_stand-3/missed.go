package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// Times of the case: a route leads to another service for a few seconds, in which one balancer stands still.
const (
	freezeAt    = 52 * time.Second
	freezeFor   = 3500 * time.Millisecond
	outAt       = 52300 * time.Millisecond
	openAt      = 53300 * time.Millisecond
	backAt      = 54800 * time.Millisecond
	missedRoll  = 65 * time.Second
	missedUntil = 84 * time.Second
	// balancerCount is the number of balancers of aegeas-gw.
	balancerCount = 6
)

// playMissed moves a route to another service and back while one balancer stands still, and later restarts
// the other balancers as planned, one at a time. Without trouble the balancer does not stand still.
func playMissed(l *lab, trouble bool) (bool, string) {
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 443)
	l.publish(3, to, "pass-svc", "pass-svc", "pass-next")
	zones := []string{"zone-a", "zone-b"}
	for n := range balancerCount {
		l.addBalancer(zones[n%2])
	}
	for n := range 4 {
		l.addServer(zones[n%2], []string{"pass-svc", "pass-next"}[n/2], 2, 2*time.Millisecond)
	}
	for n := range 4 {
		c, err := newCaller(l, loopback(callerGroup, n+1))
		if err != nil {
			l.fail("caller: %v", err)
			return true, "not run"
		}
		l.callers = append(l.callers, c)
	}
	for _, p := range append(l.balancers, l.agents...) {
		p.start()
	}
	l.sleepUntil(time.Second)
	for _, s := range l.servers {
		s.start()
	}
	frozen := l.balancers[0]
	l.sleepUntil(freezeAt)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	l.sleepUntil(outAt)
	l.publish(8, to, "pass-next", "pass-svc", "pass-next")
	l.sleepUntil(openAt)
	for _, c := range l.callers {
		c.mu.Lock()
		for range sessionsPerCaller {
			c.startSession(to)
		}
		c.mu.Unlock()
	}
	l.sleepUntil(backAt)
	l.publish(13, to, "pass-svc", "pass-svc", "pass-next")
	l.sleepUntil(freezeAt + freezeFor)
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	l.sleepUntil(missedRoll)
	for n := 0; time.Since(l.started) < missedUntil; n++ {
		begin := time.Now()
		p := l.balancers[1+n%(balancerCount-1)]
		p.terminate()
		time.Sleep(rollPause)
		p.start()
		time.Sleep(max(rollGap, time.Until(begin.Add(2*rollGap))))
	}
	l.sleepUntil(missedUntil + 3*time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaks == 0, fmt.Sprintf("%d open flows were reset; callers got %d resets, and gave up %d requests of %d",
		l.breaks, l.resets, l.unanswered, len(l.ran))
}
