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

// readRelay receives datagrams of balancers and other agents until the socket is closed.
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
		a.HandleFleetDatagram(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// HandleFleetDatagram handles a datagram of a balancer or another agent, received from the
// given address. It may change raw.
func (a *Agent) HandleFleetDatagram(raw []byte, from netip.AddrPort) {
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
		if n, ok := steer.ParsePing(raw); ok && a.recordNotice(n, now) {
			// Balancers that search flows need not wait for the next change of the load.
			a.reportToSubscribers(a.load(now), now)
		}
		a.subscribers[from] = now
		a.sendReport(from, packet.Flow{}, now)
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
	a.subscribers[e.Balancer] = now
	if s := e.Self().Slots; s > 0 {
		a.slots = int(s)
	}
	if p.Syn && !p.Ack {
		a.handleSyn(&e, p, raw, rest, now)
		return
	}
	a.handlePacket(&e, p, raw, rest, now)
}

// handleSyn admits a new flow, forwards it to the next candidate, or refuses it.
func (a *Agent) handleSyn(e *steer.Envelope, p packet.Packet, raw, rest []byte, now time.Time) {
	flow := p.FlowFromCaller()
	if e.Service != a.config.Service {
		a.counts.WrongService.Add(1)
		a.config.Log.Warn("flowForOtherService").Stringer("flow", flow).Stringer("balancer", e.Balancer).Send()
		a.forwardSyn(e, flow, raw, rest)
		return
	}
	if a.coldLimitReached(now) {
		a.declineCold(e, p, raw, rest, now)
		return
	}
	entry := a.table.Get(flow)
	if entry != nil && entry.State == flowtable.Open {
		a.deliverSyn(e, entry, p, rest, now)
		return
	}
	opening := entry != nil && entry.State == flowtable.Opening
	if a.evacuated(now) {
		a.forwardFromEvacuated(e, p, raw, rest, opening)
		return
	}
	if opening {
		// The server has not answered the first copy of the SYN.
		if e.MustAdmit || a.decline(e, flow, raw, rest, silentDelay) {
			a.deliverSyn(e, entry, p, rest, now)
		}
		return
	}
	delay, ready := a.delay(now, e.FreeSlot)
	a.recordOffer(e, now)
	if !ready && !e.MustAdmit && !a.decline(e, flow, raw, rest, delay) {
		return
	}
	if timeout := time.Duration(e.Class.TimeoutMillis) * time.Millisecond; !ready && timeout > 0 && delay >= timeout && !a.mayProbe(now) {
		a.refuse(e, p, delay, timeout)
		return
	}
	if !ready && a.shed(e, p, delay, now) {
		return
	}
	a.admit(e, p, rest, delay, now)
}

// admit adds a new flow to the table and delivers its SYN to the server.
func (a *Agent) admit(e *steer.Envelope, p packet.Packet, rest []byte, delay time.Duration, now time.Time) {
	flow := p.FlowFromCaller()
	a.config.Log.Info("flowAdmitted").Stringer("flow", flow).Uint8("hop", e.Hop).Bool("take", e.MustAdmit).
		Uint32("copy", p.AckSeq).Dur("delay", delay).Int("running", len(a.running)).Int("waiting", a.queue.Len()).Int("slots", a.slotCount()).Send()
	a.bounced.Remove(flow)
	entry := a.table.Add(flow, now)
	entry.Class, entry.OpenedAt = e.Class, now.Add(-copyAge(p.AckSeq))
	a.expected[flow] = now
	a.counts.Admitted.Add(1)
	a.shedder.RecordAdmitted(e.Class, now)
	a.deliverSyn(e, entry, p, rest, now)
}

// copyAge returns how long ago the first SYN was sent, given the number of the copy
// (0 for the first): callers retransmit it after 200 and 600 ms.
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
	a.countSyn(now)
	entry.RecordCallerPacket(p, now)
	a.sendReport(e.Balancer, entry.Flow, now)
	a.deliver(e, p, rest, now)
}

// decline writes the expected delay of this agent into the envelope of a new flow, if it
// is the shortest so far, and forwards the SYN to the next candidate, or to the one with
// the shortest delay if there is no further one. It returns true if that is this agent.
func (a *Agent) decline(e *steer.Envelope, flow packet.Flow, raw, rest []byte, delay time.Duration) (own bool) {
	if millis := uint16(min(delay.Milliseconds(), silentDelay.Milliseconds())); e.Best == steer.NoBest || millis < e.BestDelayMillis {
		e.Best, e.BestDelayMillis = e.Hop, millis
	}
	a.config.Log.Info("flowPassedOn").Stringer("flow", flow).Uint8("hop", e.Hop).Uint8("of", e.Count).Dur("delay", delay).
		Int("running", len(a.running)).Int("waiting", a.queue.Len()).Int("slots", a.slotCount()).Bool("leaving", a.leaving).Send()
	return a.forwardSyn(e, flow, raw, rest)
}

// forwardSyn forwards a SYN to the next candidate. At the end of the list it goes to the
// candidate with the shortest delay, which must admit the flow; forwardSyn returns true if
// that is this agent.
func (a *Agent) forwardSyn(e *steer.Envelope, flow packet.Flow, raw, rest []byte) (own bool) {
	if a.forwardToNext(e, raw, rest) {
		return false
	}
	if e.MustAdmit || e.Best == steer.NoBest {
		a.sendNotFound(e, flow, false)
		return false
	}
	e.MustAdmit, e.Hop = true, e.Best
	if e.Self().Agent == a.config.Relay {
		return true
	}
	a.resend(e, raw, rest)
	return false
}

// forwardToNext sends a packet to the next candidate. It returns false if there is none.
func (a *Agent) forwardToNext(e *steer.Envelope, raw, rest []byte) bool {
	if e.MustAdmit {
		return false
	}
	for e.Hop+1 < e.Count {
		e.Hop++
		if e.Self().Agent != a.config.Relay {
			a.counts.Forwarded.Add(1)
			a.resend(e, raw, rest)
			return true
		}
	}
	return false
}

// forwardToBest sends a packet to the candidate with the shortest delay of those that declined it,
// which must admit it. It returns false if there is none, or if it is this agent.
func (a *Agent) forwardToBest(e *steer.Envelope, raw, rest []byte) bool {
	if e.MustAdmit || e.Best == steer.NoBest || e.Candidates[e.Best].Agent == a.config.Relay {
		return false
	}
	e.MustAdmit, e.Hop = true, e.Best
	a.resend(e, raw, rest)
	return true
}

// resend sends a packet with its changed envelope to the current candidate in the envelope.
func (a *Agent) resend(e *steer.Envelope, raw, rest []byte) {
	a.transmit(e, raw, rest, e.Self().Agent)
}

// transmit sends a packet with its changed envelope, whose length must be the same as in
// raw. raw is nil if the packet was not received with its envelope.
func (a *Agent) transmit(e *steer.Envelope, raw, rest []byte, to netip.AddrPort) {
	if raw == nil {
		raw = make([]byte, e.Len()+len(rest))
		copy(raw[e.Len():], rest)
	}
	e.Put(raw)
	a.Send(raw, to)
}

// handlePacket delivers a packet whose flow the server holds or may hold, and forwards or
// returns others.
func (a *Agent) handlePacket(e *steer.Envelope, p packet.Packet, raw, rest []byte, now time.Time) {
	flow := p.FlowFromCaller()
	entry := a.table.Get(flow)
	if entry != nil && entry.Matches(p) {
		a.reportFound(e, entry, now)
		a.deliverPacket(e, entry, p, rest, now)
		return
	}
	if entry != nil {
		a.config.Log.Warn("packetOfOtherServer").Stringer("flow", flow).Uint8("state", uint8(entry.State)).
			Uint32("acknowledged", p.AckSeq).Uint32("serverNext", entry.ServerNext()).Send()
	}
	if entry == nil && a.mayHold(flow, now) {
		a.counts.ServerQueries.Add(1)
		a.serverQueries[flow] = serverQuery{balancer: e.Balancer, class: e.Class, at: now}
		a.config.Log.Info("serverAsked").Stringer("flow", flow).Uint8("hop", e.Hop).
			Uint8("agents", e.Count).Bool("cached", e.Cached).Send()
		a.deliver(e, p, rest, now)
		return
	}
	a.forwardNotHeld(e, flow, raw, rest)
}

// handleQuery answers the query of a balancer which of some flows the server holds.
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
		case entry == nil && a.mayHold(f.Flow, now):
			holdings[i] = steer.Unknown
		default:
			holdings[i] = steer.NotHeld
		}
	}
	var answer [steer.AnswerMaxLen]byte
	a.Send(answer[:steer.PutAnswer(answer[:], id, holdings)], from)
}

// mayHold reports whether the server may hold a flow that is not in the table: the table
// may lack flows, and the server has not bounced a packet of this one.
func (a *Agent) mayHold(flow packet.Flow, now time.Time) bool {
	if a.tableComplete(now) {
		return false
	}
	_, bounced := a.bounced.Get(flow)
	return !bounced
}

// reportFound stores the class of a flow, and reports the flow to its balancer if that has
// searched for it.
func (a *Agent) reportFound(e *steer.Envelope, entry *flowtable.Entry, now time.Time) {
	entry.Class = e.Class
	if !e.Cached {
		a.config.Log.Info("flowFound").Stringer("flow", entry.Flow).Uint8("hop", e.Hop).Send()
		a.sendReport(e.Balancer, entry.Flow, now)
	}
}

// forwardNotHeld handles a packet whose flow the server does not hold: it forwards the
// packet along the search path, or returns it to its balancer. The last agent of the path
// notifies the balancer, which alone determines whether no server holds the flow.
func (a *Agent) forwardNotHeld(e *steer.Envelope, flow packet.Flow, raw, rest []byte) {
	if !e.Cached && a.forwardToNext(e, raw, rest) {
		return
	}
	if e.Cached || e.More {
		a.returnPacket(e, flow, raw, rest)
		return
	}
	a.sendNotFound(e, flow, !e.Direct)
}

// returnPacket returns a packet to its balancer, which searches for the flow.
func (a *Agent) returnPacket(e *steer.Envelope, flow packet.Flow, raw, rest []byte) {
	a.counts.Returned.Add(1)
	a.config.Log.Info("packetReturned").Stringer("flow", flow).Bool("cached", e.Cached).Uint8("page", e.Page).Send()
	e.Kind = steer.Return
	a.transmit(e, raw, rest, e.Balancer)
}

// sendNotFound notifies the balancer that no candidate holds or admits a flow. searched is
// true if this ends a search.
func (a *Agent) sendNotFound(e *steer.Envelope, flow packet.Flow, searched bool) {
	a.counts.NotFound.Add(1)
	var b [steer.NotFoundLen]byte
	steer.NotFoundNotice{Flow: flow, Searched: searched, Attempt: e.Attempt, ListVersion: e.ListVersion}.Put(b[:])
	a.Send(b[:], e.Balancer)
}

// refuse resets a new flow that the server could not serve in time. Only the first copy of
// a SYN is refused. For a later one the balancer is notified instead: an earlier copy may
// have opened the flow at another server, whose answer is on its way.
func (a *Agent) refuse(e *steer.Envelope, p packet.Packet, delay, timeout time.Duration) {
	flow := p.FlowFromCaller()
	if p.AckSeq > 0 {
		a.sendNotFound(e, flow, false)
		return
	}
	a.counts.Refused.Add(1)
	a.config.Log.Failure("flowRefused").Stringer("flow", flow).Str("reason", "overload").
		Dur("expectedDelay", delay).Dur("timeout", timeout).Send()
	a.shedder.RecordRefused(flow)
	a.reset(flow, p.AckSeq)
}

func (a *Agent) reset(flow packet.Flow, seq uint32) {
	var raw [packet.ResetLen]byte
	n := a.config.Codec.PutReset(raw[:], flow, seq)
	a.sendToCaller(raw[:n], flow)
}

// deliver sends a packet to the server, with a tag that identifies its envelope if the
// server bounces it.
func (a *Agent) deliver(e *steer.Envelope, p packet.Packet, rest []byte, now time.Time) {
	a.config.Codec.PutTag(rest, a.tags.store(e))
	a.writeToServer(p, rest, now)
}

func (a *Agent) writeToServer(p packet.Packet, rest []byte, now time.Time) {
	if a.unansweredSince.IsZero() && (p.Syn || p.Fin || len(p.Data) > 0) {
		a.unansweredSince = now
	}
	if p.Syn && a.synUnansweredSince.IsZero() {
		a.synUnansweredSince = now
	}
	if err := a.transport.SendToServer(rest); err != nil {
		a.counts.SendFailed.Add(1)
	}
}
