package directory

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// Timing of the reads.
const (
	// readInterval is the age of the catalog at which the first balancer reads the platform
	// again.
	readInterval = 700 * time.Millisecond
	// startReadInterval is the age at which a balancer that has just started, and whose list
	// no other balancer has confirmed, reads the servers again. After a loss of power the
	// servers register within a few hundred milliseconds, and until all have done so no
	// search can prove that no server holds a flow.
	startReadInterval = 150 * time.Millisecond
	// rankStep is how much later each of the next steppedRanks balancers reads if those before
	// it have not read; it is longer than an exchange takes.
	rankStep = 400 * time.Millisecond
	// steppedRanks is how many balancers after the first read one by one. The others follow
	// until the list has the greatest age that the change bound allows.
	steppedRanks = 2
	// readingDuration is how long a reading may take whose calls are all answered in time.
	readingDuration = 500 * time.Millisecond
	// proofDelay is how much older than a reading the proof of it may be: digests return the number of
	// one that the receiver has sent in its latest round, and one of them may be lost.
	proofDelay = 2 * digestInterval
	// retryInterval is the pause after a failed read, and after a failed accept.
	retryInterval = 500 * time.Millisecond
	// memberTimeout is how long a silent balancer keeps its rank in the order of
	// readers.
	memberTimeout = 1200 * time.Millisecond
)

// readPlatform reads the platform whenever the catalog is older than the rank of this
// balancer among the live ones allows, at the latest when it has the greatest age that the change
// bound allows. Watches of the platform are not used: they may miss changes without an error.
func (d *Directory) readPlatform(ctx context.Context) {
	pause := retryInterval
	for ctx.Err() == nil {
		if wait := d.untilDue(); wait > 0 {
			d.sleepUntilRequested(ctx, wait)
			continue
		}
		waiting, own := d.takeRequests()
		err := d.attempt(ctx, len(waiting) > 0 || own)
		d.recordRead(err)
		if err == nil {
			d.confirmReading(waiting)
		}
		if err == nil && own {
			d.config.Confirmed()
		}
		if err != nil && !d.Catalog().Complete() {
			continue
		}
		if err != nil {
			d.sleep(ctx, pause)
			pause = d.nextPause(pause)
			continue
		}
		pause = retryInterval
		d.sendDigests()
	}
}

// nextPause returns the pause after a further failed read. In an outage the first balancers go on
// trying, and the others ever less often: only as often as the platform must be read if it
// refuses just the first ones.
func (d *Directory) nextPause(pause time.Duration) time.Duration {
	if rank, _ := d.rank(member.mayRead); rank <= steppedRanks {
		return retryInterval
	}
	return min(2*pause, d.config.Bounds.MaxReadingAge())
}

// read reads what the operator has written, and the servers; right after the start the servers
// alone, unless the reading is requested, or the routes or evacuated zones are not known yet. It
// returns an error if a call fails, or if the platform answers with an older state than before.
// limit is the longest time that a call may take; 0 for the usual one.
func (d *Directory) read(ctx context.Context, limit time.Duration, requested bool) error {
	requestedAt := d.config.Clock.Now()
	withRoutes := requested || !d.starting() || d.Catalog().Routes.Version == 0 || d.unreadEvacuations()
	if withRoutes {
		d.counts.Reads.Add(1)
		read, err := limitCall(ctx, limit, d.config.Source.Routes)
		if read.Evacuations.Known() {
			d.recordIgnored(read.Faults, "operator")
			d.applyEvacuations(read.Evacuations, d.config.Clock.Since(requestedAt), "platform")
		}
		if err != nil {
			return err
		}
		d.recordIgnored(read.Routes.Faults, "config")
		d.applyRoutes(read.Routes, "platform")
	}
	d.counts.Reads.Add(1)
	former := d.catalog.Load().Servers.Position
	var faults []error
	servers, err := limitCall(ctx, limit, func(ctx context.Context) (list catalog.Servers, err error) {
		list, faults, err = d.config.Source.Servers(ctx)
		return list, err
	})
	if err != nil {
		return err
	}
	d.recordIgnored(faults, "platform")
	d.applyServers(servers, d.config.Clock.Since(requestedAt), "platform")
	if servers.Before(former) {
		return merry.Errorf("the platform answered with revision %d of epoch %d, which is before %d of epoch %d",
			servers.Revision, servers.Epoch, former.Revision, former.Epoch)
	}
	if withRoutes {
		d.mu.Lock()
		d.recordProved(requestedAt)
		d.mu.Unlock()
	}
	return nil
}

// untilDue returns the time until this balancer must read the platform; 0 or less if it
// must read now.
func (d *Directory) untilDue() time.Duration {
	if !d.Catalog().Complete() {
		return min(d.startReader().Due().Sub(d.config.Clock.Now()), startPollInterval)
	}
	delay := d.readDelay(d.rank(member.reads))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readAt.IsZero() {
		return 0
	}
	interval := d.pace(readInterval)
	if d.startingLocked() {
		interval = startReadInterval
	}
	due := d.readAt.Add(interval + delay)
	if limit := d.proofLimit(delay); limit.Before(due) {
		due = limit
		d.recordUnproved(due)
	}
	if onDemand := d.demand.reader.Due(); d.demand.requested() && onDemand.Before(due) {
		due = onDemand
	}
	return due.Sub(d.config.Clock.Now())
}

// proofLimit returns when a balancer reads the platform whatever digests have stated, since their
// senders or this balancer may have stood still in the meantime: delay is that of its rank. The caller
// holds the lock.
func (d *Directory) proofLimit(delay time.Duration) time.Time {
	since := d.provedAt
	if since.Before(d.firstReadAt) {
		since = d.firstReadAt
	}
	return since.Add(min(d.pace(readInterval+proofDelay)+delay, d.config.Bounds.MaxReadingAge()))
}

// recordUnproved counts and logs that a reading is due although digests have stated a younger one, once
// until the next proof. The caller holds the lock.
func (d *Directory) recordUnproved(due time.Time) {
	now := d.config.Clock.Now()
	if d.limitLogged || now.Before(due) {
		return
	}
	d.limitLogged = true
	d.counts.Unproved.Add(1)
	d.config.Log.Info("readingUnproved").Dur("statedAge", now.Sub(d.readAt)).Dur("provedAge", now.Sub(d.provedAt)).Send()
}

// readDelay returns how much later than the first one the balancer of a rank reads, out of count
// balancers. Whatever they do, none lets its list become older than MaxReadingAge. If the first
// ones are lost together, few others read before they learn of the first reading: each time the
// delay grows by a constant, the number of those that have read at most doubles.
func (d *Directory) readDelay(rank, count int) time.Duration {
	stepped := time.Duration(min(rank, steppedRanks)) * d.pace(rankStep)
	if rank <= steppedRanks {
		return stepped
	}
	rest := d.config.Bounds.MaxReadingAge() - d.pace(readInterval) - stepped
	return stepped + time.Duration(float64(rest)*math.Log(float64(rank)/steppedRanks)/math.Log(float64(count)/steppedRanks))
}

// starting reports whether this balancer got its first catalog less than readInterval
// ago, and no balancer with a complete list has sent its expired entries.
func (d *Directory) starting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startingLocked()
}

// startingLocked is starting for a caller that holds the lock.
func (d *Directory) startingLocked() bool {
	return !d.firstReadAt.IsZero() && !d.confirmed && d.config.Clock.Since(d.firstReadAt) < d.pace(readInterval)
}

// mayRead reports whether a balancer reads the platform for others, as soon as it can. Those that
// are about to stop do not, nor do those whose list is from an earlier epoch than the given one,
// or from an unknown one: their lists would not be applied. Nor do those that do not read the
// evacuated zones.
func (m member) mayRead(epoch uint64) bool {
	return !m.leaving && m.statesEpoch && m.epoch >= epoch && m.evacuations
}

// reads reports whether a balancer reads the platform for others.
func (m member) reads(epoch uint64) bool {
	return m.mayRead(epoch) && !m.failing
}

// rank returns the place of this balancer in the order of readers, from 0, and their number: live
// balancers that satisfy the predicate are ordered by address.
func (d *Directory) rank(counts func(m member, epoch uint64) bool) (rank, count int) {
	return d.rankAmong(d.liveThat(counts))
}

// rankAmong returns the place of this balancer among others in the order of their addresses, from 0,
// and the number of all of them.
func (d *Directory) rankAmong(others map[netip.AddrPort]member) (rank, count int) {
	before := lo.CountBy(lo.Keys(others), func(a netip.AddrPort) bool { return a.Compare(d.config.Self) < 0 })
	return before, len(others) + 1
}

// liveThat returns the other balancers that are live and satisfy a predicate.
func (d *Directory) liveThat(counts func(m member, epoch uint64) bool) map[netip.AddrPort]member {
	epoch := d.catalog.Load().Servers.Epoch
	return lo.PickBy(d.live(), func(_ netip.AddrPort, m member) bool { return counts(m, epoch) })
}

// staying returns the other balancers that are live and not about to stop.
func (d *Directory) staying() map[netip.AddrPort]member {
	return lo.PickBy(d.live(), func(_ netip.AddrPort, m member) bool { return !m.leaving })
}

// Peers returns the number of other balancers that are live.
func (d *Directory) Peers() int {
	return len(d.live())
}

// live returns the other balancers whose latest digest is more recent than memberTimeout.
func (d *Directory) live() map[netip.AddrPort]member {
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.PickBy(d.members, func(_ netip.AddrPort, m member) bool {
		return now.Sub(m.lastReceived) < d.pace(memberTimeout)
	})
}

// recordRead records the outcome of a read: it counts failures, and logs the start and the
// end of an outage of the platform.
func (d *Directory) recordRead(err error) {
	d.mu.Lock()
	before := d.failedSince
	if err == nil {
		d.failedSince = time.Time{}
	} else if before.IsZero() {
		d.failedSince = d.config.Clock.Now()
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
