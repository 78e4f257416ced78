package packetbalancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/flowplacement"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/routehistory"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// newZonedBalancer returns a balancer on a simulated clock, with the servers of one service in
// six zones. Agents that receive a ping or a packet report immediately.
func newZonedBalancer(agents int) (b *Balancer, clock *clockwork.FakeClock, pings *int) {
	clock = clockwork.NewFakeClock()
	var list []catalog.Server
	for i := range agents {
		list = append(list, catalog.Server{
			ID: fmt.Sprint("s", i), Service: "pass", Slots: 2, State: catalog.Ready, Zone: string(rune('a' + i%6)),
			Address: netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}),
		})
	}
	c := catalog.NewCatalog().WithRoutes(catalog.Routes{Version: 1, List: []catalog.Route{{
		Name: "r", Address: service, Class: steer.Class{TargetMillis: 400}, Shares: []catalog.Share{{Service: "pass", Weight: 1}},
	}}}).WithServers(catalog.NewServers(position.Position{Revision: 1}, list))
	pings = new(int)
	b = NewBalancerWithTransport(Config{
		Front: netip.AddrPortFrom(loopback, 1), Back: netip.AddrPortFrom(loopback, 2), Zone: "a", AgentPort: 7001,
		MaxFlow: time.Minute, Bounds: bounds.Default(), Codec: platform.PacketCodec(),
		Catalog: func() *catalog.Catalog { return c }, Corroborated: func() bool { return true },
		NoCorroboratedPeer: func() bool { return false }, ReadAt: clock.Now,
		RouteHistory: routehistory.NewHistory(time.Minute, time.Minute),
		ReadSince:    clock.Now, RequestReading: func() {},
		Digest: func(context.Context, []byte, netip.AddrPort) {}, Clock: clock,
		Log: eventlog.NewDirectLog(zerolog.Nop(), clock),
	}, Transport{
		SendFleetDatagram: func(raw []byte, to netip.AddrPort) error {
			kind, _ := steer.KindOf(raw)
			if kind == steer.Ping {
				*pings++
			}
			if kind == steer.Ping || kind == steer.Forward {
				var report [steer.ReportLen]byte
				steer.PutReport(report[:], steer.Load{ServiceTime: 20 * time.Millisecond}, packet.Flow{})
				b.handleReport(report[:], to)
			}
			return nil
		},
		SendToCaller: func([]byte, netip.AddrPort) error { return nil },
	})
	b.SetServers(c.Servers)
	return b, clock, pings
}

// TestPingsDoNotGrowWithTheFleet places flows at a steady rate in services of 30 to 2,000
// servers. After the first pings to all servers, the number of pings depends on the balancer's
// own flows, not on the number of servers.
func TestPingsDoNotGrowWithTheFleet(t *testing.T) {
	const warmup, seconds, flowsPerSecond, mostPerSecond = 2, 20, 20, 100
	for _, agents := range []int{30, 100, 300, 2000} {
		b, clock, pings := newZonedBalancer(agents)
		const rounds = int(time.Second / PingInterval)
		for n := range (warmup + seconds) * rounds {
			if n == warmup*rounds {
				*pings = 0
			}
			clock.Advance(PingInterval)
			for i := range flowsPerSecond * int(PingInterval) / int(time.Second) {
				f, _ := flowPacket(n*100+i, 0)
				b.HandleCallerPacket(standin.EncodePacket(packet.Packet{
					SourceIP: f.CallerIP, SourcePort: f.CallerPort, DestinationIP: f.ServiceIP, DestinationPort: f.ServicePort, Syn: true,
				}))
			}
			b.PingAgents()
		}
		if got := *pings / seconds; got > mostPerSecond {
			t.Errorf("%d pings a second among %d agents, want at most %d", got, agents, mostPerSecond)
		}
		t.Logf("%d agents: %d pings a second", agents, *pings/seconds)
	}
}

// BenchmarkRound measures one round of pings, which runs every PingInterval, by the number of
// servers.
func BenchmarkRound(b *testing.B) {
	for _, agents := range []int{100, 1000, 12_000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			x, clock, _ := newZonedBalancer(agents)
			x.PingAgents()
			for b.Loop() {
				clock.Advance(PingInterval)
				x.PingAgents()
			}
		})
	}
}

// BenchmarkPlace measures the selection of agents for a new flow, by the number of servers of
// its service and the placement.
func BenchmarkPlace(b *testing.B) {
	for _, agents := range []int{3, 109, 1000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) { benchmarkPlace(b, agents, nil) })
		b.Run(fmt.Sprintf("%d/balanced", agents), func(b *testing.B) {
			benchmarkPlace(b, agents, flowplacement.NewPolicy(rand.New(rand.NewPCG(1, 1))))
		})
	}
}

func benchmarkPlace(b *testing.B, agents int, placement *flowplacement.Policy) {
	x, _, _ := newZonedBalancer(agents)
	x.transport.SendFleetDatagram = func([]byte, netip.AddrPort) error { return nil }
	if placement != nil {
		x.config.Placement = placement
		x.selection.SetOrder(placement.Order)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		f, _ := flowPacket(n, 0)
		x.HandleCallerPacket(standin.EncodePacket(packet.Packet{
			SourceIP: f.CallerIP, SourcePort: f.CallerPort, DestinationIP: f.ServiceIP, DestinationPort: f.ServicePort, Syn: true,
		}))
	}
}
