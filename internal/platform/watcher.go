package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/entry"
)

// Delays between failed calls.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Watcher follows the configuration service and offers what it reads.
type Watcher struct {
	// Changes reads one page; Client.Changes in production.
	Changes func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// Offer takes every entry read.
	Offer func(entry.Entry)
	// Clock paces the calls.
	Clock clockwork.Clock
	// Log reports outages and recoveries.
	Log zerolog.Logger
}

// Run follows the service until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var after uint64
	var backoff time.Duration
	for ctx.Err() == nil {
		page, err := w.Changes(ctx, after, WatchWait)
		if err != nil {
			backoff = w.pause(ctx, backoff, err)
			continue
		}
		if backoff > 0 {
			w.Log.Info().Str("event", "platformRecovered").Send()
			backoff = 0
		}
		for _, e := range page.Entries {
			w.Offer(e)
		}
		after = next(after, page)
	}
}

// next returns where to continue. An index that went back means that the
// service lost its place, so everything is read again.
func next(after uint64, page Page) uint64 {
	if page.Index < after {
		return 0
	}
	return page.Index
}

// pause waits with exponential back-off and full jitter.
func (w *Watcher) pause(ctx context.Context, last time.Duration, err error) time.Duration {
	backoff := min(max(2*last, minBackoff), maxBackoff)
	if ctx.Err() == nil {
		w.Log.Warn().Str("event", "platformUnreachable").Err(err).Dur("retryIn", backoff).Send()
	}
	select {
	case <-ctx.Done():
	case <-w.Clock.After(backoff/2 + rand.N(backoff/2)):
	}
	return backoff
}
