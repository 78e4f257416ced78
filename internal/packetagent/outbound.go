package packetagent

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/flowtable"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// readOutbound takes packets of the server.
func (a *Agent) readOutbound() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := a.outbound.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The kernel reports here that nobody listens at the server's address.
			a.counts.SendFailed.Add(1)
			continue
		}
		a.FromServer(buf[:n])
	}
}

// FromServer takes a packet of the server. It may change raw.
func (a *Agent) FromServer(raw []byte) {
	p, ok := a.config.Codec.Parse(raw)
	if !ok {
		a.counts.Malformed.Add(1)
		return
	}
	now := a.config.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered = time.Time{}
	a.noteSilence(now)
	if p.Bounced {
		a.handleBounce(p, raw, now)
		return
	}
	flow := p.AnsweredFlow()
	a.noteAnswer(flow, p, now)
	a.sendToCaller(raw, flow)
}

// noteAnswer follows the server's side of a flow.
func (a *Agent) noteAnswer(flow packet.Flow, p packet.Packet, now time.Time) {
	entry := a.table.Get(flow)
	if entry == nil {
		if p.Reset {
			return
		}
		// The flow was opened before this process started.
		a.counts.Learnt.Add(1)
		entry = a.table.Add(flow, now)
		entry.State = flowtable.Open
		a.tellAsker(entry, now)
	}
	if p.Reset && entry.Running {
		a.noteReset(entry, now)
	}
	if entry.RecordServerPacket(p, now) {
		a.finish(entry, p, now)
	}
	if entry.State == flowtable.Closed {
		a.logAbandoned(entry, now)
		a.cancel(entry)
		a.fill(now)
	}
}

// noteReset notes that the server has reset a request that it was given.
func (a *Agent) noteReset(entry *flowtable.Entry, now time.Time) {
	a.failures.add(true, now)
	a.counts.ServerFailures.Add(1)
	r := a.running[entry.Flow]
	a.config.Log.Failure("requestReset").Stringer("flow", entry.Flow).Str("request", entry.RequestID).
		Dur("server", now.Sub(r.delivered)).Float32("failures", a.failures.share(now)).Send()
	delete(a.running, entry.Flow)
	entry.Running = false
}

// tellAsker tells the balancer that searched for a flow that the server holds it.
func (a *Agent) tellAsker(entry *flowtable.Entry, now time.Time) {
	q, ok := a.asked[entry.Flow]
	if !ok {
		return
	}
	delete(a.asked, entry.Flow)
	entry.Class = q.class
	a.config.Log.Info("flowLearnt").Stringer("flow", entry.Flow).Send()
	a.report(q.balancer, entry.Flow, now)
}

// handleBounce passes a packet on that the server did not take. If the server
// had the flow before, it has restarted since, and the caller is told.
func (a *Agent) handleBounce(p packet.Packet, raw []byte, now time.Time) {
	a.counts.Bounced.Add(1)
	var e steer.Envelope
	known := a.tags.recall(p.Tag, &e)
	a.config.Codec.ClearMarks(raw)
	flow := p.SentFlow()
	delete(a.asked, flow)
	if !p.Syn && !a.complete(now) {
		a.denied.Put(flow, struct{}{})
	}
	if entry := a.table.Get(flow); entry != nil {
		if p.Syn && entry.State != flowtable.Opening {
			// A late copy of the SYN: the server's answer to the first stands.
			return
		}
		held := entry.State == flowtable.Open && entry.Matches(p)
		a.cancel(entry)
		a.table.Remove(flow)
		a.fill(now)
		if held && !p.Syn {
			a.config.Log.Info("flowReset").Stringer("flow", flow).Str("reason", "serverRestarted").Send()
			a.reset(flow, p.AckSeq)
			return
		}
	}
	switch {
	case !known:
		a.counts.Lost.Add(1)
	case !p.Syn:
		a.notHeld(&e, p, nil, raw)
	case a.passSyn(&e, flow, nil, raw):
		a.lost(&e, flow, false)
	}
}

func (a *Agent) sendToCaller(raw []byte, flow packet.Flow) {
	a.Send(raw, netip.AddrPortFrom(flow.Caller().Addr(), a.config.CallerPort))
}
