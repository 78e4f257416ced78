package packetlab

import (
	"encoding/binary"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// headerLen is the length of the emulator's packet header, in bytes.
const headerLen = 30

// Offsets of the header's fields, in bytes. The layout differs from that of the platform, so
// that code outside the codec that relies on a layout fails.
const (
	flagsOffset  = 0
	sourceOffset = 1
	sourcePort   = 5
	destOffset   = 7
	destPort     = 11
	seqOffset    = 13
	ackOffset    = 17
	tagOffset    = 21
	lenOffset    = 25
)

// Bits of the header's flags.
const (
	synBit = 1 << iota
	ackBit
	finBit
	resetBit
	bouncedBit
)

// codec returns the codec of the emulator's packets.
func codec() packet.Codec {
	return packet.Codec{
		Parse:  parse,
		PutTag: func(raw []byte, tag uint32) { binary.LittleEndian.PutUint32(raw[tagOffset:], tag) },
		ClearMarks: func(raw []byte) {
			clear(raw[tagOffset : tagOffset+4])
			raw[flagsOffset] &^= bouncedBit
		},
		PutReset: func(buf []byte, f packet.Flow, seq uint32) int {
			return copy(buf, encode(packet.Packet{
				SourceIP: f.ServiceIP, SourcePort: f.ServicePort,
				DestinationIP: f.CallerIP, DestinationPort: f.CallerPort,
				Reset: true, Seq: seq,
			}))
		},
	}
}

// parse decodes a packet; it returns false if the length is wrong.
func parse(raw []byte) (packet.Packet, bool) {
	if len(raw) < headerLen || int(binary.LittleEndian.Uint16(raw[lenOffset:])) != len(raw)-headerLen {
		return packet.Packet{}, false
	}
	f := raw[flagsOffset]
	return packet.Packet{
		SourceIP: [4]byte(raw[sourceOffset:]), SourcePort: binary.LittleEndian.Uint16(raw[sourcePort:]),
		DestinationIP: [4]byte(raw[destOffset:]), DestinationPort: binary.LittleEndian.Uint16(raw[destPort:]),
		Syn: f&synBit != 0, Ack: f&ackBit != 0, Fin: f&finBit != 0, Reset: f&resetBit != 0, Bounced: f&bouncedBit != 0,
		Seq: binary.LittleEndian.Uint32(raw[seqOffset:]), AckSeq: binary.LittleEndian.Uint32(raw[ackOffset:]),
		Tag: binary.LittleEndian.Uint32(raw[tagOffset:]), Data: raw[headerLen:],
	}, true
}

// encode returns the bytes of a packet.
func encode(p packet.Packet) []byte {
	raw := make([]byte, headerLen+len(p.Data))
	raw[flagsOffset] = bit(p.Syn, synBit) | bit(p.Ack, ackBit) | bit(p.Fin, finBit) | bit(p.Reset, resetBit) | bit(p.Bounced, bouncedBit)
	copy(raw[sourceOffset:], p.SourceIP[:])
	binary.LittleEndian.PutUint16(raw[sourcePort:], p.SourcePort)
	copy(raw[destOffset:], p.DestinationIP[:])
	binary.LittleEndian.PutUint16(raw[destPort:], p.DestinationPort)
	binary.LittleEndian.PutUint32(raw[seqOffset:], p.Seq)
	binary.LittleEndian.PutUint32(raw[ackOffset:], p.AckSeq)
	binary.LittleEndian.PutUint32(raw[tagOffset:], p.Tag)
	binary.LittleEndian.PutUint16(raw[lenOffset:], uint16(len(p.Data)))
	copy(raw[headerLen:], p.Data)
	return raw
}

func bit(set bool, b byte) byte {
	if set {
		return b
	}
	return 0
}
