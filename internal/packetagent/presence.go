package packetagent

import (
	"errors"
	"syscall"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/presence"
)

// synAnswerTimeout is how long a server that runs takes to answer a SYN at most: it takes less than a
// millisecond, and may wait for the processor.
const synAnswerTimeout = 30 * time.Millisecond

// RecordProbe records the outcome of a connection attempt to the server that began at the given
// time, on the agent's own VM. Only a refused one shows that no server listened: without an answer, one may.
func (a *Agent) RecordProbe(began time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	a.counts.Probes.Add(1)
	wasDown := a.presence.Down()
	outcome := "refused"
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		a.counts.ProbesRefused.Add(1)
		a.presence.RecordRefused(began)
		// A server that listens later holds no flow whose packets did not pass this agent.
		a.completeness.RecordServerDown()
		if !wasDown && !a.leaving {
			a.recordServerDown(began, now)
		}
	case err != nil:
		outcome = string(presence.Unanswered)
		a.presence.RecordMayRun(presence.Unanswered, now)
	default:
		outcome = string(presence.Accepted)
		a.presence.RecordMayRun(presence.Accepted, now)
	}
	if outcome != a.probeLogged {
		a.probeLogged = outcome
		a.config.Log.Info("serverProbed").Str("outcome", outcome).AnErr("reason", err).Time("began", began).Send()
	}
	a.checkPresence(now)
}

// recordServerDown records that the server which listens next has started since: since the process
// started or, if a server has answered this process, since that one stopped to answer. What was
// delivered before the probe has not reached it.
func (a *Agent) recordServerDown(probeBegan, now time.Time) {
	after := a.completeness.Started()
	if a.synUnansweredSince.After(after) {
		after = a.synUnansweredSince
	}
	a.recordRestart(after, "serverDown", now)
	a.syns.Forget(probeBegan)
}

// recordServerPacket records that the server has sent a packet on a flow. What it bounces does not
// count: a server that has left bounces all packets while it refuses connections.
func (a *Agent) recordServerPacket(now time.Time) {
	a.presence.RecordMayRun(presence.Packet, now)
	if a.statedStopped != 0 {
		a.checkPresence(now)
	}
}

// checkPresence probes the server if that is due, and tells the balancers and the log if the agent
// begins or ceases to state that the listed server has stopped.
func (a *Agent) checkPresence(now time.Time) {
	// Only services with a limit need to know of a restart at once: others see it by the silence.
	if a.noticed.coldFlowsPerSecond > 0 && !a.synUnansweredSince.IsZero() && now.Sub(a.synUnansweredSince) > synAnswerTimeout {
		a.presence.RecordUnanswered(a.synUnansweredSince)
	}
	if a.config.Probe != nil && a.presence.ProbeDue(now) {
		a.config.Probe()
	}
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
	a.statedStopped = born
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
