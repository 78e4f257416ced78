package balancer

import (
	"errors"
	"net"
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/envelope"
	"github.com/bergamotgw/bergamotgw/internal/quicheader"
)

// maxDatagramBytes is the longest datagram that is forwarded.
const maxDatagramBytes = 2048

// versionOneInitialMin is the shortest datagram that may open a flow (RFC 9000).
const versionOneInitialMin = 1200

// minInitialIDLen is the shortest connection ID that a caller may choose (RFC 9000).
const minInitialIDLen = 8

// forwardLoop reads datagrams behind headroom bytes until the socket is closed.
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
			b.drop(TooLong)
			continue
		}
		b.drop(forward(buf[:headroom+n], headroom, from))
	}
}

// toAgent forwards a datagram from the fabric. The datagram with its envelope
// starts at buf[start].
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
		return b.established(buf, start, e, agent, service)
	}
	return b.newFlow(buf, start, e, h, len(datagram))
}

func (b *Balancer) established(buf []byte, start int, e envelope.Envelope, agent netip.AddrPort, service uint32) Reason {
	if !b.permitted(agent.Addr()) {
		return ForeignAgent
	}
	e.Service = service
	e.Count, e.Hops, e.NewFlow = 0, 0, false
	e.Put(buf[start:])
	b.counts.Established.Add(1)
	return b.send(b.back, buf[start:], agent)
}

func (b *Balancer) newFlow(buf []byte, start int, e envelope.Envelope, h quicheader.Header, size int) Reason {
	if !h.Long {
		return UnknownID
	}
	if h.Version == 0 || len(h.DestinationID) < minInitialIDLen || size < versionOneInitialMin {
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
	if !b.permitted(from.Addr().Unmap()) {
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
