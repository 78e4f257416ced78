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

// TestStoppedServer guards against a report that names a server as stopped which may run: balancers
// would no longer wait for its answer about their flows.
func TestStoppedServer(t *testing.T) {
	a := newBenchAgent()
	now := a.config.Clock.Now()
	expect := func(when string, want int64) {
		t.Helper()
		if got := a.Load().StoppedServer; got != uint32(want) {
			t.Errorf("%s: stopped server %d, want %d", when, got, uint32(want))
		}
	}
	notice := func(born time.Time) {
		a.recordNotice(steer.Notice{ServerKnown: true, Service: a.config.Service, Born: born.UnixMilli()}, now)
	}
	a.RecordServerDown()
	expect("before a balancer has named a server", 0)
	former := now.Add(-time.Minute)
	notice(former)
	expect("server of before the loss of power", former.UnixMilli())
	notice(now.Add(time.Second))
	expect("server that started since", 0)
	notice(former)
	a.open(1)
	expect("after a packet of a server", 0)
}
