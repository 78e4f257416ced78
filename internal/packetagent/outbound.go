package packetagent

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/flowtable"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// readOutbound receives packets of the server until the socket is closed.
func (a *Agent) readOutbound() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := a.outbound.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The kernel reports here that no socket is open at the server's address.
			a.counts.SendFailed.Add(1)
			continue
		}
		a.HandleServerPacket(buf[:n])
	}
}

// HandleServerPacket handles a packet of the server. It may change raw.
func (a *Agent) HandleServerPacket(raw []byte) {
	p, ok := a.config.Codec.Parse(raw)
	if !ok {
		a.counts.Malformed.Add(1)
		return
	}
	now := a.config.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent(now) {
		a.recordRestart(a.unansweredSince, "answersAfterSilence", now)
	}
	a.unansweredSince, a.synUnansweredSince = time.Time{}, time.Time{}
	a.logSilence(now)
	if p.Bounced {
		a.handleBounce(p, raw, now)
		return
	}
	a.recordServerPacket(now)
	flow := p.FlowFromServer()
	a.handleAnswer(flow, p, now)
	a.sendToCaller(raw, flow)
}

// handleAnswer updates the state of a flow and of its request from a packet of the server.
func (a *Agent) handleAnswer(flow packet.Flow, p packet.Packet, now time.Time) {
	entry := a.table.Get(flow)
	if entry == nil {
		if p.Reset {
			return
		}
		// The flow was opened before this process started.
		a.counts.Learned.Add(1)
		entry = a.table.Add(flow, now)
		entry.State = flowtable.Open
		a.reportLearned(entry, now)
	}
	if p.Reset && entry.Running {
		a.recordReset(entry, now)
	}
	if entry.RecordServerPacket(p, now) {
		a.finishRequest(entry, p, now)
	}
	if entry.State == flowtable.Closed {
		a.logAbandoned(entry, now)
		a.dropRequest(entry)
		a.deliverHeld(now)
	}
}

// recordReset records that the server has reset a request that was delivered to it.
func (a *Agent) recordReset(entry *flowtable.Entry, now time.Time) {
	a.failures.add(true, now)
	a.counts.ServerFailures.Add(1)
	r := a.running[entry.Flow]
	a.config.Log.Failure("requestReset").Stringer("flow", entry.Flow).Str("request", entry.RequestID).
		Dur("server", now.Sub(r.deliveredAt)).Float32("failures", a.failures.share(now)).Send()
	delete(a.running, entry.Flow)
	entry.Running = false
}

// reportLearned reports a flow that the server holds to the balancer that searched for it.
func (a *Agent) reportLearned(entry *flowtable.Entry, now time.Time) {
	q, ok := a.serverQueries[entry.Flow]
	if !ok {
		return
	}
	delete(a.serverQueries, entry.Flow)
	entry.Class = q.class
	a.config.Log.Info("flowLearnt").Stringer("flow", entry.Flow).Send()
	a.sendReport(q.balancer, entry.Flow, now)
}

// handleBounce forwards a packet that the server bounced. If the server held the flow
// before, it has restarted since, and the caller receives a reset.
func (a *Agent) handleBounce(p packet.Packet, raw []byte, now time.Time) {
	a.counts.Bounced.Add(1)
	var e steer.Envelope
	found := a.tags.take(p.Tag, &e)
	a.config.Codec.ClearMarks(raw)
	flow := p.FlowFromCaller()
	delete(a.serverQueries, flow)
	if !p.Syn && !a.tableComplete(now) {
		a.bounced.Put(flow, struct{}{})
	}
	if entry := a.table.Get(flow); entry != nil {
		if p.Syn && entry.State != flowtable.Opening {
			// A late copy of the SYN: the server's answer to the first copy remains valid.
			return
		}
		held := entry.State == flowtable.Open && entry.Matches(p)
		a.dropRequest(entry)
		a.table.Remove(flow)
		a.deliverHeld(now)
		if held && !p.Syn {
			a.recordRestart(lo.Latest(entry.OpenedAt, a.completeness.Started()), "openFlowBounced", now)
			a.config.Log.Info("flowReset").Stringer("flow", flow).Str("reason", "serverRestarted").Send()
			a.reset(flow, p.AckSeq)
			return
		}
	}
	switch {
	case !found:
		a.counts.NotFound.Add(1)
	case !p.Syn:
		a.forwardNotHeld(&e, flow, nil, raw)
	case a.forwardSyn(&e, flow, nil, raw):
		a.sendNotFound(&e, flow, false)
	}
}

func (a *Agent) sendToCaller(raw []byte, flow packet.Flow) {
	a.Send(raw, netip.AddrPortFrom(flow.Caller().Addr(), a.config.CallerPort))
}
