package packetbalancer

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/selection"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// readFront forwards packets of callers until the socket is closed.
func (b *Balancer) readFront() {
	for {
		n, _, err := b.front.ReadFromUDPAddrPort(b.buf[steer.MaxLen:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.counts.Malformed.Add(1)
			continue
		}
		b.forward(b.buf[:steer.MaxLen+n])
	}
}

// HandleCallerPacket forwards a packet of a caller. It must not be called concurrently with
// itself.
func (b *Balancer) HandleCallerPacket(raw []byte) {
	n := copy(b.buf[steer.MaxLen:], raw)
	b.forward(b.buf[:steer.MaxLen+n])
}

// forward routes one packet, which begins at steer.MaxLen in buf: new flows are placed, cached
// flows go to their agent, others are searched.
func (b *Balancer) forward(buf []byte) {
	b.packets.Add(1)
	p, ok := b.config.Codec.Parse(buf[steer.MaxLen:])
	if !ok || p.Bounced {
		b.counts.Malformed.Add(1)
		return
	}
	flow := p.FlowFromCaller()
	route, ok := b.config.Catalog().Route(flow.Service())
	if !ok {
		b.noRoute(p, flow)
		return
	}
	if p.Syn && !p.Ack {
		b.place(buf, p, flow, route)
		return
	}
	entry, ok := b.cache.Refresh(flow)
	if ok && entry.agent.IsValid() && !(*b.lostAgents.Load())[entry.agent] {
		b.counts.Cached.Add(1)
		b.cachedEnvelope.Clear()
		b.fillEnvelope(&b.cachedEnvelope, route)
		b.cachedEnvelope.Cached = true
		b.cachedEnvelope.Service = route.SelectID(func() uint64 { return b.selection.Hash(flow) })
		b.cachedEnvelope.Append(steer.Candidate{Agent: entry.agent})
		b.usedAgents.add(entry.agent)
		b.send(&b.cachedEnvelope, buf)
		return
	}
	b.search(buf, p, flow, route, entry)
}

// noRoute counts and logs a packet to an address without a route, and resets new flows if the
// catalog is complete.
func (b *Balancer) noRoute(p packet.Packet, flow packet.Flow) {
	b.counts.NoRoute.Add(1)
	b.config.Log.Info("noRoute").Stringer("flow", flow).Bool("new", p.Syn).Uint64("routes", b.config.Catalog().Routes.Version).Send()
	if p.Syn && b.config.Catalog().Complete() {
		b.reset(flow, p.AckSeq)
	}
}

func (b *Balancer) envelope(route *catalog.Route) (e steer.Envelope) {
	b.fillEnvelope(&e, route)
	return e
}

// fillEnvelope sets the fields that are the same for all packets of a route.
func (b *Balancer) fillEnvelope(e *steer.Envelope, route *catalog.Route) {
	e.Kind, e.Class, e.Balancer, e.Best = steer.Forward, route.Class, b.config.Back, steer.NoBest
}

// place offers a new flow to agents in the order of the placement. A copy of a SYN goes
// first to the agent in the cache, unless that agent is suspect.
func (b *Balancer) place(buf []byte, p packet.Packet, flow packet.Flow, route *catalog.Route) {
	now := b.config.Clock.Now()
	entry, known := b.cache.Get(flow)
	e := b.envelope(route)
	e.FreeSlot = b.config.Placement != nil
	b.mu.Lock()
	b.recordReading(now)
	hash := b.selection.Hash(flow)
	service := route.Select(hash)
	e.Service = catalog.ServiceID(service)
	if known && entry.agent.IsValid() && !b.selection.Suspect(entry.agent, now) {
		e.Append(steer.Candidate{Agent: entry.agent})
		e.Cached = true
	}
	b.selection.Choices(&e, hash, service, now)
	var first selection.Agent
	if e.Count > 0 {
		first = b.selection.Agent(e.Candidates[0].Agent)
		b.selection.RecordPlacement(first.Address, now)
	}
	unpinged := b.selection.NeverPingedOf(&e)
	reason := ""
	switch {
	case e.Count > 0:
	case b.selection.Evacuated(service):
		reason = "evacuated"
	case b.selection.Unavailable(service, now):
		reason = "noServer"
	}
	stopped := 0
	if e.Count == 0 {
		stopped = b.selection.StoppedServers(service)
	}
	b.mu.Unlock()
	if e.Count == 0 {
		b.counts.NoServer.Add(1)
		if reason != "" && p.AckSeq == 0 {
			b.refuse(flow, p, service, reason, stopped)
			return
		}
		b.config.Log.Info("flowNotPlaced").Stringer("flow", flow).Uint32("copy", p.AckSeq).Str("service", service).Int("stoppedServers", stopped).
			Dur("platformAge", now.Sub(b.config.ReadAt())).Send()
		return
	}
	b.counts.Placed.Add(1)
	b.config.Log.Info("flowPlaced").Stringer("flow", flow).Uint32("copy", p.AckSeq).Stringer("agent", first.Address).
		Uint8("choices", e.Count).Uint16("outstanding", first.Load.Outstanding).Dur("reportAge", now.Sub(first.LastReportAt)).
		Uint64("routes", b.config.Catalog().Routes.Version).Send()
	b.cache.Put(flow, cacheEntry{agent: e.Candidates[0].Agent, placed: !known && p.AckSeq == 0})
	if len(unpinged) > 0 {
		// The ping tells an agent what limits its server before it decides about the flow.
		b.ping(unpinged, now)
	}
	b.send(&e, buf)
}

// send writes the envelope in front of the packet and sends both to the first candidate.
func (b *Balancer) send(e *steer.Envelope, buf []byte) {
	start := steer.MaxLen - e.Len()
	e.Put(buf[start:])
	b.Send(buf[start:], e.Candidates[0].Agent)
}

// refuse resets a new flow of a service none of whose servers may be offered it. stopped is how many of
// them have stopped by the statement of their agents.
func (b *Balancer) refuse(flow packet.Flow, p packet.Packet, service, reason string, stopped int) {
	b.counts.Refused.Add(1)
	b.config.Log.Failure("flowRefused").Stringer("flow", flow).Str("service", service).Str("reason", reason).Int("stoppedServers", stopped).
		Dur("platformAge", b.config.Clock.Since(b.config.ReadAt())).Send()
	b.reset(flow, p.AckSeq)
}

// reset sends a reset to a caller whose flow is not served.
func (b *Balancer) reset(flow packet.Flow, seq uint32) {
	var raw [packet.ResetLen]byte
	n := b.config.Codec.PutReset(raw[:], flow, seq)
	to := netip.AddrPortFrom(flow.Caller().Addr(), b.config.Front.Port())
	if err := b.transport.SendToCaller(raw[:n], to); err != nil {
		b.counts.SendFailed.Add(1)
	}
}

// readBack receives datagrams of agents and other balancers until the socket is closed.
func (b *Balancer) readBack(ctx context.Context) {
	buf := make([]byte, steer.MaxLen+maxDatagramBytes)
	for {
		n, from, err := b.back.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.counts.Malformed.Add(1)
			continue
		}
		b.HandleFleetDatagram(ctx, buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// HandleFleetDatagram handles a datagram of an agent or another balancer.
func (b *Balancer) HandleFleetDatagram(ctx context.Context, raw []byte, from netip.AddrPort) {
	kind, ok := steer.KindOf(raw)
	switch {
	case ok && kind == steer.Report:
		b.handleReport(raw, from)
	case ok && kind == steer.Return:
		b.handleReturn(raw, from)
	case ok && kind == steer.NotFound:
		b.handleNotFound(raw)
	case ok && kind == steer.Answer:
		b.handleAnswer(raw, from)
	case ok && (kind == steer.Digest || kind == steer.ReadingRequest || kind == steer.ReadingDone):
		b.config.Digest(ctx, raw, from)
	default:
		b.counts.Malformed.Add(1)
	}
}

// handleReport records the load of an agent and caches the flow that it holds, which ends the
// search for that flow. If the flow was offered to another agent first, that one has passed it
// on. It sends no report then, and would count as silent until its next one.
func (b *Balancer) handleReport(raw []byte, from netip.AddrPort) {
	load, flow, ok := steer.ParseReport(raw)
	if !ok {
		b.counts.Malformed.Add(1)
		return
	}
	var entry cacheEntry
	if flow != (packet.Flow{}) {
		entry, _ = b.cache.Get(flow)
	}
	now := b.config.Clock.Now()
	b.mu.Lock()
	b.selection.RecordReport(from, load, now)
	if entry.placed && entry.agent != from {
		b.selection.RecordPassedOn(entry.agent, now)
	}
	delete(b.queries.byFlow, flow)
	b.mu.Unlock()
	if flow != (packet.Flow{}) {
		b.recordOutcome(flow, from)
		b.cache.Put(flow, cacheEntry{agent: from})
	}
}
