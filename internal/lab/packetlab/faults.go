package packetlab

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

func (s *serverVM) entryID() string {
	return fmt.Sprintf("server-%d", s.id)
}

// SetRoutes publishes routes, one for each kind.
func (l *Lab) SetRoutes(version uint64, kinds []Kind, services []string) {
	routes := catalog.Routes{Version: version}
	for i, k := range kinds {
		priority := uint8(2)
		if k.Once {
			priority = 1
		}
		routes.List = append(routes.List, catalog.Route{
			Name: k.Name, Address: k.Address, Shares: []catalog.Share{{Service: services[i], Weight: 1}},
			Class: steer.Class{
				Priority: priority, Once: k.Once,
				TargetMillis: uint16(k.Target.Milliseconds()), TimeoutMillis: uint16(k.Timeout.Milliseconds()),
			},
		})
	}
	l.platform.revision++
	l.platform.routes = routes
	if l.real != nil {
		l.real.publish(routes)
	}
}

// RestartBalancer ends a balancer, and starts it again after the given time.
func (l *Lab) RestartBalancer(i int, down time.Duration) {
	b := l.balancers[i]
	b.stop()
	l.after(down, b.start)
}

// LoseBalancer ends a balancer for good.
func (l *Lab) LoseBalancer(i int) {
	l.balancers[i].stop()
}

// RestartAgent ends an agent whose server lives, and starts it again unless its VM
// is gone by then.
func (l *Lab) RestartAgent(i int, down time.Duration) {
	s := l.servers[i]
	s.stopAgent()
	l.after(down, func() {
		if s.up {
			s.startAgent()
		}
	})
}

// CrashServer ends a server; it starts again after the given time under a new
// entry, unless its VM is gone by then, and its former entry lapses.
func (l *Lab) CrashServer(i int, down time.Duration) {
	s := l.servers[i]
	former := s.entryID()
	s.crash()
	l.after(expireAfter, func() { l.platform.remove(l, former) })
	l.after(down, func() {
		if s.up {
			s.startServer()
		}
	})
}

// LoseServer ends the VM of a server for good; its entry lapses.
func (l *Lab) LoseServer(i int) {
	s := l.servers[i]
	former := s.entryID()
	s.crash()
	s.stopAgent()
	s.up = false
	l.after(expireAfter, func() { l.platform.remove(l, former) })
}

// DrainServer lists a server as draining, and ends it after the given time.
func (l *Lab) DrainServer(i int, after time.Duration) {
	s := l.servers[i]
	s.state, s.drainedAt = catalog.Draining, l.clock.Now()
	l.platform.register(s)
	l.after(after, func() {
		l.platform.remove(l, s.entryID())
		s.crash()
		s.stopAgent()
		s.up = false
	})
}

// SlowServer multiplies the work of a server for the given time.
func (l *Lab) SlowServer(i int, factor float64, d time.Duration) {
	s := l.servers[i]
	s.slow = factor
	l.after(d, func() { s.slow = 1 })
}

// ResetServer makes a server reset the requests that it is given for the given time.
func (l *Lab) ResetServer(i int, d time.Duration) {
	s := l.servers[i]
	s.resets = true
	l.after(d, func() { s.resets = false })
}

// ReuseAddress ends the VM of a server and starts one of another service at its
// address.
func (l *Lab) ReuseAddress(i int, service Service, after time.Duration) {
	s := l.servers[i]
	l.LoseServer(i)
	l.after(after, func() {
		s.up, s.service = true, service
		s.startServer()
		s.startAgent()
	})
}

// LosePower ends every balancer, agent and server at once, and starts them again.
func (l *Lab) LosePower(down time.Duration) {
	for i := range l.balancers {
		if l.balancers[i].up {
			l.RestartBalancer(i, down)
		}
	}
	for i, s := range l.servers {
		if s.up {
			l.RestartAgent(i, down)
			l.CrashServer(i, down)
		}
	}
}

// KillAll ends every balancer and agent at once, and starts them again.
func (l *Lab) KillAll(down time.Duration) {
	for i := range l.balancers {
		if l.balancers[i].up {
			l.RestartBalancer(i, down)
		}
	}
	for i, s := range l.servers {
		if s.up {
			l.RestartAgent(i, down)
		}
	}
}

// PlatformDown makes the platform unreachable for the given time. Entries in
// use lapse at its start if lapse is true, and return 1.5 s after its end.
func (l *Lab) PlatformDown(d time.Duration, expire bool) {
	l.platform.down = true
	l.after(d, func() {
		l.platform.down, l.platform.restoredAt = false, l.clock.Now()
		if !expire {
			return
		}
		l.platform.revision++
		l.platform.servers = nil
		l.after(expiredReturnDelay, func() {
			for _, s := range l.servers {
				if s.up && s.alive {
					l.platform.register(s)
				}
			}
		})
	})
}

// expiredReturnDelay is how long lapsed entries take to return after an outage.
const expiredReturnDelay = 1500 * time.Millisecond

// CutBalancer cuts a balancer off from all other VMs for the given time.
func (l *Lab) CutBalancer(i int, d time.Duration) {
	b := l.balancers[i]
	b.cut = true
	l.after(d, func() { b.cut, b.disturbedAt = false, l.clock.Now() })
}

// IsolateBalancer cuts a balancer off from all balancers and agents for the given
// time, while callers and the platform reach it.
func (l *Lab) IsolateBalancer(i int, d time.Duration) {
	b := l.balancers[i]
	b.isolated = true
	l.after(d, func() { b.isolated = false })
}

// address returns the nth service address.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(8000+n))
}
