package directory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// TestOneBalancerReads checks that one balancer reads the platform for all of them, and
// that a change reaches all of them within changeBound.
func TestOneBalancerReads(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	var all []*Directory
	for n := range byte(4) {
		all = append(all, f.start(n+1))
	}
	for _, d := range all {
		await(t, d, 1, 1, changeBound)
	}
	time.Sleep(time.Second)
	const watched = 3 * time.Second
	calls := f.store.countCalls(watched)
	single := 2 * int(watched/readInterval+1)
	if calls > single*3/2 {
		t.Errorf("%d calls by four balancers, one alone makes %d", calls, single)
	}
	f.store.publish(2, 2, "a", "b")
	for _, d := range all {
		await(t, d, 2, 2, changeBound)
	}
}

// TestReaderIsCutOff checks that another balancer reads when the platform refuses the
// first reader, and that the first one then fetches the catalog from it.
func TestReaderIsCutOff(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	first, second := f.start(1), f.start(2)
	await(t, first, 1, 1, changeBound)
	await(t, second, 1, 1, changeBound)
	f.store.refuse(netip.MustParseAddr("127.0.0.1"), true)
	f.store.publish(2, 2, "a", "b")
	await(t, second, 2, 2, changeBound)
	await(t, first, 2, 2, changeBound)
}

// TestStartWithoutPlatform checks that a balancer that starts while the platform cannot
// be read serves with the catalog of another balancer.
func TestStartWithoutPlatform(t *testing.T) {
	f := newFleet(t)
	f.store.publish(3, 9, "a")
	first := f.start(1)
	await(t, first, 3, 9, changeBound)
	for n := range byte(3) {
		f.store.refuse(netip.AddrFrom4([4]byte{127, 0, 0, n + 1}), true)
	}
	second := f.start(2)
	await(t, second, 3, 9, time.Second)
	if !second.Catalog().Complete() {
		t.Error("the catalog is not complete")
	}
}

// TestLapsedEntriesAreTold checks that a balancer that starts while entries of live
// servers are missing receives them from one that had them.
func TestLapsedEntriesAreTold(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a", "b")
	first := f.start(1)
	await(t, first, 1, 1, changeBound)
	f.store.publish(1, 2, "a")
	await(t, first, 1, 2, changeBound)
	second := f.start(2)
	await(t, second, 1, 2, changeBound)
	if second.Corroborated() {
		t.Error("corroborated by a balancer that has just started")
	}
	for deadline := time.Now().Add(time.Second); len(second.expiredIDs()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no expired entry was received within 1 s")
		}
	}
	second.mu.Lock()
	defer second.mu.Unlock()
	if l, ok := second.expired["b"]; !ok || time.Since(l.Since) > changeBound {
		t.Errorf("expired entries %v, want server b", second.expired)
	}
}

// expiredIDs returns the IDs of the servers whose entries have expired.
func (d *Directory) expiredIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Keys(d.expired)
}

// TestNothingGoesBack checks that older routes and readings do not replace newer ones.
func TestNothingGoesBack(t *testing.T) {
	f := newFleet(t)
	f.store.publish(5, 50, "a", "b")
	d := f.start(1)
	await(t, d, 5, 50, changeBound)
	f.store.publish(4, 40, "a")
	time.Sleep(2 * readInterval)
	if c := d.Catalog(); c.Routes.Version != 5 || len(c.Servers.List) != 2 {
		t.Errorf("routes %d and %d servers, want 5 and 2", c.Routes.Version, len(c.Servers.List))
	}
}

// TestServersReturnAfterPowerLoss checks that a balancer that no other balancer can send
// expired entries reads soon after its start that the servers listed then have restarted,
// without many more calls to the platform.
func TestServersReturnAfterPowerLoss(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 1, "a")
	d := f.start(2)
	await(t, d, 1, 1, changeBound)
	const registered = 250 * time.Millisecond
	time.Sleep(registered)
	f.store.publish(1, 2, "b")
	await(t, d, 1, 2, readInterval/2)
	time.Sleep(readInterval)
	f.store.mu.Lock()
	calls := f.store.calls
	f.store.mu.Unlock()
	if limit := 2*3 + int(readInterval/startReadInterval); calls > limit {
		t.Errorf("%d calls in two intervals after the start, want at most %d", calls, limit)
	}
}

// replicaBound is the time within which a change must reach a replica.
const replicaBound = 2*replicaInterval + readInterval + 2*digestInterval

// TestBalancersRestartWhilePlatformIsDown checks that a balancer fetches the catalog from
// the replica on an agent if every balancer restarts while the platform cannot be read,
// and that the replica never reads the platform itself.
func TestBalancersRestartWhilePlatformIsDown(t *testing.T) {
	f := newFleet(t)
	f.store.address = netip.MustParseAddr("127.0.0.9")
	f.store.publish(4, 7, "a")
	first, stop := f.run(1, false)
	await(t, first, 4, 7, changeBound)
	replica, _ := f.run(9, true)
	await(t, replica, 4, 7, replicaBound)
	f.store.publish(5, 8, "a", "b")
	await(t, replica, 5, 8, replicaBound)

	stop()
	f.store.refuse(netip.MustParseAddr("127.0.0.1"), true)
	restarted, _ := f.run(1, false)
	await(t, restarted, 5, 8, memberTimeout+replicaDelay+2*digestInterval)
	if !restarted.Catalog().Complete() {
		t.Error("the catalog is not complete")
	}
	if n := replica.Counts().Reads.Load(); n != 0 {
		t.Errorf("%d readings by the replica, want none", n)
	}
}

// TestReplicaAfterPowerLoss checks that a replica fetches at most once per replicaInterval
// while servers register again one after the other, as after a loss of power.
func TestReplicaAfterPowerLoss(t *testing.T) {
	f := newFleet(t)
	f.store.address = netip.MustParseAddr("127.0.0.9")
	f.store.publish(1, 1, "a")
	for n := range byte(3) {
		f.start(n + 1)
	}
	replica, _ := f.run(9, true)
	started := time.Now()
	ids := []string{"a"}
	for n := range uint64(12) {
		time.Sleep(readInterval / 2)
		ids = append(ids, string(rune('b'+n)))
		f.store.publish(1, 2+n, ids...)
	}
	await(t, replica, 1, 2, replicaBound)
	if got, limit := int(replica.Counts().Fetches.Load()), int(time.Since(started)/replicaInterval); got > limit {
		t.Errorf("%d fetches in %v, want at most %d", got, time.Since(started), limit)
	}
}

// TestChangeOfLongConfiguration checks that after a change of one route among many, a
// balancer receives that route and not the complete list, and fetches it about once
// although several balancers announce it.
func TestChangeOfLongConfiguration(t *testing.T) {
	const routes, changes = 1400, 5
	f := newFleet(t)
	list := make([]catalog.Route, routes)
	for n := range list {
		list[n] = catalog.Route{
			Name: "idle", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
			Shares: []catalog.Share{{Service: "pass", Weight: 1}},
		}
	}
	publish := func(version uint64) {
		f.store.publish(version, version, "a")
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		f.store.routes.List = slices.Clone(list[:routes-int(version)])
	}
	publish(1)
	var all []*Directory
	for n := range byte(4) {
		all = append(all, f.start(n+1))
	}
	for _, d := range all {
		await(t, d, 1, 1, changeBound)
	}
	time.Sleep(2 * digestInterval)
	last := all[3]
	received, fetches := last.server.Traffic().Received.Load(), last.counts.Fetches.Load()
	for version := range uint64(changes) {
		publish(version + 2)
		await(t, last, version+2, 1, changeBound)
	}
	if got := len(last.Catalog().Routes.List); got != routes-changes-1 {
		t.Errorf("%d routes, want %d", got, routes-changes-1)
	}
	const maxBytes = 2000
	if n := (last.server.Traffic().Received.Load() - received) / changes; n > maxBytes {
		t.Errorf("%d bytes for each change, want at most %d", n, maxBytes)
	}
	if n := last.counts.Fetches.Load() - fetches; n > 2*changes {
		t.Errorf("%d fetches for %d changes", n, changes)
	}
}
