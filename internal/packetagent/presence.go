package packetagent

import (
	"errors"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/presence"
)

// synAnswerTimeout is the longest time that a server which runs takes to answer a SYN: less than a
// millisecond, and what it waits for the processor.
const synAnswerTimeout = 30 * time.Millisecond

// statementRepeats is how often an agent repeats to the balancers that the listed server has stopped, or
// may run again. Links lose few datagrams.
const statementRepeats = 2

// RecordProbe records the outcome of a connection attempt to the server that began at the given
// time. Only a refused one shows that no server listened: without an answer, one may.
func (a *Agent) RecordProbe(began time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	a.counts.Probes.Add(1)
	outcome := string(presence.Accepted)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		outcome = "refused"
		a.recordRefusedProbe(began, now)
	case err != nil:
		outcome = string(presence.Unanswered)
		a.presence.RecordMayRun(presence.Unanswered, now)
	default:
		a.presence.RecordMayRun(presence.Accepted, now)
	}
	if outcome != a.probeLogged {
		a.probeLogged = outcome
		a.config.Log.Info("serverProbed").Str("outcome", outcome).AnErr("reason", err).Time("began", began).Send()
	}
	a.statePresence(now)
}

// recordRefusedProbe records that no server listened when a probe was refused. A server that listens
// later holds no flow whose packets did not pass this agent. It has started since the process did or,
// if a server has answered this process, since that one stopped to answer; and what was delivered
// before the probe has not reached it.
func (a *Agent) recordRefusedProbe(began, now time.Time) {
	first := !a.presence.Down()
	a.counts.ProbesRefused.Add(1)
	a.presence.RecordRefused(began)
	a.completeness.RecordServerDown()
	a.syns.Forget(began)
	if first && !a.leaving {
		a.recordRestart(lo.Latest(a.completeness.Started(), a.synUnansweredSince), "serverDown", now)
	}
}

// recordServerPacket records that the server has sent a packet on a flow. What it bounces does not
// count: a server that has left bounces all packets while it refuses connections.
func (a *Agent) recordServerPacket(now time.Time) {
	a.presence.RecordMayRun(presence.Packet, now)
	if a.statedStopped != 0 {
		a.statePresence(now)
	}
}

// probeIfDue probes the server if that is due. Only services with a limit for cold servers need to
// know of a restart before a silence shows it.
func (a *Agent) probeIfDue(now time.Time) {
	if a.config.Probe == nil {
		return
	}
	if a.noticed.coldFlowsPerSecond > 0 && !a.synUnansweredSince.IsZero() && now.Sub(a.synUnansweredSince) > synAnswerTimeout {
		a.presence.RecordUnanswered(a.synUnansweredSince)
	}
	if a.presence.ProbeDue(now) {
		a.config.Probe()
	}
}

// statePresence tells the balancers and the log if the agent begins or ceases to state that the listed
// server has stopped.
func (a *Agent) statePresence(now time.Time) {
	born := a.presence.Stopped(now)
	if born == a.statedStopped {
		return
	}
	if born != 0 {
		a.config.Log.Warn("serverStopped").Time("started", time.UnixMilli(born)).Send()
	} else {
		a.config.Log.Info("serverMayRun").Time("started", time.UnixMilli(a.statedStopped)).
			Str("reason", string(a.presence.Evidence(now))).Send()
	}
	a.statedStopped, a.repeats = born, statementRepeats
	a.reportToSubscribers(a.load(now), now)
}

// ServerDown reports whether no server listened at the latest probe.
func (a *Agent) ServerDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.presence.Down()
}

// ListedServerStopped reports whether the agent states that the server that balancers list has
// stopped.
func (a *Agent) ListedServerStopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.presence.Stopped(a.config.Clock.Now()) != 0
}
