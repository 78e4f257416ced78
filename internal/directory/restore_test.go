package directory

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// awaitServers waits until a directory lists exactly the given servers.
func awaitServers(t *testing.T, d *Directory, limit time.Duration, ids ...string) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		listed := lo.Map(d.Catalog().Servers.List, func(v catalog.Server, _ int) string { return v.ID })
		if slices.Equal(listed, ids) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("servers %v after %v, want %v", listed, limit, ids)
		}
	}
}

// TestServersAreFrozenAfterRestore guards against a list of servers that stays in force after the
// platform has returned from a backup, until as many revisions as were lost are issued again.
func TestServersAreFrozenAfterRestore(t *testing.T) {
	f := newFleet(t)
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 50}, "a", "b")
	all := []*Directory{f.start(1), f.start(2), f.start(3)}
	for _, d := range all {
		awaitServers(t, d, changeBound, "a", "b")
	}
	f.store.publishAt(1, position.Position{Epoch: 2, Revision: 10}, "a", "c")
	for _, d := range all {
		awaitServers(t, d, changeBound, "a", "c")
	}
	f.store.publishAt(1, position.Position{Epoch: 3, Revision: 5}, "a", "d")
	for _, d := range all {
		awaitServers(t, d, changeBound, "a", "d")
	}
	f.store.publishAt(1, position.Position{Epoch: 3, Revision: 6}, "d")
	for _, d := range all {
		awaitServers(t, d, changeBound, "d")
	}
}

// TestMissedRestores guards against a list that stays in force at a balancer which could reach
// neither the platform nor another balancer while the platform returned twice.
func TestMissedRestores(t *testing.T) {
	f := newFleet(t)
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 50}, "a", "b")
	first, second := f.start(1), f.start(2)
	awaitServers(t, first, changeBound, "a", "b")
	awaitServers(t, second, changeBound, "a", "b")
	f.store.refuse(netip.MustParseAddr("127.0.0.2"), true)
	f.connect(second, false)
	f.store.publishAt(1, position.Position{Epoch: 2, Revision: 10}, "a", "c")
	awaitServers(t, first, changeBound, "a", "c")
	f.store.publishAt(1, position.Position{Epoch: 3, Revision: 5}, "a", "d")
	awaitServers(t, first, changeBound, "a", "d")
	f.connect(second, true)
	awaitServers(t, second, changeBound, "a", "d")
}

// TestAllReadAfterRestore guards against balancers that all read the platform without a pause
// while they refuse its answers.
func TestAllReadAfterRestore(t *testing.T) {
	f := newFleet(t)
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 50}, "a", "b")
	for n := range byte(4) {
		d := f.start(n + 1)
		awaitServers(t, d, changeBound, "a", "b")
	}
	f.store.publishAt(1, position.Position{Epoch: 2, Revision: 10}, "a", "b")
	time.Sleep(2 * time.Second)
	const watched = 3 * time.Second
	single := 2 * int(watched/readInterval+1)
	if calls := f.store.countCalls(watched); calls > single*3/2 {
		t.Errorf("%d calls by four balancers, one alone makes %d", calls, single)
	}
}

// TestRefusedReadsPause guards against balancers that read the platform without a pause while
// its answers are older than before and state no epoch.
func TestRefusedReadsPause(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 50, "a", "b")
	const balancers = 4
	for n := range byte(balancers) {
		d := f.start(n + 1)
		awaitServers(t, d, changeBound, "a", "b")
	}
	f.store.publish(1, 10, "a", "b")
	time.Sleep(2 * time.Second)
	const watched = 3 * time.Second
	if calls, most := f.store.countCalls(watched), balancers*2*int(watched/retryInterval+1); calls > most {
		t.Errorf("%d calls by four balancers, want at most %d", calls, most)
	}
}

// startOlder runs a directory that acts as a program which does not know epochs.
func (f *fleet) startOlder(n byte) *Directory {
	f.mu.Lock()
	f.older[netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 7000)] = true
	f.mu.Unlock()
	return f.start(n)
}

// TestBesideOlderPrograms guards against a balancer that waits for older programs to read the
// platform, whose lists it does not apply, or that applies a list which is frozen at them.
func TestBesideOlderPrograms(t *testing.T) {
	f := newFleet(t)
	f.store.publish(1, 50, "a", "b")
	for n := range byte(8) {
		awaitServers(t, f.startOlder(n+1), changeBound, "a", "b")
	}
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 50}, "a", "b")
	d := f.start(9)
	for deadline := time.Now().Add(2 * changeBound); !d.Corroborated() || d.Catalog().Servers.Epoch == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("list of epoch %d, corroborated %t", d.Catalog().Servers.Epoch, d.Corroborated())
		}
	}
	f.store.publishAt(1, position.Position{Epoch: 1, Revision: 51}, "a", "c")
	awaitServers(t, d, changeBound, "a", "c")
	for n := range byte(8) {
		f.store.refuse(netip.AddrFrom4([4]byte{127, 0, 0, n + 1}), true)
	}
	f.store.publishAt(1, position.Position{Epoch: 2, Revision: 10}, "a", "d")
	awaitServers(t, d, changeBound, "a", "d")
	for end := time.Now().Add(changeBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		awaitServers(t, d, 0, "a", "d")
	}
}
