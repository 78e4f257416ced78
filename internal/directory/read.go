package directory

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// Timing of the readings.
const (
	// readInterval is the age at which the first balancer reads the servers again;
	// with the exchange and one lost reader it stays well within the 3 s in which
	// a draining server must lose its new flows.
	readInterval = 700 * time.Millisecond
	// rankStep is how much later each next balancer reads, if the ones before did
	// not; longer than an exchange takes.
	rankStep = 400 * time.Millisecond
	// retryInterval is the pause after a failed reading.
	retryInterval = 500 * time.Millisecond
	// watchInterval is the pause between two watches, so that a burst of changes
	// costs few calls.
	watchInterval = 500 * time.Millisecond
	// memberTimeout is how long a silent balancer keeps its place in the order of
	// readers.
	memberTimeout = 1200 * time.Millisecond
)

// followRoutes reads the routes and watches for changes.
func (d *Directory) followRoutes(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = d.readRoutes(ctx)
		} else {
			revision, err = d.watchRoutes(ctx, revision)
		}
		pause := watchInterval
		if err != nil {
			d.logDependency("routes", err)
			pause = retryInterval
		}
		d.sleep(ctx, pause)
	}
}

func (d *Directory) readRoutes(ctx context.Context) (uint64, error) {
	d.counts.Reads.Add(1)
	routes, revision, err := d.config.Source.Routes(ctx)
	if err != nil {
		return 0, err
	}
	d.takeRoutes(routes, "platform")
	return revision, nil
}

func (d *Directory) watchRoutes(ctx context.Context, after uint64) (uint64, error) {
	d.counts.Reads.Add(1)
	routes, revision, changed, err := d.config.Source.WatchRoutes(ctx, after)
	if errors.Is(err, catalog.ErrHistoryGone) {
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	if changed {
		d.takeRoutes(routes, "platform")
	}
	return revision, nil
}

// readServers reads the servers whenever the catalog is too old for this
// balancer's rank among the live ones.
func (d *Directory) readServers(ctx context.Context) {
	for ctx.Err() == nil {
		if wait := d.untilDue(); wait > 0 {
			d.sleep(ctx, wait)
			continue
		}
		d.counts.Reads.Add(1)
		asked := d.config.Clock.Now()
		servers, faults, err := d.config.Source.Servers(ctx)
		if err != nil {
			d.readDone(err)
			d.sleep(ctx, retryInterval)
			continue
		}
		d.readDone(nil)
		for _, f := range faults {
			d.config.Log.Debug().Str("event", "entryIgnored").Err(f).Send()
		}
		d.takeServers(servers, d.config.Clock.Since(asked), "platform")
		d.sendDigests()
	}
}

// untilDue returns how long the catalog is still recent enough.
func (d *Directory) untilDue() time.Duration {
	rank := d.rank()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readAt.IsZero() {
		return 0
	}
	due := d.readAt.Add(readInterval + time.Duration(rank)*rankStep)
	return due.Sub(d.config.Clock.Now())
}

// rank returns the place of this balancer in the order of readers.
func (d *Directory) rank() int {
	return lo.CountBy(d.live(), func(a netip.AddrPort) bool { return a.Compare(d.config.Self) < 0 })
}

// live returns the other balancers that were heard lately.
func (d *Directory) live() []netip.AddrPort {
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	list := lo.Keys(lo.PickBy(d.members, func(_ netip.AddrPort, heard time.Time) bool { return now.Sub(heard) < memberTimeout }))
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return cmp.Or(a.Compare(b)) })
	return list
}

func (d *Directory) readDone(err error) {
	d.mu.Lock()
	before := d.readFailed
	if err == nil {
		d.readFailed = time.Time{}
	} else if before.IsZero() {
		d.readFailed = d.config.Clock.Now()
	}
	d.mu.Unlock()
	switch {
	case err != nil && before.IsZero():
		d.logDependency("servers", err)
	case err == nil && !before.IsZero():
		d.config.Log.Info().Str("event", "platformRegained").Dur("outage", d.config.Clock.Since(before)).Send()
	}
	if err != nil {
		d.counts.FailedReads.Add(1)
	}
}

func (d *Directory) logDependency(what string, err error) {
	d.config.Log.Warn().Str("event", "platformCallFailed").Str("call", what).Err(err).Send()
}

func (d *Directory) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.config.Clock.After(pause):
	}
}
