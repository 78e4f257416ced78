package directory

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/startread"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// startPollInterval is the longest time after which a balancer without a complete catalog determines
// its place in the order of readers again: digests of others arrive all the time.
const startPollInterval = 50 * time.Millisecond

// startReader returns the state by which a balancer without a complete catalog reads the platform.
func (d *Directory) startReader() startread.Reader {
	rank, count := d.startRank()
	heard := d.Peers() > 0
	d.mu.Lock()
	defer d.mu.Unlock()
	return startread.Reader{
		Rank: rank, Count: count, Heard: heard, Seed: slices.Contains(d.config.Seeds, d.config.Self.Addr()), Started: d.started, CalledAt: d.attemptedAt, Attempts: d.attempts,
		FirstLate:    d.pace(readInterval) + d.readDelay(rank, count),
		LateInterval: d.config.Bounds.MaxReadingAge(),
	}
}

// startRank returns the place of this balancer in the order of readers at its start, from 0, and
// their number. Balancers that the settings or digests name count although nothing was received
// from them: else every balancer would be the first after a common start. So do those whose latest
// read has failed, since the platform may be silent to all. A silent one counts until the others
// read anyway; with many balancers, digests of each arrive less often than memberTimeout.
func (d *Directory) startRank() (rank, count int) {
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	others := lo.PickBy(d.members, func(_ netip.AddrPort, m member) bool {
		since := m.lastReceived
		if since.IsZero() {
			since = d.started
		}
		return !m.leaving && now.Sub(since) < d.config.Bounds.MaxReadingAge()
	})
	return d.rankAmong(others)
}

// named returns the balancers that a digest names: the first readers, so that all others learn soon
// that they are not, and some others.
func (d *Directory) named() []netip.AddrPort {
	all := lo.Keys(d.staying())
	slices.SortFunc(all, netip.AddrPort.Compare)
	first := min(startread.Readers, len(all))
	return append(all[:first:first], lo.Samples(all[first:], steer.MaxMembers-startread.Readers)...)
}

// attempt reads the platform; requested is true if balancers have requested the reading. Until the
// catalog is complete, most attempts have a short limit.
func (d *Directory) attempt(ctx context.Context, requested bool) error {
	var limit time.Duration
	if !d.Catalog().Complete() {
		limit = d.startReader().Limit()
	}
	d.mu.Lock()
	d.attemptedAt = d.config.Clock.Now()
	d.attempts++
	d.mu.Unlock()
	return d.read(ctx, limit, requested)
}

// limitCall calls the platform. limit is the longest time that the call may take; 0 for no limit of
// its own.
func limitCall[T any](ctx context.Context, limit time.Duration, call func(context.Context) (T, error)) (T, error) {
	if limit > 0 {
		limited, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		ctx = limited
	}
	return call(ctx)
}
