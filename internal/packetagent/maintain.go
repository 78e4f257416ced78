package packetagent

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Timing of the work at intervals.
const (
	// MaintainInterval is the pause between rounds.
	MaintainInterval = 50 * time.Millisecond
	// reportInterval is the least pause between reports of a changed load.
	reportInterval = 100 * time.Millisecond
	// reportPause is the pause for each balancer that they go to: 100 reports a second
	// are sent whatever the number of balancers.
	reportPause = 10 * time.Millisecond
	// listenFor is how long a balancer gets reports after its latest message.
	listenFor = 2 * time.Second
	// sweepInterval is the pause between sweeps of the table.
	sweepInterval = 500 * time.Millisecond
	// closedFor is how long a closed flow is remembered; retransmissions come
	// within 1.6 s.
	closedFor = 3 * time.Second
	// askFor is how long an answer of the server to a question is waited for.
	askFor = time.Second
	// activeFor is how long a flow counts as active after its latest packet.
	activeFor = 5 * time.Second
	// silentAfter is how long a server may leave every packet unanswered; it
	// answers a SYN within a millisecond.
	silentAfter = 300 * time.Millisecond
	// silentDelay stands for the delay of a server that does not answer.
	silentDelay = 60 * time.Second
)

// maintain does the work at intervals until the context ends.
func (a *Agent) maintain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.config.Clock.After(MaintainInterval):
		}
		a.Maintain()
	}
}

// Maintain does the work that is due.
func (a *Agent) Maintain() {
	now := a.config.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteSilence(now)
	a.expire(now)
	a.reportChange(now)
	if now.Sub(a.swept) >= sweepInterval {
		a.swept = now
		a.sweep(now)
	}
}

func (a *Agent) sweep(now time.Time) {
	a.active = a.table.Active(now.Add(-activeFor))
	a.table.Sweep(now.Add(-closedFor), now.Add(-a.config.MaxFlow))
	for f, q := range a.asked {
		if now.Sub(q.at) > askFor {
			delete(a.asked, f)
		}
	}
	for b, at := range a.listeners {
		if now.Sub(at) > listenFor {
			delete(a.listeners, b)
		}
	}
}

// silent reports whether the server leaves packets unanswered.
func (a *Agent) silent(now time.Time) bool {
	return !a.unanswered.IsZero() && now.Sub(a.unanswered) > silentAfter
}

// noteSilence writes when the server stops and starts answering.
func (a *Agent) noteSilence(now time.Time) {
	silent := a.silent(now)
	if silent == a.wasSilent {
		return
	}
	a.wasSilent = silent
	if silent {
		a.config.Log.Warn("serverSilent").Time("unansweredSince", a.unanswered).Int("running", len(a.running)).Send()
		return
	}
	a.config.Log.Info("serverAnswers").Send()
}

// load returns what balancers are told.
func (a *Agent) load(now time.Time) steer.Load {
	l := steer.Load{
		State:             steer.Up,
		Outstanding:       uint16(min(a.outstanding(now), math.MaxUint16)),
		Flows:             uint16(min(a.active, math.MaxUint16)),
		RequestsPerSecond: a.rate.perSecond(now),
		Failures:          a.failures.share(now),
		ServiceTime:       a.service.Mean(),
	}
	switch {
	case a.leaving:
		l.State = steer.Leaving
	case a.silent(now):
		l.State = steer.Silent
	}
	return l
}

// report tells a balancer the load, and that the server holds a flow.
func (a *Agent) report(to netip.AddrPort, f packet.Flow, now time.Time) {
	var b [steer.ReportLen]byte
	steer.PutReport(b[:], a.load(now), f)
	a.Send(b[:], to)
}

// reportChange tells the balancers that sent something lately when the number
// of requests or the state has changed.
func (a *Agent) reportChange(now time.Time) {
	elapsed := now.Sub(a.reportedAt)
	if elapsed < reportInterval {
		return
	}
	l := a.load(now)
	due := elapsed >= time.Duration(len(a.listeners))*reportPause
	if l.State == a.reported.State && (!due || l.Outstanding == a.reported.Outstanding) {
		return
	}
	a.reportAll(l, now)
}

func (a *Agent) reportAll(l steer.Load, now time.Time) {
	a.reported, a.reportedAt = l, now
	var b [steer.ReportLen]byte
	steer.PutReport(b[:], l, packet.Flow{})
	for to, at := range a.listeners {
		if now.Sub(at) <= listenFor {
			a.Send(b[:], to)
		}
	}
}
