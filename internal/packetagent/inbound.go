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

// readRelay takes what balancers and other agents send.
func (a *Agent) readRelay() {
	buf := make([]byte, steer.MaxLen+maxDatagramBytes)
	for {
		n, from, err := a.relay.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.counts.Malformed.Add(1)
			continue
		}
		a.FromFleet(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// FromFleet takes a datagram of a balancer or another agent. It may change raw.
func (a *Agent) FromFleet(raw []byte, from netip.AddrPort) {
	kind, _ := steer.KindOf(raw)
	if kind == steer.Digest && a.config.Digest != nil {
		a.config.Digest(raw, from)
		return
	}
	var e steer.Envelope
	now := a.config.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if kind == steer.Ping {
		a.listeners[from] = now
		a.report(from, packet.Flow{}, now)
		return
	}
	if kind == steer.Query {
		a.handleQuery(raw, from, now)
		return
	}
	rest, ok := e.Parse(raw)
	if !ok || e.Kind != steer.Forward {
		a.counts.Malformed.Add(1)
		return
	}
	p, ok := a.config.Codec.Parse(rest)
	if !ok {
		a.counts.Malformed.Add(1)
		return
	}
	a.listeners[e.Balancer] = now
	if s := e.Self().Slots; s > 0 {
		a.slots = int(s)
	}
	if p.Syn && !p.Ack {
		a.handleSyn(&e, p, raw, rest, now)
		return
	}
	a.handlePacket(&e, p, raw, rest, now)
}

// handleSyn admits a new flow, or passes it to the next candidate.
func (a *Agent) handleSyn(e *steer.Envelope, p packet.Packet, raw, rest []byte, now time.Time) {
	flow := p.SentFlow()
	if e.Service != a.config.Service {
		a.counts.WrongService.Add(1)
		a.config.Log.Warn("flowForOtherService").Stringer("flow", flow).Stringer("balancer", e.Balancer).Send()
		a.passSyn(e, flow, raw, rest)
		return
	}
	if entry := a.table.Get(flow); entry != nil && entry.State == flowtable.Open {
		a.deliverSyn(e, entry, p, rest, now)
		return
	}
	if entry := a.table.Get(flow); entry != nil && entry.State == flowtable.Opening {
		// The server left the first copy unanswered.
		if e.Take || a.offer(e, flow, raw, rest, silentDelay) {
			a.deliverSyn(e, entry, p, rest, now)
		}
		return
	}
	delay, ready := a.delay(now)
	if !ready && !e.Take && !a.offer(e, flow, raw, rest, delay) {
		return
	}
	if timeout := time.Duration(e.Class.TimeoutMillis) * time.Millisecond; !ready && timeout > 0 && delay >= timeout {
		a.refuse(e, p, delay, timeout)
		return
	}
	a.admit(e, p, rest, delay, now)
}

// admit offers a new flow to the server.
func (a *Agent) admit(e *steer.Envelope, p packet.Packet, rest []byte, delay time.Duration, now time.Time) {
	flow := p.SentFlow()
	a.config.Log.Info("flowAdmitted").Stringer("flow", flow).Uint8("hop", e.Hop).Bool("take", e.Take).
		Uint32("copy", p.AckSeq).Dur("delay", delay).Int("running", len(a.running)).Int("waiting", a.queue.Len()).Int("slots", a.slotCount()).Send()
	a.denied.Remove(flow)
	entry := a.table.Add(flow, now)
	entry.Class, entry.OpenedAt = e.Class, now.Add(-copyAge(p.AckSeq))
	a.expected[flow] = now
	a.counts.Admitted.Add(1)
	a.deliverSyn(e, entry, p, rest, now)
}

// copyAge returns how long ago the first SYN was sent, given the number of the
// copy: callers repeat it after 200 and 600 ms.
func copyAge(number uint32) time.Duration {
	switch number {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

func (a *Agent) deliverSyn(e *steer.Envelope, entry *flowtable.Entry, p packet.Packet, rest []byte, now time.Time) {
	entry.RecordCallerPacket(p, now)
	a.report(e.Balancer, entry.Flow, now)
	a.deliver(e, p, rest, now)
}

// offer passes a new flow to the next candidate, or to the one with the
// shortest delay if all were asked. It returns true if that is this agent.
func (a *Agent) offer(e *steer.Envelope, flow packet.Flow, raw, rest []byte, delay time.Duration) (own bool) {
	if millis := uint16(min(delay.Milliseconds(), silentDelay.Milliseconds())); e.Best == steer.NoBest || millis < e.BestDelayMillis {
		e.Best, e.BestDelayMillis = e.Hop, millis
	}
	a.config.Log.Info("flowPassedOn").Stringer("flow", flow).Uint8("hop", e.Hop).Uint8("of", e.Count).Dur("delay", delay).
		Int("running", len(a.running)).Int("waiting", a.queue.Len()).Int("slots", a.slotCount()).Bool("leaving", a.leaving).Send()
	return a.passSyn(e, flow, raw, rest)
}

// passSyn passes a new flow on. At the end of the list it goes to the candidate
// with the shortest delay, which must take it; passSyn returns true if that is
// this agent.
func (a *Agent) passSyn(e *steer.Envelope, flow packet.Flow, raw, rest []byte) (own bool) {
	if a.passOn(e, raw, rest) {
		return false
	}
	if e.Take || e.Best == steer.NoBest {
		a.lost(e, flow, false)
		return false
	}
	e.Take, e.Hop = true, e.Best
	if e.Self().Agent == a.config.Relay {
		return true
	}
	a.resend(e, raw, rest)
	return false
}

// passOn sends a packet to the next candidate, if there is one.
func (a *Agent) passOn(e *steer.Envelope, raw, rest []byte) bool {
	if e.Take {
		return false
	}
	for e.Hop+1 < e.Count {
		e.Hop++
		if e.Self().Agent != a.config.Relay {
			a.counts.PassedOn.Add(1)
			a.resend(e, raw, rest)
			return true
		}
	}
	return false
}

// resend sends a packet with its changed envelope to the candidate in it.
func (a *Agent) resend(e *steer.Envelope, raw, rest []byte) {
	a.transmit(e, raw, rest, e.Self().Agent)
}

// transmit sends a packet with its changed envelope, which has the length that
// it had in raw. raw is nil if the packet did not come with its envelope.
func (a *Agent) transmit(e *steer.Envelope, raw, rest []byte, to netip.AddrPort) {
	if raw == nil {
		raw = make([]byte, e.Len()+len(rest))
		copy(raw[e.Len():], rest)
	}
	e.Put(raw)
	a.Send(raw, to)
}

// handlePacket delivers a packet of a flow that the server holds, and passes
// others on.
func (a *Agent) handlePacket(e *steer.Envelope, p packet.Packet, raw, rest []byte, now time.Time) {
	flow := p.SentFlow()
	entry := a.table.Get(flow)
	if entry != nil && entry.Matches(p) {
		a.found(e, entry, now)
		a.deliverPacket(e, entry, p, rest, now)
		return
	}
	if entry != nil {
		a.config.Log.Warn("packetOfOtherServer").Stringer("flow", flow).Uint8("state", uint8(entry.State)).
			Uint32("acknowledged", p.AckSeq).Uint32("serverNext", entry.ServerNext()).Send()
	}
	if entry == nil && a.unsure(flow, now) && e.Service == a.config.Service {
		a.counts.Asked.Add(1)
		a.asked[flow] = asking{balancer: e.Balancer, class: e.Class, at: now}
		a.config.Log.Info("serverAsked").Stringer("flow", flow).Uint8("hop", e.Hop).
			Uint8("agents", e.Count).Bool("cached", e.Cached).Send()
		a.deliver(e, p, rest, now)
		return
	}
	a.notHeld(e, p, raw, rest)
}

// handleQuery tells a balancer which of some flows the server holds.
func (a *Agent) handleQuery(raw []byte, from netip.AddrPort, now time.Time) {
	id, flows, ok := steer.ParseQuery(raw)
	if !ok {
		a.counts.Malformed.Add(1)
		return
	}
	holdings := make([]steer.Holding, len(flows))
	for i, f := range flows {
		entry := a.table.Get(f.Flow)
		switch {
		case entry != nil && entry.Matches(packet.Packet{Ack: f.Ack, AckSeq: f.AckSeq}):
			holdings[i] = steer.Held
			a.config.Log.Info("flowFound").Stringer("flow", f.Flow).Stringer("balancer", from).Send()
		case entry == nil && a.unsure(f.Flow, now):
			holdings[i] = steer.Unsure
		default:
			holdings[i] = steer.NotHeld
		}
	}
	var answer [steer.AnswerMaxLen]byte
	a.Send(answer[:steer.PutAnswer(answer[:], id, holdings)], from)
}

// unsure reports whether the server may hold a flow that is not in the table.
func (a *Agent) unsure(flow packet.Flow, now time.Time) bool {
	if a.complete(now) {
		return false
	}
	_, denied := a.denied.Get(flow)
	return !denied
}

// found tells a balancer that searched for a flow where it is.
func (a *Agent) found(e *steer.Envelope, entry *flowtable.Entry, now time.Time) {
	entry.Class = e.Class
	if !e.Cached {
		a.config.Log.Info("flowFound").Stringer("flow", entry.Flow).Uint8("hop", e.Hop).Send()
		a.report(e.Balancer, entry.Flow, now)
	}
}

// notHeld passes a packet on whose flow the server does not hold. Each agent
// that passes it on has found out that its server does not hold the flow, so
// after the last one of all agents the flow is gone, and its caller is told.
func (a *Agent) notHeld(e *steer.Envelope, p packet.Packet, raw, rest []byte) {
	flow := p.SentFlow()
	if !e.Cached && a.passOn(e, raw, rest) {
		return
	}
	if e.Cached || e.More {
		a.returnPacket(e, flow, raw, rest)
		return
	}
	a.lost(e, flow, !e.Aside)
	if e.Complete && !p.Reset {
		a.config.Log.Info("flowReset").Stringer("flow", flow).Str("reason", "notHeldAnywhere").
			Uint8("page", e.Page).Uint8("agentsAsked", e.Count).Send()
		a.reset(flow, p.AckSeq)
	}
}

// returnPacket sends a packet back to its balancer, which searches for the flow.
func (a *Agent) returnPacket(e *steer.Envelope, flow packet.Flow, raw, rest []byte) {
	a.counts.Returned.Add(1)
	a.config.Log.Info("packetReturned").Stringer("flow", flow).Bool("cached", e.Cached).Uint8("page", e.Page).Send()
	e.Kind = steer.Return
	a.transmit(e, raw, rest, e.Balancer)
}

// lost tells the balancer that nobody takes or holds a flow. searched tells that
// this ends a search.
func (a *Agent) lost(e *steer.Envelope, flow packet.Flow, searched bool) {
	a.counts.Lost.Add(1)
	var b [steer.LostLen]byte
	steer.LostNotice{Flow: flow, Complete: e.Complete, Searched: searched, Attempt: e.Attempt, List: e.List}.Put(b[:])
	a.Send(b[:], e.Balancer)
}

// refuse resets a new flow that the server could not serve in time. The first
// copy of a SYN alone is refused: an earlier copy may have opened the flow at
// another server, whose answer is on its way.
func (a *Agent) refuse(e *steer.Envelope, p packet.Packet, delay, timeout time.Duration) {
	flow := p.SentFlow()
	if p.AckSeq > 0 {
		a.lost(e, flow, false)
		return
	}
	a.counts.Refused.Add(1)
	a.config.Log.Warn("flowRefused").Stringer("flow", flow).Str("reason", "overload").
		Dur("expectedDelay", delay).Dur("timeout", timeout).Send()
	a.reset(flow, p.AckSeq)
}

func (a *Agent) reset(flow packet.Flow, seq uint32) {
	var raw [packet.ResetLen]byte
	n := a.config.Codec.PutReset(raw[:], flow, seq)
	a.sendToCaller(raw[:n], flow)
}

// deliver gives a packet to the server, with a tag that a bounce carries back.
func (a *Agent) deliver(e *steer.Envelope, p packet.Packet, rest []byte, now time.Time) {
	a.config.Codec.PutTag(rest, a.tags.remember(e))
	a.write(p, rest, now)
}

func (a *Agent) write(p packet.Packet, rest []byte, now time.Time) {
	if a.unanswered.IsZero() && (p.Syn || p.Fin || len(p.Data) > 0) {
		a.unanswered = now
	}
	if err := a.wire.ToServer(rest); err != nil {
		a.counts.SendFailed.Add(1)
	}
}
