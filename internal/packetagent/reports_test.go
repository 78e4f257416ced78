package packetagent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestReportsToManyBalancers checks that the rate of reports does not grow with the number
// of subscribers, while the load changes in every round.
func TestReportsToManyBalancers(t *testing.T) {
	const maxPerSecond = 125
	for _, balancers := range []int{5, 20, 300} {
		a := newBenchAgent()
		clock := clockwork.NewFakeClock()
		a.config.Clock = clock
		sent := 0
		a.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
			if kind, _ := steer.KindOf(raw); kind == steer.Report {
				sent++
			}
			return nil
		}
		const rounds = 200
		for n := range rounds {
			clock.Advance(MaintainInterval)
			for i := range balancers {
				a.subscribers[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)] = clock.Now()
			}
			a.reportedLoad.Outstanding = uint16(n + 1)
			a.Maintain()
		}
		seconds := int(rounds * MaintainInterval / time.Second)
		if got := sent / seconds; got > maxPerSecond || got == 0 {
			t.Errorf("%d reports a second to %d balancers, want at most %d", got, balancers, maxPerSecond)
		}
	}
}

// TestStoppedServer guards against a report that still names a stopped server although one runs
// again: balancers would no longer wait for its answer about their flows.
func TestStoppedServer(t *testing.T) {
	a := newBenchAgent()
	a.RecordServerStopped()
	if got := a.Load().StoppedServer; got != 0 {
		t.Errorf("stopped server %d before a balancer has named it, want none", got)
	}
	a.recordNotice(steer.Notice{ServerKnown: true, Service: a.config.Service, Born: 1_800_000_000_123}, a.config.Clock.Now())
	if got, want := a.Load().StoppedServer, uint32(1_800_000_000_123&0xffffffff); got != want {
		t.Errorf("stopped server %d, want %d", got, want)
	}
	a.open(1)
	if got := a.Load().StoppedServer; got != 0 {
		t.Errorf("stopped server %d after a packet of it, want none", got)
	}
}
