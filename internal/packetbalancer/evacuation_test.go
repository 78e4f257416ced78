package packetbalancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// TestEvacuationNotices guards against agents that do not learn of an evacuation or of its end
// because the balancer sends them no flows, and against pings that grow with the fleet.
func TestEvacuationNotices(t *testing.T) {
	const agents, seconds, mostPerSecond = 1200, 4, 200
	b, clock, pings := newZonedBalancer(agents)
	told := make(map[netip.AddrPort]steer.Notice)
	send := b.transport.SendFleetDatagram
	b.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error {
		if n, ok := steer.ParsePing(raw); ok {
			told[to] = n
		}
		return send(raw, to)
	}
	play := func(d time.Duration) {
		for range d / PingInterval {
			clock.Advance(PingInterval)
			b.PingAgents()
		}
	}
	list := b.config.Catalog().Servers
	evacuate := func(revision uint64, zones ...string) int {
		e, _ := catalog.NewEvacuations(position.Position{Epoch: 1, Revision: revision}, zones)
		b.SetServers(list.WithEvacuations(e))
		clear(told)
		play(PingInterval)
		return lo.CountBy(lo.Values(told), func(n steer.Notice) bool {
			return n.EvacuationsKnown && n.Evacuated == (len(zones) > 0) && n.EvacuationsAt == e.Position
		})
	}
	play(time.Second)
	if got := evacuate(7, "b"); got < agents/6 {
		t.Errorf("%d agents told of the evacuation at once, want %d", got, agents/6)
	}
	clear(told)
	*pings = 0
	play(seconds * time.Second)
	if got := lo.CountBy(lo.Values(told), func(n steer.Notice) bool { return n.Evacuated }); got < agents/6 || *pings > seconds*mostPerSecond {
		t.Errorf("%d agents told again by %d pings in %d s, want %d by at most %d", got, *pings, seconds, agents/6, seconds*mostPerSecond)
	}
	if got := evacuate(8); got < agents/6 {
		t.Errorf("%d agents told of the end at once, want %d", got, agents/6)
	}
}

// TestEveryZoneEvacuated guards against new flows that wait for their timeout, or go to an
// evacuated zone, when all zones are evacuated, and against a copy of a SYN that is refused
// although the flow may be open.
func TestEveryZoneEvacuated(t *testing.T) {
	b, _, _ := newZonedBalancer(12)
	resets, forwarded := 0, 0
	b.transport.SendToCaller = func([]byte, netip.AddrPort) error { resets++; return nil }
	b.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
		if kind, _ := steer.KindOf(raw); kind == steer.Forward {
			forwarded++
		}
		return nil
	}
	syn := func(n int, number uint32) {
		f, _ := flowPacket(n, 0)
		b.HandleCallerPacket(standin.EncodePacket(packet.Packet{
			SourceIP: f.CallerIP, SourcePort: f.CallerPort, DestinationIP: f.ServiceIP, DestinationPort: f.ServicePort, Syn: true, AckSeq: number,
		}))
	}
	syn(1, 0)
	e, _ := catalog.NewEvacuations(position.Position{Revision: 7}, []string{"a", "b", "c", "d", "e", "f"})
	b.SetServers(b.config.Catalog().Servers.WithEvacuations(e))
	syn(2, 0)
	syn(3, 1)
	if resets != 1 || forwarded != 1 {
		t.Errorf("%d resets and %d SYNs forwarded, want one each", resets, forwarded)
	}
	syn(1, 1)
	if resets != 1 || forwarded != 2 {
		t.Errorf("%d resets and %d SYNs forwarded, want the copy at its agent", resets, forwarded)
	}
}
