package platform_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	lab "github.com/bergamotgw/bergamotgw/internal/lab/platform"
	"github.com/bergamotgw/bergamotgw/internal/platform"
)

// watched holds the revisions that a watcher has offered, by key.
type watched struct {
	mu        sync.Mutex
	revisions map[string]uint64
}

func (w *watched) offer(e entry.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revisions[e.Key] = e.Revision
}

// await waits until the revision of a key has been offered.
func (w *watched) await(t *testing.T, key string, revision uint64) {
	t.Helper()
	const limit = 5 * time.Second
	for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		got := w.revisions[key]
		w.mu.Unlock()
		if got == revision {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: revision %d after %v, want %d", key, got, limit, revision)
		}
	}
}

// watch runs a stand-in of the service, and a watcher of it, until the test ends.
func watch(t *testing.T) (*lab.Platform, *watched) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	p, w := lab.NewPlatform(), &watched{revisions: make(map[string]uint64)}
	watcher := platform.Watcher{
		Changes: platform.NewClient("http://" + address.String()).Changes,
		Offer:   w.offer, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = p.Run(ctx, address) })
	tasks.Go(func() { watcher.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return p, w
}

// publish publishes revisions of a key, one by one.
func publish(p *lab.Platform, key string, revisions ...uint64) {
	for _, r := range revisions {
		p.Publish(entry.Entry{Key: key, Revision: r, Raw: fmt.Appendf(nil, "%d", r)})
	}
}

// TestChangesMissedAfterRestore guards against changes that are never read because the service
// has returned from a backup and, before the next call, issued the index of the watcher again.
func TestChangesMissedAfterRestore(t *testing.T) {
	p, w := watch(t)
	publish(p, "section/a", 1, 2, 3, 4)
	w.await(t, "section/a", 4)
	p.SetFaults(lab.Faults{Down: true, Restore: 3})
	publish(p, "section/b", 7)
	publish(p, "section/a", 5, 6, 7, 8)
	p.SetFaults(lab.Faults{})
	w.await(t, "section/a", 8)
	w.await(t, "section/b", 7)
}

// TestWatchEndsAfterRestore guards against a call that waits for the next change although the
// service has returned from a backup and lacks the changes that the watcher has read, with the
// same index.
func TestWatchEndsAfterRestore(t *testing.T) {
	p, w := watch(t)
	publish(p, "section/a", 1, 2)
	w.await(t, "section/a", 2)
	p.SetFaults(lab.Faults{Down: true, Restore: 1})
	publish(p, "section/b", 7)
	p.SetFaults(lab.Faults{})
	w.await(t, "section/b", 7)
}
