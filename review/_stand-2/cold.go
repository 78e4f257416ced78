package main

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Terms of cold servers.
const (
	warmupOverage   = 1.5
	warmupSlack     = 5
	warmupPerSecond = 4
	warmupTime      = 2 * time.Second
	serverCount     = 1
	// crashTime is how long the server is down.
	crashTime = 250 * time.Millisecond
)

// playCold crashes a server, which is back a moment later, and checks the rule FAILBACK.
func playCold(l *lab, trouble bool) (bool, string) {
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 443)
	l.bounds["warmupOverage"], l.bounds["warmupSlack"] = warmupOverage, warmupSlack
	l.bounds["evacuateMillis"] = 5000
	l.publish(3, service{name: "cassa", address: to, warmup: warmupTime, warmupPerSecond: warmupPerSecond})
	zones := []string{"zone-a", "zone-b"}
	for n := range 2 {
		l.addBalancer(zones[n])
	}
	for n := range serverCount {
		l.addServer(zones[n%2], "cassa", 2, 20*time.Millisecond).warmup = warmupTime
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
	l.sleepUntil(6 * time.Second)
	type result struct{ list []*request }
	done := make(chan result)
	go func() { done <- result{l.load(to, 60, l.started.Add(16*time.Second))} }()
	l.sleepUntil(12 * time.Second)
	s := l.servers[0]
	if trouble {
		s.crash()
		time.Sleep(crashTime)
		s.start()
	}
	r := <-done
	time.Sleep(2 * time.Second)
	most, limit := l.mostCold(s), int(warmupPerSecond*warmupOverage+warmupSlack)
	return most <= limit, fmt.Sprintf("%d of %d requests served; in one second the cold server took %d requests, at most %d are allowed",
		served(r.list), len(r.list), most, limit)
}

// mostCold returns the largest number of requests that were sent and arrived within one second in
// which the server was cold after its latest start. A start before the traffic does not count.
func (l *lab) mostCold(s *server) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.lifetime == 1 {
		return 0
	}
	type pair struct{ sent, arrived time.Time }
	var list []pair
	seen := make(map[packet.Flow]bool)
	for _, t := range l.taken {
		if t.server == s && t.lifetime == s.lifetime && t.at.Sub(s.startedAt) < s.warmup && !seen[t.flow] {
			seen[t.flow] = true
			list = append(list, pair{l.openedAt[t.flow], t.at})
		}
	}
	most := 0
	for _, p := range list {
		for _, from := range []time.Time{p.sent, p.arrived} {
			n := 0
			for _, q := range list {
				if !q.sent.Before(from) && q.arrived.Before(from.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	slices.SortFunc(list, func(a, b pair) int { return a.arrived.Compare(b.arrived) })
	for _, p := range list {
		l.record("cold: sent %.3f, arrived %.3f", p.sent.Sub(l.started).Seconds(), p.arrived.Sub(l.started).Seconds())
	}
	return most
}
