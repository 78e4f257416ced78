package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// bootTime is how long a server takes from its start to its first open socket.
	bootTime = 300 * time.Millisecond
	// downTime is how long all VMs are without power.
	downTime = 1100 * time.Millisecond
	// startSkew is how far apart VMs start.
	startSkew = 300 * time.Millisecond
)

// playBoot cuts the power of all VMs, and checks the rule RECOVER.
func playBoot(l *lab, trouble bool) (bool, string) {
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 443)
	l.publish(3, service{name: "pass-svc", address: to})
	zones := []string{"zone-a", "zone-b"}
	for n := range 2 {
		l.addBalancer(zones[n])
	}
	for n := range 4 {
		l.addServer(zones[n%2], "pass-svc", 2, 5*time.Millisecond).boot = bootTime
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
	// The servers are started once the daemons run.
	l.sleepUntil(time.Second)
	for _, s := range l.servers {
		s.start()
	}
	l.sleepUntil(6 * time.Second)
	before := l.load(to, 40, l.started.Add(12*time.Second))
	if trouble {
		l.record("all VMs lose power")
		for _, p := range append(l.balancers, l.agents...) {
			p.kill()
		}
		for _, s := range l.servers {
			s.crash()
		}
		time.Sleep(downTime)
		l.startAll()
	}
	back := time.Now()
	l.record("the VMs are back")
	time.Sleep(recoverySeconds * time.Second)
	after := l.load(to, 40, back.Add((recoverySeconds+10)*time.Second))
	time.Sleep(2 * time.Second)
	servedBefore, servedAfter := served(before), served(after)
	seen := fmt.Sprintf("before the fault %d of %d requests were served; of those sent more than %d s after the VMs were back, %d of %d",
		servedBefore, len(before), recoverySeconds, servedAfter, len(after))
	if 4*servedBefore < len(before) {
		l.fail("too few requests were served before the fault")
	}
	return 4*servedAfter >= len(after), seen
}

// startAll starts all VMs within startSkew of each other. Each starts its processes at once: on that
// of a server, the server and the agent beside it.
func (l *lab) startAll() {
	var wg sync.WaitGroup
	for _, p := range l.balancers {
		wg.Go(func() { time.Sleep(rand.N(startSkew)); p.start() })
	}
	for n, p := range l.agents {
		wg.Go(func() {
			time.Sleep(rand.N(startSkew))
			l.servers[n].start()
			p.start()
		})
	}
	wg.Wait()
}

func served(list []*request) (n int) {
	for _, r := range list {
		if r.served {
			n++
		}
	}
	return n
}
