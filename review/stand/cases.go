package main

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// testCase is a scripted case with the rule that it judges.
type testCase struct {
	rule string
	play func(l *lab, trouble bool)
}

// cases holds the cases by the names that their scripts give.
var cases = map[string]testCase{
	"leaving-balancer": {"FLOW", leavingBalancer},
	"foreign-service":  {"FLOW", foreignService},
	"changed-weights":  {"FLOW", changedWeights},
	"moved-route":      {"FLOW", movedRoute},
	"lost-readers":     {"DRAIN", lostReaders},
}

// Services of the deployment.
const (
	sessions = "pass-svc"
	portal   = "portal-svc"
)

// sessionAddress and portalAddress are the service addresses.
func (l *lab) sessionAddress() netip.AddrPort { return netip.AddrPortFrom(l.ip(9, 1), 443) }
func (l *lab) portalAddress() netip.AddrPort  { return netip.AddrPortFrom(l.ip(9, 1), 8443) }

// farFronts and fronts are the numbers of balancers in the other zone and in that of the clients.
const (
	farFronts = 4
	fronts    = 3
)

// seeds are the control addresses of three balancers.
func (l *lab) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for n := byte(1); n <= 3; n++ {
		seeds = append(seeds, netip.AddrPortFrom(l.ip(1, n), l.ports.control))
	}
	return seeds
}

// startSmall starts seven balancers in two zones, four endpoints for sessions and two for the
// portal, and waits until all machines are in touch.
func startSmall(l *lab) []*endpoint {
	l.publishSessions(share{sessions, 1})
	for n := byte(1); n <= farFronts; n++ {
		l.startBalancer(n, farZone, l.seeds())
	}
	for n := byte(farFronts + 1); n <= farFronts+fronts; n++ {
		l.startBalancer(n, zone, l.seeds())
		l.router.add(l.ip(1, n))
	}
	var endpoints []*endpoint
	for n := byte(1); n <= 4; n++ {
		endpoints = append(endpoints, l.addEndpoint(n, fmt.Sprintf("i-session%d", n), sessions, l.seeds()))
	}
	for n := byte(5); n <= 6; n++ {
		endpoints = append(endpoints, l.addEndpoint(n, fmt.Sprintf("i-portal%d", n), portal, l.seeds()))
	}
	l.waitReady(fronts)
	time.Sleep(contact + time.Second)
	return endpoints
}

// publishSessions writes a config with the given shares of the route to the sessions.
func (l *lab) publishSessions(shares ...share) {
	l.publish(map[netip.AddrPort][]share{l.sessionAddress(): shares, l.portalAddress(): {{portal, 1}}})
}

// openSplit writes a config whose route to the sessions leads to both services, and opens flows.
func openSplit(l *lab) {
	startSmall(l)
	l.publishSessions(share{sessions, 50}, share{portal, 50})
	time.Sleep(applyBound)
	c := startClient(l, l.ip(3, 1))
	for range 40 {
		c.open(l.sessionAddress(), 400*time.Millisecond, 100)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
}

// movedRoute: a config moves a route from two services to one of them. Then the balancers are
// restarted in turn.
func movedRoute(l *lab, trouble bool) {
	openSplit(l)
	if trouble {
		l.publishSessions(share{sessions, 1})
	}
	time.Sleep(applyBound)
	for n := byte(farFronts + 1); n <= farFronts+fronts; n++ {
		restart(l, n)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
}

// changedWeights: a config changes the weights of the two services of a route. Then the agents
// beside the endpoints of both are restarted in turn.
func changedWeights(l *lab, trouble bool) {
	openSplit(l)
	if trouble {
		l.publishSessions(share{sessions, 90}, share{portal, 10})
	}
	time.Sleep(applyBound)
	for _, e := range l.endpoints {
		l.stop(e.agent)
		time.Sleep(restartTime)
		l.startAgent(e.machine, e.service, l.seeds())
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
}

// restart stops a balancer of the clients' zone, and starts it again.
func restart(l *lab, n byte) {
	l.stop(fmt.Sprintf("front-%d", n))
	time.Sleep(restartTime)
	l.startBalancer(n, zone, l.seeds())
}

// foreignService: another writer registers a process of its own, of a service that no config
// names, on the machine of an endpoint. Then the balancers are restarted in turn.
func foreignService(l *lab, trouble bool) {
	endpoints := startSmall(l)
	c := startClient(l, l.ip(3, 1))
	for range 40 {
		c.open(l.sessionAddress(), 400*time.Millisecond, 100)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		e := busiest(endpoints)
		l.store.put("servers/exporter-1", map[string]any{
			"service": "node-exporter", "address": netip.AddrPortFrom(e.app.Addr(), 9100).String(), "zone": zone, "version": "v1",
			"slots": 1, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		l.record("another writer has written servers/exporter-1, of a service that no config names, on the machine of %s", e.id)
	}
	time.Sleep(2 * time.Second)
	for n := byte(farFronts + 1); n <= farFronts+fronts; n++ {
		restart(l, n)
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
}

// busiest returns the endpoint that holds most open flows.
func busiest(endpoints []*endpoint) *endpoint {
	return slices.MaxFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(a.openFlows(), b.openFlows()) })
}

// checkDrain records an opening packet that reaches a draining endpoint after the bound.
func (l *lab) checkDrain(e *endpoint, key flowKey) {
	if e.drainAcked.IsZero() {
		return
	}
	if late := time.Since(e.drainAcked); late > drainBound {
		l.breach("DRAIN", "the opening packet of %s reached endpoint %s %d ms after the store had acknowledged that it drains", key, e.id, late.Milliseconds())
	}
}

// leavingBalancer: endpoints are replaced one after the other, and two balancers of a zone are
// restarted, one shortly after the other.
func leavingBalancer(l *lab, trouble bool) {
	live := startSmall(l)[:4]
	c := startClient(l, l.ip(3, 1))
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(30 * time.Millisecond):
				c.open(l.sessionAddress(), 250*time.Millisecond, 10)
			}
		}
	})
	next := byte(10)
	for range 10 {
		var step sync.WaitGroup
		replaced := live[:2]
		live = live[2:]
		step.Go(func() {
			for range replaced {
				time.Sleep(300 * time.Millisecond)
				live = append(live, l.addEndpoint(next, fmt.Sprintf("i-session%d", next), sessions, l.seeds()))
				next++
			}
			time.Sleep(time.Second)
			for _, e := range replaced {
				e.drain()
			}
			time.Sleep(drainBound + time.Second)
			for _, e := range replaced {
				l.removeEndpoint(e)
			}
		})
		if trouble {
			step.Go(func() { restart(l, farFronts+3) })
			step.Go(func() {
				time.Sleep(400 * time.Millisecond)
				restart(l, farFronts+2)
			})
		}
		step.Wait()
		time.Sleep(time.Second)
	}
	close(done)
	wg.Wait()
}

// lostReaders: right after the store has acknowledged that an endpoint drains, nine of ten
// balancers lose power for darkTime. The one that is left is that of the clients' zone.
func lostReaders(l *lab, trouble bool) {
	const others = 9
	l.publishSessions(share{sessions, 1})
	for n := byte(1); n <= others; n++ {
		l.startBalancer(n, farZone, l.seeds())
	}
	l.startBalancer(others+1, zone, l.seeds())
	l.router.add(l.ip(1, others+1))
	var live []*endpoint
	for n := byte(1); n <= 4; n++ {
		live = append(live, l.addEndpoint(n, fmt.Sprintf("i-session%d", n), sessions, l.seeds()))
	}
	l.waitReady(1)
	l.onOpening(l.checkDrain)
	c := startClient(l, l.ip(3, 1))
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(15 * time.Millisecond):
				c.open(l.sessionAddress(), 300*time.Millisecond, 4)
			}
		}
	})
	time.Sleep(contact + time.Second)
	for n := byte(10); n < 18; n++ {
		live = append(live, l.addEndpoint(n, fmt.Sprintf("i-session%d", n), sessions, l.seeds()))
		time.Sleep(contact)
		e := live[0]
		live = live[1:]
		e.drain()
		if trouble {
			for k := byte(1); k <= others; k++ {
				l.kill(fmt.Sprintf("front-%d", k))
			}
		}
		time.Sleep(darkTime)
		if trouble {
			for k := byte(1); k <= others; k++ {
				l.startBalancer(k, farZone, l.seeds())
			}
		}
		time.Sleep(500 * time.Millisecond)
		l.removeEndpoint(e)
	}
	close(done)
	wg.Wait()
}
