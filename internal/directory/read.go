package directory

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/lo"
)

// Timing of the readings.
const (
	// readInterval is the age at which the first balancer reads the platform again;
	// with the exchange and one lost reader it stays well within the 3 s in which
	// a draining server must lose its new flows.
	readInterval = 700 * time.Millisecond
	// startReadInterval is the age at which a balancer that has just started, and does
	// not know what lapsed, reads the servers again: after a loss of power servers
	// register within some hundred milliseconds, and until all have done so, no
	// search can tell that a flow is gone.
	startReadInterval = 150 * time.Millisecond
	// rankStep is how much later each next balancer reads, if the ones before did
	// not; longer than an exchange takes.
	rankStep = 400 * time.Millisecond
	// retryInterval is the pause after a failed reading.
	retryInterval = 500 * time.Millisecond
	// memberTimeout is how long a silent balancer keeps its place in the order of
	// readers.
	memberTimeout = 1200 * time.Millisecond
)

// readPlatform reads the platform whenever the catalog is too old for this
// balancer's rank among the live ones. Watches are not used: they may stay
// silent while changes are made.
func (d *Directory) readPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		if wait := d.untilDue(); wait > 0 {
			d.sleep(ctx, wait)
			continue
		}
		err := d.read(ctx)
		d.readDone(err)
		if err != nil {
			d.sleep(ctx, retryInterval)
			continue
		}
		d.sendDigests()
	}
}

func (d *Directory) read(ctx context.Context) error {
	if !d.starting() {
		d.counts.Reads.Add(1)
		routes, err := d.config.Source.Routes(ctx)
		if err != nil {
			return err
		}
		d.takeRoutes(routes, "platform")
	}
	d.counts.Reads.Add(1)
	asked := d.config.Clock.Now()
	servers, faults, err := d.config.Source.Servers(ctx)
	if err != nil {
		return err
	}
	for _, f := range faults {
		d.config.Log.Debug("entryIgnored").Err(f).Send()
	}
	d.takeServers(servers, d.config.Clock.Since(asked), "platform")
	return nil
}

// untilDue returns how long the catalog is still recent enough.
func (d *Directory) untilDue() time.Duration {
	rank := d.rank()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readAt.IsZero() {
		return 0
	}
	interval := d.pace(readInterval)
	if d.justStarted() {
		interval = startReadInterval
	}
	due := d.readAt.Add(interval + time.Duration(rank)*d.pace(rankStep))
	return due.Sub(d.config.Clock.Now())
}

// starting reports whether this balancer has read the platform for the first time
// less than an interval ago, and no other has told it what lapsed.
func (d *Directory) starting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.justStarted()
}

// justStarted is starting for a caller that holds the lock.
func (d *Directory) justStarted() bool {
	return !d.firstReadAt.IsZero() && !d.told && d.config.Clock.Since(d.firstReadAt) < d.pace(readInterval)
}

// rank returns the place of this balancer in the order of readers.
func (d *Directory) rank() int {
	return lo.CountBy(d.live(), func(a netip.AddrPort) bool { return a.Compare(d.config.Self) < 0 })
}

// Peers returns the number of other balancers that were heard lately.
func (d *Directory) Peers() int {
	return len(d.live())
}

// live returns the other balancers that were heard lately.
func (d *Directory) live() []netip.AddrPort {
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Keys(lo.PickBy(d.members, func(_ netip.AddrPort, heard time.Time) bool { return now.Sub(heard) < d.pace(memberTimeout) }))
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
		d.config.Log.Warn("platformLost").Err(err).Send()
	case err == nil && !before.IsZero():
		d.config.Log.Info("platformRegained").Dur("outage", d.config.Clock.Since(before)).Send()
	}
	if err != nil {
		d.counts.FailedReads.Add(1)
	}
}

func (d *Directory) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.config.Clock.After(pause):
	}
}
