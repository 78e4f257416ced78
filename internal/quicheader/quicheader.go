// Package quicheader parses the version-independent header of QUIC packets (RFC 8999).
package quicheader

import "encoding/binary"

// Limits of the header, in bytes.
const (
	maxConnIDLen     = 20
	minLongHeaderLen = 7
)

// Offsets in a long header, in bytes.
const (
	versionOffset = 1
	dcidLenOffset = 5
)

// longHeaderBit is the bit of the first byte that marks a long header.
const longHeaderBit = 0x80

// Header is the part of a packet's header that is the same in every QUIC version.
type Header struct {
	// Long is true for packets that carry a version and both connection IDs.
	Long bool
	// Version is 0 for short headers and for version negotiation.
	Version uint32
	// DestinationID is the destination connection ID; it aliases the packet.
	DestinationID []byte
}

// Parse parses the header of the first packet in a datagram. Short headers do not carry the
// length of the connection ID, so shortIDLen gives it, in bytes. Parse returns false if the
// header is truncated or its connection ID is too long.
func Parse(datagram []byte, shortIDLen int) (Header, bool) {
	if len(datagram) == 0 {
		return Header{}, false
	}
	if datagram[0]&longHeaderBit == 0 {
		return parseShort(datagram, shortIDLen)
	}
	return parseLong(datagram)
}

func parseShort(datagram []byte, shortIDLen int) (Header, bool) {
	if len(datagram) < 1+shortIDLen {
		return Header{}, false
	}
	return Header{DestinationID: datagram[1 : 1+shortIDLen]}, true
}

func parseLong(datagram []byte) (Header, bool) {
	if len(datagram) < minLongHeaderLen {
		return Header{}, false
	}
	n := int(datagram[dcidLenOffset])
	start := dcidLenOffset + 1
	if n > maxConnIDLen || len(datagram) <= start+n {
		return Header{}, false
	}
	return Header{
		Long:          true,
		Version:       binary.BigEndian.Uint32(datagram[versionOffset:]),
		DestinationID: datagram[start : start+n],
	}, true
}
