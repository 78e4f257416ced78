package directory

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// silentStore is a stand-in for the platform that answers no call before a time.
type silentStore struct {
	store
	answersAt time.Time
}

// source returns a source whose calls wait for the platform, or for the end of their limit, which
// is the usual one of a second or less.
func (s *silentStore) silentSource(self netip.Addr) Source {
	source := s.source(self)
	wait := func(ctx context.Context) error {
		if time.Until(s.answersAt) <= 0 {
			return nil
		}
		s.mu.Lock()
		s.calls++
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-ctx.Done()
		return errors.New("no answer")
	}
	return Source{
		Routes: func(ctx context.Context) (catalog.Operator, error) {
			if err := wait(ctx); err != nil {
				return catalog.Operator{}, err
			}
			return source.Routes(ctx)
		},
		Servers: func(ctx context.Context) (catalog.Servers, []error, error) {
			if err := wait(ctx); err != nil {
				return catalog.Servers{}, nil, err
			}
			return source.Servers(ctx)
		},
	}
}

// TestOutageAtStart guards against balancers that wait for routes although the platform answers
// again, and against calls of all of them while it does not: they start together, 2 s before the
// platform answers, know only three of each other from their settings, and get digests.
func TestOutageAtStart(t *testing.T) {
	const outage = 2 * time.Second
	for _, c := range []struct{ balancers, calls int }{{26, 60}, {300, 360}} {
		s := &silentStore{store: store{refused: make(map[netip.Addr]bool), address: netip.MustParseAddr("10.0.0.1")}, answersAt: time.Now().Add(outage)}
		s.publish(1, 1, "a")
		f := newFleet(t)
		f.seeds, f.source = 3, s.silentSource
		var all []*Directory
		var stops []func()
		for n := range c.balancers {
			d, stop := f.runAt(numbered(n+1), false)
			all, stops = append(all, d), append(stops, stop)
		}
		time.Sleep(time.Until(s.answersAt))
		s.mu.Lock()
		silent := s.calls
		s.mu.Unlock()
		var first, last time.Duration
		for complete := 0; complete < c.balancers; time.Sleep(5 * time.Millisecond) {
			complete = lo.CountBy(all, func(d *Directory) bool { return d.Catalog().Complete() })
			last = time.Since(s.answersAt)
			if complete > 0 && first == 0 {
				first = last
			}
			if last > readInterval {
				t.Fatalf("%d of %d balancers have a catalog %v after the platform has answered again", complete, c.balancers, last)
			}
		}
		t.Logf("%d balancers: %d calls while the platform was silent, catalogs after %v to %v", c.balancers, silent, first, last)
		if silent > c.calls {
			t.Errorf("%d calls of %d balancers in an outage of %v, want at most %d", silent, c.balancers, outage, c.calls)
		}
		var wg sync.WaitGroup
		for _, stop := range stops {
			wg.Go(stop)
		}
		wg.Wait()
	}
}
