package packetagent

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestReportsToManyBalancers lets the load change all the time while many balancers
// listen: the agent sends no more reports than to some.
func TestReportsToManyBalancers(t *testing.T) {
	const most = 125
	for _, balancers := range []int{5, 20, 300} {
		a := newBenchAgent()
		clock := clockwork.NewFakeClock()
		a.config.Clock = clock
		sent := 0
		a.wire.ToFleet = func(raw []byte, _ netip.AddrPort) error {
			if kind, _ := steer.KindOf(raw); kind == steer.Report {
				sent++
			}
			return nil
		}
		const rounds = 200
		for n := range rounds {
			clock.Advance(MaintainInterval)
			for i := range balancers {
				a.listeners[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)] = clock.Now()
			}
			a.reported.Outstanding = uint16(n + 1)
			a.Maintain()
		}
		seconds := int(rounds * MaintainInterval / time.Second)
		if got := sent / seconds; got > most || got == 0 {
			t.Errorf("%d reports a second to %d balancers, want at most %d", got, balancers, most)
		}
	}
}
