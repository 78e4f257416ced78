package packetagent

import (
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
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

// probed returns an agent with a fake clock whose server is not probed, and functions that record a
// refused probe, a ping that states a server, and the server that reports name as stopped.
func probed(t *testing.T) (a *Agent, clock *clockwork.FakeClock, refuse func(), notice func(born time.Time), expect func(when string, want time.Time)) {
	a, clock = newBenchAgent(), clockwork.NewFakeClock()
	a.config.Clock = clock
	refuse = func() { a.RecordProbe(clock.Now(), syscall.ECONNREFUSED) }
	notice = func(born time.Time) {
		a.recordNotice(steer.Notice{ServerKnown: true, Service: a.config.Service, Born: born.UnixMilli()}, clock.Now())
		clock.Advance(time.Millisecond)
	}
	expect = func(when string, want time.Time) {
		t.Helper()
		stopped := uint32(0)
		if !want.IsZero() {
			stopped = uint32(want.UnixMilli())
		}
		if got := a.Load().StoppedServer; got != stopped {
			t.Errorf("%s: stopped server %d, want %d", when, got, stopped)
		}
	}
	return a, clock, refuse, notice, expect
}

// TestStoppedServer guards against a report that names a server as stopped which may run: balancers
// would no longer wait for its answer about their flows.
func TestStoppedServer(t *testing.T) {
	a, clock, refuse, notice, expect := probed(t)
	refuse()
	expect("before a balancer has named a server", time.Time{})
	former := clock.Now().Add(-time.Minute)
	notice(former)
	refuse()
	expect("server of before the loss of power", former)
	notice(clock.Now().Add(time.Second))
	expect("server that started since", time.Time{})
	notice(former)
	refuse()
	a.open(1)
	expect("after a packet of a server", time.Time{})
}

// TestServerThatOnlyBounces guards against callers who wait for the flows of a server that has left:
// it bounces their packets, but refuses connections, and still counts as stopped.
func TestServerThatOnlyBounces(t *testing.T) {
	a, _, refuse, notice, expect := probed(t)
	listed := a.config.Clock.Now().Add(-time.Minute)
	notice(listed)
	refuse()
	a.HandleServerPacket(standin.EncodePacket(packet.Packet{SourceIP: [4]byte{100, 64}, SourcePort: 7, Ack: true, Seq: 1, AckSeq: 1, Bounced: true}))
	expect("after a bounced packet", listed)
}

// TestServerThatBoots guards against servers that are out of service for good because they had
// started, but did not listen yet, when their agent probed them, as after a loss of power. Their
// start, by a clock that may have been set since, is before the probe.
func TestServerThatBoots(t *testing.T) {
	for _, setBack := range []time.Duration{0, 10 * time.Second} {
		a, clock, refuse, notice, expect := probed(t)
		born := clock.Now().Add(-5*time.Millisecond - setBack)
		refuse()
		clock.Advance(300 * time.Millisecond)
		notice(born)
		expect("listed, and not probed since", time.Time{})
		refuse()
		expect("listed before it listens", born)
		clock.Advance(100 * time.Millisecond)
		a.RecordProbe(clock.Now(), nil)
		expect("once it listens", time.Time{})
	}
}

// TestStoppedServerIsWithdrawn guards against balancers that believe for longer than the agent that a
// server has stopped: the end of the statement is reported at once, also if it only lapses.
func TestStoppedServerIsWithdrawn(t *testing.T) {
	for name, end := range map[string]func(a *Agent, clock *clockwork.FakeClock){
		"accepted":   func(a *Agent, clock *clockwork.FakeClock) { a.RecordProbe(clock.Now(), nil) },
		"unanswered": func(a *Agent, clock *clockwork.FakeClock) { a.RecordProbe(clock.Now(), os.ErrDeadlineExceeded) },
		"packet":     func(a *Agent, _ *clockwork.FakeClock) { a.open(1) },
		"lapsed":     func(a *Agent, clock *clockwork.FakeClock) { clock.Advance(time.Second); a.Maintain() },
	} {
		a, clock, refuse, notice, _ := probed(t)
		reported := uint32(0)
		a.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
			if l, _, ok := steer.ParseReport(raw); ok {
				reported = l.StoppedServer
			}
			return nil
		}
		var ping [steer.PingLen]byte
		steer.PutPing(ping[:], steer.Notice{})
		a.HandleFleetDatagram(ping[:], balancer)
		notice(clock.Now().Add(-time.Minute))
		refuse()
		if reported == 0 {
			t.Errorf("%s: no server reported as stopped", name)
		}
		if clock.Advance(time.Millisecond); reported != 0 {
			end(a, clock)
		}
		if reported != 0 {
			t.Errorf("%s: the statement was not withdrawn", name)
		}
	}
}

// TestStatementIsRepeated guards against a balancer that misses for seconds that a server has stopped,
// because one report was lost: callers of flows that died with the server would wait for that.
func TestStatementIsRepeated(t *testing.T) {
	a, clock, refuse, notice, _ := probed(t)
	stated := 0
	a.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
		if l, _, ok := steer.ParseReport(raw); ok && l.StoppedServer != 0 {
			stated++
		}
		return nil
	}
	var ping [steer.PingLen]byte
	steer.PutPing(ping[:], steer.Notice{})
	a.HandleFleetDatagram(ping[:], balancer)
	notice(clock.Now().Add(-time.Minute))
	for range 20 {
		refuse()
		clock.Advance(MaintainInterval)
		a.Maintain()
	}
	if stated != 3 {
		t.Errorf("%d reports name the stopped server, want 3", stated)
	}
}
