package balancer

import (
	"errors"
	"net"
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/envelope"
	"github.com/bergamotgw/bergamotgw/internal/quicheader"
)

// maxDatagramBytes is the size of the longest datagram that is forwarded.
const maxDatagramBytes = 2048

// minInitialBytes is the size of the shortest datagram that may open a flow (RFC 9000).
const minInitialBytes = 1200

// minInitialIDLen is the length in bytes of the shortest connection ID that a
// caller may choose (RFC 9000).
const minInitialIDLen = 8

// forwardLoop reads datagrams and forwards them until the socket is closed. It
// leaves headroom bytes free in front of each datagram.
func (b *Balancer) forwardLoop(c *net.UDPConn, headroom int, forward func(buf []byte, start int, from netip.AddrPort) Reason) {
	buf := make([]byte, headroom+maxDatagramBytes+1)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf[headroom:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if n > maxDatagramBytes {
			b.countDrop(TooLong)
			continue
		}
		b.countDrop(forward(buf[:headroom+n], headroom, from))
	}
}

// toAgent forwards a datagram from the fabric. Its envelope starts at buf[start];
// the bytes before that are free for a longer envelope.
func (b *Balancer) toAgent(buf []byte, start int, _ netip.AddrPort) Reason {
	e, datagram, ok := envelope.Parse(buf[start:])
	if !ok {
		return BadEnvelope
	}
	h, ok := quicheader.Parse(datagram, connid.Len)
	if !ok {
		return BadHeader
	}
	e.Via = b.via
	agent, service, ok := b.codec.Load().Open(h.DestinationID)
	if ok {
		return b.forwardEstablished(buf, start, e, agent, service)
	}
	return b.forwardNewFlow(buf, start, e, h, len(datagram))
}

func (b *Balancer) forwardEstablished(buf []byte, start int, e envelope.Envelope, agent netip.AddrPort, service uint32) Reason {
	if !b.inAgentNetworks(agent.Addr()) {
		return ForeignAgent
	}
	e.Service = service
	e.Count, e.Hops, e.NewFlow = 0, 0, false
	e.Put(buf[start:])
	b.counts.Established.Add(1)
	return b.send(b.back, buf[start:], agent)
}

func (b *Balancer) forwardNewFlow(buf []byte, start int, e envelope.Envelope, h quicheader.Header, size int) Reason {
	if !h.Long {
		return UnknownID
	}
	if h.Version == 0 || len(h.DestinationID) < minInitialIDLen || size < minInitialBytes {
		return NotInitial
	}
	service, n, ok := b.table.Load().Candidates(e.Address, h.DestinationID, e.Candidates[:])
	if !ok {
		return UnknownAddress
	}
	if n == 0 {
		return NoAgent
	}
	e.Service, e.Count, e.Hops, e.NewFlow = service, uint8(n), 0, true
	start += envelope.MinLen - e.Len()
	e.Put(buf[start:])
	b.counts.NewFlow.Add(1)
	return b.send(b.back, buf[start:], e.Candidates[0])
}

// toCaller forwards a datagram from an agent.
func (b *Balancer) toCaller(buf []byte, _ int, from netip.AddrPort) Reason {
	if !b.inAgentNetworks(from.Addr().Unmap()) {
		return ForeignAgent
	}
	if _, _, ok := envelope.Parse(buf); !ok {
		return BadEnvelope
	}
	b.counts.Answers.Add(1)
	return b.send(b.front, buf, b.fabric)
}

func (b *Balancer) send(c *net.UDPConn, datagram []byte, to netip.AddrPort) Reason {
	if _, err := c.WriteToUDPAddrPort(datagram, to); err != nil {
		return SendFailed
	}
	return Forwarded
}
