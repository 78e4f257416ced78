package main

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// Planned restarts, one at a time in each class of machines.
const (
	// rollPause is the time from the end of a process to its start, and rollGap the least time from one
	// SIGTERM to the next in a class.
	rollPause = 500 * time.Millisecond
	rollGap   = 1200 * time.Millisecond
	// agentLead is how much earlier an agent is stopped than a balancer starts.
	agentLead = 50 * time.Millisecond
	moveAt    = 9 * time.Second
	dropAt    = 11 * time.Second
	rollFrom  = 16 * time.Second
	rollUntil = 40 * time.Second
	// sessionsPerCaller times the number of callers is the number of sessions.
	sessionsPerCaller = 100
)

// playDropped moves a route to another service and drops the definition of the former one, whose
// servers live and hold flows, and restarts balancers and agents as planned work. With KEEP_SERVICE=1 the
// definition stays.
func playDropped(l *lab, trouble bool) (bool, string) {
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 443)
	l.publish(3, to, "pass-svc", "pass-svc", "pass-next")
	dropped := []string{"pass-next"}
	if os.Getenv("KEEP_SERVICE") == "1" {
		dropped = append(dropped, "pass-svc")
	}
	zones := []string{"zone-a", "zone-b"}
	for n := range 4 {
		l.addBalancer(zones[n%2])
	}
	for n := range 3 {
		l.addServer(zones[n%2], "pass-svc", 2, 2*time.Millisecond)
	}
	for n := range 3 {
		l.addServer(zones[n%2], "pass-next", 2, 2*time.Millisecond)
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
	l.sleepUntil(4 * time.Second)
	for _, c := range l.callers {
		c.mu.Lock()
		for range sessionsPerCaller {
			c.startSession(to)
		}
		c.mu.Unlock()
	}
	l.sleepUntil(moveAt)
	l.publish(8, to, "pass-next", "pass-svc", "pass-next")
	l.sleepUntil(dropAt)
	l.publish(13, to, "pass-next", dropped...)
	l.sleepUntil(rollFrom)
	if trouble {
		l.roll()
	}
	l.sleepUntil(rollUntil + 3*time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaks == 0, fmt.Sprintf("%d open flows were reset; callers got %d resets, and gave up %d requests of %d",
		l.breaks, l.resets, l.unanswered, len(l.ran))
}

// roll restarts the balancers in turn and the agents of the former service in turn: one balancer
// and one agent at a time. A balancer starts while an agent is down.
func (l *lab) roll() {
	for n := 0; time.Since(l.started) < rollUntil; n++ {
		begin := time.Now()
		b, a := l.balancers[n%len(l.balancers)], l.agents[n%3]
		b.terminate()
		time.Sleep(rollPause - agentLead)
		a.terminate()
		time.Sleep(agentLead)
		b.start()
		time.Sleep(rollPause - agentLead)
		a.start()
		time.Sleep(max(rollGap, time.Until(begin.Add(2*rollGap))))
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace time, and waits for the end.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceSeconds * time.Second):
		p.kill()
	}
}
