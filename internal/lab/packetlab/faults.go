package packetlab

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// entryID returns the ID of the server's entry on the platform.
func (s *serverVM) entryID() string {
	return fmt.Sprintf("server-%d", s.id)
}

// SetRoutes publishes routes, one for each kind, to the service of the same index.
func (l *Lab) SetRoutes(version uint64, kinds []Kind, services []string) {
	l.setShares(version, kinds, lo.Map(services, func(s string, _ int) []catalog.Share { return []catalog.Share{{Service: s, Weight: 1}} }))
}

// setShares publishes routes, one for each kind, with the shares of the same index.
func (l *Lab) setShares(version uint64, kinds []Kind, shares [][]catalog.Share) {
	routes := catalog.Routes{Version: version, Services: lo.Keys(l.coldRates), ColdFlowsPerSecond: l.coldRates}
	for i, k := range kinds {
		priority := uint8(2)
		if k.Once {
			priority = 1
		}
		routes.List = append(routes.List, catalog.Route{
			Name: k.Name, Address: k.Address, Shares: shares[i],
			Class: steer.Class{
				Priority: priority, Once: k.Once,
				TargetMillis: uint16(k.Target.Milliseconds()), TimeoutMillis: uint16(k.Timeout.Milliseconds()),
			},
		})
	}
	l.platform.newest = routes
	l.platform.versions = append(l.platform.versions, writtenVersion{routes, l.clock.Now()})
	l.publish(routes)
}

// writtenVersion is a version of the routes with the time at which the operator wrote it.
type writtenVersion struct {
	routes catalog.Routes
	at     time.Time
}

// publish writes routes to the platform.
func (l *Lab) publish(routes catalog.Routes) {
	l.platform.at.Revision++
	l.platform.routes = routes
	if l.real != nil {
		l.real.publish(routes)
	}
}

// RestartBalancer stops a balancer and starts it again after the given time.
func (l *Lab) RestartBalancer(i int, down time.Duration) {
	b := l.balancers[i]
	b.stop()
	l.after(down, b.start)
}

// LoseBalancer stops a balancer permanently.
func (l *Lab) LoseBalancer(i int) {
	l.balancers[i].stop()
}

// RestartAgent stops an agent while its server keeps running, and starts it again after the
// given time unless its VM has been lost by then.
func (l *Lab) RestartAgent(i int, down time.Duration) {
	s := l.servers[i]
	s.stopAgent()
	l.after(down, func() {
		if s.up {
			s.startAgent()
		}
	})
}

// CrashServer stops a server while its agent keeps running. The server starts again after
// the given time under a new entry, unless its VM has been lost by then. Its former entry
// expires.
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

// LoseServer stops the VM of a server permanently; the entry of the server expires.
func (l *Lab) LoseServer(i int) {
	s := l.servers[i]
	former := s.entryID()
	s.crash()
	s.stopAgent()
	s.up = false
	l.after(expireAfter, func() { l.platform.remove(l, former) })
}

// DrainServer lists a server as draining, and stops its VM after the given time, also if the
// server has restarted and is listed as ready by then.
func (l *Lab) DrainServer(i int, after time.Duration) {
	s := l.servers[i]
	s.state, s.drainedAt = catalog.Draining, l.clock.Now()
	s.stopsAt = s.drainedAt.Add(after)
	l.platform.register(s)
	l.after(after, func() {
		l.platform.remove(l, s.entryID())
		s.crash()
		s.stopAgent()
		s.up = false
	})
}

// ListOther lists an entry of another writer: a process of a service that no route names, at the
// address of a server and started after it.
func (l *Lab) ListOther(i int) {
	s := l.servers[i]
	l.platform.at.Revision++
	l.platform.servers["other"] = catalog.Server{
		ID: "other", Born: l.clock.Now().UnixMilli(), Service: "exporter", Address: s.ip, Zone: s.zone, Slots: 1, State: catalog.Ready,
	}
}

// SlowServer multiplies the time that a server works on each request, for the given time.
func (l *Lab) SlowServer(i int, factor float64, d time.Duration) {
	s := l.servers[i]
	s.slow = factor
	l.after(d, func() { s.slow = 1 })
}

// ResetServer makes a server reset every flow on which it receives a request, for the given
// time.
func (l *Lab) ResetServer(i int, d time.Duration) {
	s := l.servers[i]
	s.resets = true
	l.after(d, func() { s.resets = false })
}

// ReuseAddress stops the VM of a server, and starts a server of another service at its
// address after the given time.
func (l *Lab) ReuseAddress(i int, service Service, after time.Duration) {
	s := l.servers[i]
	l.LoseServer(i)
	l.after(after, func() {
		s.up, s.service = true, service
		s.startServer()
		s.startAgent()
	})
}

// agentStart is how much later than a server with a boot time the agent beside it starts.
const agentStart = 5 * time.Millisecond

// LosePower stops all balancers, agents and servers simultaneously, and starts them again
// after the given time.
func (l *Lab) LosePower(down time.Duration) {
	for i := range l.balancers {
		if l.balancers[i].up {
			l.RestartBalancer(i, down)
		}
	}
	for i, s := range l.servers {
		if s.up {
			l.RestartAgent(i, down+min(agentStart, s.service.Boot))
			l.CrashServer(i, down)
		}
	}
}

// RestartZone stops all servers of a zone and their agents simultaneously, and starts them again
// after the given time.
func (l *Lab) RestartZone(zone string, down time.Duration) {
	for i, s := range l.servers {
		if s.up && s.zone == zone {
			l.RestartAgent(i, down)
			l.CrashServer(i, down)
		}
	}
}

// KillAll stops all balancers and agents simultaneously, and starts them again after the
// given time. The servers keep running.
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

// PlatformDown makes the platform unreachable for the given time. If expire is true, all
// entries of servers expire during the outage and return 1.5 s after its end.
func (l *Lab) PlatformDown(d time.Duration, expire bool) {
	l.platform.down, l.platform.downSince = true, l.clock.Now()
	l.after(d, func() {
		l.platform.down, l.platform.restoredAt = false, l.clock.Now()
		l.delayRequests(l.platform.downSince)
		if !expire {
			return
		}
		l.platform.at.Revision++
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

// expiredReturnDelay is how long after an outage expired entries return.
const expiredReturnDelay = 1500 * time.Millisecond

// CutBalancer cuts a balancer off from all other VMs for the given time.
func (l *Lab) CutBalancer(i int, d time.Duration) {
	b := l.balancers[i]
	b.cut = true
	l.after(d, func() { b.cut, b.disturbedAt = false, l.clock.Now() })
}

// IsolateBalancer cuts a balancer off from all balancers and agents for the given time.
// Callers and the platform still reach it.
func (l *Lab) IsolateBalancer(i int, d time.Duration) {
	b := l.balancers[i]
	b.isolated = true
	l.after(d, func() { b.isolated = false })
}

// address returns the service address with number n.
func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(8000+n))
}
