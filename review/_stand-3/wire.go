package main

import (
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/platform"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// codec decodes packets as the platform encodes them.
var codec = platform.PacketCodec()

// maxDatagram is the length of the receive buffers, in bytes.
const maxDatagram = 2048

// fromCaller returns a packet of a flow that its caller sends.
func fromCaller(f packet.Flow, p packet.Packet) []byte {
	p.SourceIP, p.SourcePort = f.CallerIP, f.CallerPort
	p.DestinationIP, p.DestinationPort = f.ServiceIP, f.ServicePort
	return standin.EncodePacket(p)
}

// fromServer returns a packet of a flow that its server sends.
func fromServer(f packet.Flow, p packet.Packet) []byte {
	p.SourceIP, p.SourcePort = f.ServiceIP, f.ServicePort
	p.DestinationIP, p.DestinationPort = f.CallerIP, f.CallerPort
	return standin.EncodePacket(p)
}

// bounce returns a packet as a server returns it that does not hold its flow: with the mark, the
// same tag, and pad 0.
func bounce(raw []byte) []byte {
	const flagsOffset, padOffset, bounced = 22, 23, 1
	b := append([]byte(nil), raw...)
	b[flagsOffset] |= bounced
	b[padOffset] = 0
	return b
}

// loopback returns 127.group.0.n.
func loopback(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(group), 0, byte(n)})
}
