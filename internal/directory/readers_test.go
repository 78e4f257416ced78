package directory

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// startFleet starts balancers with the numbers 1 to n, and waits until all have the first list and
// know each other as far as digests name them.
func startFleet(f *fleet, n byte) (all []*Directory, stops []func()) {
	f.store.publish(1, 1, "a")
	for i := range n {
		d, stop := f.run(i+1, false)
		all, stops = append(all, d), append(stops, stop)
	}
	for _, d := range all {
		await(f.t, d, 1, 1, changeBound)
	}
	time.Sleep(2 * memberTimeout)
	return all, stops
}

// TestReadersLostTogether guards against a balancer that waits for the readings of others which
// have stopped: right after a change, all balancers but the last are lost. It must be in force
// there within the bound.
func TestReadersLostTogether(t *testing.T) {
	f := newFleet(t)
	all, stops := startFleet(f, 10)
	last := all[len(all)-1]
	f.stopAll(stops[:len(stops)-1])
	f.store.publish(2, 2, "a", "b")
	await(t, last, 2, 2, bounds.Default().MaxReadingAge()+readMargin)
}

// readMargin is how long a reading and the scheduling of the test may take.
const readMargin = 300 * time.Millisecond

// stopAll stops balancers at the same time: none sends a digest after another has stopped.
func (f *fleet) stopAll(stops []func()) {
	f.mu.Lock()
	for self := range f.all {
		f.cut[self] = true
	}
	f.mu.Unlock()
	for _, stop := range stops {
		go stop()
	}
}

// TestReadersRefused guards against a balancer that waits for the readings of others which cannot
// read: the platform refuses all balancers but the last.
func TestReadersRefused(t *testing.T) {
	const refused = 9
	f := newFleet(t)
	all, _ := startFleet(f, refused+1)
	for n := range byte(refused) {
		f.store.refuse(netip.AddrFrom4([4]byte{127, 0, 0, n + 1}), true)
	}
	for version := uint64(2); version <= 3; version++ {
		f.store.publish(version, version, "a", "b")
		for _, d := range all {
			await(t, d, version, version, bounds.Default().MaxReadingAge()+readMargin+2*digestInterval)
		}
	}
}

// TestCallsAfterLoss checks that the balancers which are left after a loss of the first ones do not
// all call the platform: those that read first notify the others.
func TestCallsAfterLoss(t *testing.T) {
	const lost, single = 6, 2 * int(changeBound/readInterval+1)
	for _, balancers := range []byte{12, 48} {
		f := newFleet(t)
		_, stops := startFleet(f, balancers)
		for _, stop := range stops[:lost] {
			go stop()
		}
		if calls := f.store.countCalls(changeBound); calls > 2*single {
			t.Errorf("%d calls of %d balancers after the loss of %d, one alone makes %d", calls, balancers-lost, lost, single)
		}
	}
}

// TestFirstDigestIsAnswered guards against a balancer that reads the platform alone for seconds, or for
// good if the balancers named in its settings are lost: it knows only them, and each sends digests to
// 16 others in a round. The first digest of a balancer is answered, and only that one.
func TestFirstDigestIsAnswered(t *testing.T) {
	const senders, rounds = 40, 3
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	answered := make(chan netip.AddrPort, senders*rounds)
	d := NewDirectory(Config{
		Self: netip.AddrPortFrom(numbered(1), 7000), Bounds: bounds.Default(), Source: f.source(numbered(1)),
		Send:    func(_ []byte, to netip.AddrPort) { answered <- to },
		Changed: func(*catalog.Catalog, []Expired) {}, Confirmed: func() {},
		Clock: clockwork.NewRealClock(), Log: eventlog.NewDirectLog(zerolog.Nop(), clockwork.NewRealClock()),
	})
	if err := d.read(context.Background(), 0, false); err != nil || !d.Catalog().Complete() {
		t.Fatalf("no complete catalog: %v", err)
	}
	var b [steer.DigestMaxLen]byte
	n := steer.PutDigest(b[:], d.freshness(), nil)
	for range rounds {
		for i := range senders {
			d.HandleDigest(context.Background(), b[:n], netip.AddrPortFrom(numbered(2+i), 7000))
		}
	}
	got := make(map[netip.AddrPort]int)
	for deadline := time.After(100 * time.Millisecond); ; {
		select {
		case to := <-answered:
			got[to]++
			continue
		case <-deadline:
		}
		break
	}
	if len(got) != senders || lo.Max(lo.Values(got)) > 1 {
		t.Errorf("%d of %d balancers were answered, one of them %d times; want all, once each", len(got), senders, lo.Max(lo.Values(got)))
	}
}

// TestReadDelay checks, for any bounds and any number of balancers, that no list becomes older
// than the bound allows, and that each balancer waits at least as long as those before it.
func TestReadDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds.Default()
		b.Change = time.Duration(rapid.Int64Range(int64(bounds.MinChange), int64(time.Minute)).Draw(t, "change"))
		d := &Directory{config: Config{Bounds: b}}
		count := rapid.IntRange(1, 10_000).Draw(t, "count")
		rank := rapid.IntRange(0, count-1).Draw(t, "rank")
		delay := d.readDelay(rank, count)
		if age := d.pace(readInterval) + delay; age > b.MaxReadingAge() || age >= b.Change {
			t.Fatalf("rank %d of %d reads at the age of %v, the bound is %v", rank, count, age, b.Change)
		}
		if rank > 0 && delay < d.readDelay(rank-1, count) {
			t.Fatalf("rank %d of %d reads before the one before it", rank, count)
		}
	})
}
