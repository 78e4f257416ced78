package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// Limits of the delay after a failed call.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Watcher polls the configuration service and delivers the entries that it reads.
type Watcher struct {
	// Changes reads one page; Client.Changes in production.
	Changes func(ctx context.Context, after position.Position, wait time.Duration) (Page, error)
	// Offer is called with every entry.
	Offer func(entry.Entry)
	// Clock times the delays.
	Clock clockwork.Clock
	// Log receives the outages and recoveries of the platform.
	Log zerolog.Logger
}

// Run polls the service until the context ends. The first call reads all entries.
func (w *Watcher) Run(ctx context.Context) {
	var after position.Position
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
			e.Epoch = page.Epoch
			w.Offer(e)
		}
		after = w.next(after, page)
	}
}

// next returns the position after which the next call continues. Another epoch, or a lower index
// than before, means that the service has lost changes and may have issued their indexes again,
// so all entries are read again.
func (w *Watcher) next(after position.Position, page Page) position.Position {
	if after.Revision == 0 || page.Epoch == after.Epoch && page.Index >= after.Revision {
		return position.Position{Epoch: page.Epoch, Revision: page.Index}
	}
	w.Log.Warn().Str("event", "platformRestored").Uint64("epoch", page.Epoch).Uint64("index", page.Index).
		Uint64("formerEpoch", after.Epoch).Uint64("formerIndex", after.Revision).Send()
	return position.Position{Epoch: page.Epoch}
}

// pause waits after a failed call and returns the new back-off, which doubles up to maxBackoff.
// The delay is a random one between half of the back-off and all of it.
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
