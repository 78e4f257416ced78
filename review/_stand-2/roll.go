package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Planned restarts, one at a time in each class of machines.
const (
	// rollPause is the time from the end of a process to its start, and rollGap that from its start
	// to the SIGTERM of the next one. With the time that a process takes to leave, one is
	// stopped each 1.2 s at most.
	rollPause = 500 * time.Millisecond
	rollGap   = 700 * time.Millisecond
	rollUntil = 80 * time.Second
	// sessionsPerCaller times the number of callers is the number of sessions.
	sessionsPerCaller = 300
	// reorderWindow and strayLimit are the bounds of the rule.
	reorderWindow = 2 * time.Second
	strayLimit    = 3
)

// strays counts the packets of an open flow that have reached other servers since the last one that
// reached its own.
type strays struct {
	// owner is the server that has the end of the handshake; nil before.
	owner           *server
	count           int
	since           time.Time
	reported, ended bool
}

func (l *lab) strays(f packet.Flow) *strays {
	s := l.byFlow[f]
	if s == nil {
		s = &strays{}
		l.byFlow[f] = s
	}
	return s
}

// recordEnded records that a caller has closed a flow.
func (l *lab) recordEnded(f packet.Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strays(f).ended = true
}

func (l *lab) recordUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered++
}

// recordPacket records that a packet other than a SYN has reached a server, and checks the rule FLOW. Each
// arrival counts, as on the bench: also those of a packet at several servers, and of a late copy.
func (l *lab) recordPacket(s *server, f packet.Flow, holds bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.strays(f)
	switch {
	case holds:
		r.owner, r.count = s, 0
	case r.owner == nil || r.ended:
	default:
		if r.count == 0 {
			r.since = time.Now()
		}
		r.count++
		if took := time.Since(r.since); r.count >= strayLimit && took >= reorderWindow && !r.reported {
			r.reported = true
			l.breaks++
			l.record("FLOW: for %.1f s %d packets of %s reached other servers, none its own, server %d", took.Seconds(), r.count, f, r.owner.n)
		}
	}
}

// playRoll restarts the agents in turn, and the balancers in turn, as planned work.
func playRoll(l *lab, trouble bool) (bool, string) {
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 443)
	l.publish(3, service{name: "pass-svc", address: to})
	zones := []string{"zone-a", "zone-b"}
	for n := range 4 {
		l.addBalancer(zones[n%2])
	}
	for n := range 6 {
		l.addServer(zones[n%2], "pass-svc", 2, 2*time.Millisecond)
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
	l.sleepUntil(5 * time.Second)
	for _, c := range l.callers {
		c.mu.Lock()
		for range sessionsPerCaller {
			c.startSession(to)
		}
		c.mu.Unlock()
	}
	l.sleepUntil(8 * time.Second)
	if trouble {
		done := make(chan struct{})
		go func() { defer close(done); l.roll(l.agents) }()
		l.roll(l.balancers)
		<-done
	}
	l.sleepUntil(rollUntil + 5*time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaks == 0, fmt.Sprintf("FLOW (b) was broken for %d flows; callers got %d resets, and gave up %d requests of %d",
		l.breaks, l.resets, l.unanswered, len(l.ran))
}

// roll stops and starts processes in turn.
func (l *lab) roll(list []*process) {
	for n := 0; time.Since(l.started) < rollUntil; n++ {
		p := list[n%len(list)]
		stoppedAt := time.Now()
		p.terminate()
		time.Sleep(rollPause)
		p.start()
		time.Sleep(max(rollGap, time.Until(stoppedAt.Add(1200*time.Millisecond))))
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
