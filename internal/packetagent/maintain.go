package packetagent

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Intervals and timeouts of periodic work.
const (
	// MaintainInterval is the time between calls of Maintain.
	MaintainInterval = 50 * time.Millisecond
	// reportInterval is the shortest time between reports of a changed load.
	reportInterval = 100 * time.Millisecond
	// reportIntervalPerBalancer is the shortest time between them for each subscriber: at
	// most 100 reports a second are sent, however many balancers there are.
	reportIntervalPerBalancer = 10 * time.Millisecond
	// subscriptionTimeout is how long a balancer receives reports after its latest message.
	subscriptionTimeout = 2 * time.Second
	// sweepInterval is the time between sweeps of the table.
	sweepInterval = 500 * time.Millisecond
	// closedRetention is how long a closed flow stays in the table; retransmissions arrive
	// within 1.6 s.
	closedRetention = 3 * time.Second
	// serverQueryTimeout is how long a server query is kept without a packet of the server.
	serverQueryTimeout = time.Second
	// activeWindow is how long a flow counts as active after its latest packet.
	activeWindow = 5 * time.Second
	// silentTimeout is how long a server may leave every packet unanswered before it counts
	// as silent; a working one answers a SYN within a millisecond.
	silentTimeout = 300 * time.Millisecond
	// silentDelay is the expected delay of a server that does not answer or is leaving.
	silentDelay = 60 * time.Second
)

// maintain calls Maintain at once and at intervals until the context ends.
func (a *Agent) maintain(ctx context.Context) {
	for {
		a.Maintain()
		select {
		case <-ctx.Done():
			return
		case <-a.config.Clock.After(MaintainInterval):
		}
	}
}

// Maintain does the periodic work: it logs a changed server state, probes the server, expires
// requests, sends reports, and removes old entries.
func (a *Agent) Maintain() {
	now := a.config.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.logSilence(now)
	a.probeIfDue(now)
	a.statePresence(now)
	a.expireRequests(now)
	a.reportChangedLoad(now)
	if now.Sub(a.sweptAt) >= sweepInterval {
		a.sweptAt = now
		a.sweep(now)
	}
}

// sweep counts the active flows, and removes expired flows, server queries and subscribers.
func (a *Agent) sweep(now time.Time) {
	a.active = a.table.Active(now.Add(-activeWindow))
	a.table.Sweep(now.Add(-closedRetention), now.Add(-a.config.MaxFlow))
	for f, q := range a.serverQueries {
		if now.Sub(q.at) > serverQueryTimeout {
			delete(a.serverQueries, f)
		}
	}
	for b, at := range a.subscribers {
		if now.Sub(at) > subscriptionTimeout {
			delete(a.subscribers, b)
		}
	}
}

// silent reports whether the server has left every packet unanswered past silentTimeout.
func (a *Agent) silent(now time.Time) bool {
	return !a.unansweredSince.IsZero() && now.Sub(a.unansweredSince) > silentTimeout
}

// mayProbe reports whether a SYN that would be refused is delivered instead, to find out whether
// a silent server answers again: at most one each silentTimeout. It records the probe.
func (a *Agent) mayProbe(now time.Time) bool {
	if a.leaving || !a.silent(now) || now.Sub(a.probedAt) < silentTimeout {
		return false
	}
	a.probedAt = now
	return true
}

// logSilence logs when the server stops and starts answering.
func (a *Agent) logSilence(now time.Time) {
	silent := a.silent(now)
	if silent == a.wasSilent {
		return
	}
	a.wasSilent = silent
	if silent {
		a.config.Log.Warn("serverSilent").Time("unansweredSince", a.unansweredSince).Int("running", len(a.running)).Send()
		return
	}
	a.config.Log.Info("serverAnswers").Send()
}

// load returns the load that is reported to balancers.
func (a *Agent) load(now time.Time) steer.Load {
	l := steer.Load{
		State:             steer.Up,
		Outstanding:       uint16(min(a.outstanding(now), math.MaxUint16)),
		Flows:             uint16(min(a.active, math.MaxUint16)),
		RequestsPerSecond: a.rate.perSecond(now),
		Failures:          a.failures.share(now),
		ServiceTime:       a.service.Mean(),
		Service:           a.config.Service,
		StoppedServer:     uint32(a.presence.Stopped(now)),
		TableComplete:     a.tableComplete(now),
	}
	switch {
	case a.leaving:
		l.State = steer.Leaving
	case a.silent(now):
		l.State = steer.Silent
	}
	return l
}

// sendReport reports the load to a balancer, and that the server holds flow f, unless that
// is the zero value.
func (a *Agent) sendReport(to netip.AddrPort, f packet.Flow, now time.Time) {
	var b [steer.ReportLen]byte
	steer.PutReport(b[:], a.load(now), f)
	a.Send(b[:], to)
}

// reportChangedLoad sends a report to the subscribers if the number of requests or the
// state has changed since the previous one, or if what that stated of the server is to be repeated.
func (a *Agent) reportChangedLoad(now time.Time) {
	elapsed := now.Sub(a.reportedAt)
	if elapsed < reportInterval {
		return
	}
	l := a.load(now)
	due := elapsed >= time.Duration(len(a.subscribers))*reportIntervalPerBalancer
	if l.State == a.reportedLoad.State && (!due || l.Outstanding == a.reportedLoad.Outstanding && a.repeats == 0) {
		return
	}
	a.repeats = max(a.repeats-1, 0)
	a.reportToSubscribers(l, now)
}

func (a *Agent) reportToSubscribers(l steer.Load, now time.Time) {
	a.reportedLoad, a.reportedAt = l, now
	var b [steer.ReportLen]byte
	steer.PutReport(b[:], l, packet.Flow{})
	for to, at := range a.subscribers {
		if now.Sub(at) <= subscriptionTimeout {
			a.Send(b[:], to)
		}
	}
}
