package steer

import (
	"encoding/binary"

	"github.com/bergamotgw/bergamotgw/internal/position"
)

// Reading confirms to a balancer that the platform was read after its request was received.
type Reading struct {
	// Number is that of the request.
	Number uint32
	// Position is the state of the platform at the reading.
	position.Position
	// Sum is the hash of the servers and evacuated zones that were read.
	Sum uint64
	// RoutesVersion is the version of the routes that were read.
	RoutesVersion uint64
}

const (
	readingNumberOffset   = 2
	readingEpochOffset    = readingNumberOffset + 4
	readingRevisionOffset = readingEpochOffset + 8
	readingSumOffset      = readingRevisionOffset + 8
	readingRoutesOffset   = readingSumOffset + 8

	// ReadingRequestLen is the length of a request for a reading, in bytes.
	ReadingRequestLen = readingEpochOffset
	// ReadingLen is the length of its confirmation, in bytes.
	ReadingLen = readingRoutesOffset + 8
)

// PutReadingRequest writes a request for a reading into b, which holds at least ReadingRequestLen
// bytes.
func PutReadingRequest(b []byte, number uint32) {
	b[0], b[kindOffset] = magic, byte(ReadingRequest)
	binary.BigEndian.PutUint32(b[readingNumberOffset:], number)
}

// ParseReadingRequest decodes a request for a reading. It returns false if the datagram is not one.
func ParseReadingRequest(b []byte) (number uint32, ok bool) {
	if kind, ok := KindOf(b); !ok || kind != ReadingRequest || len(b) < ReadingRequestLen {
		return 0, false
	}
	return binary.BigEndian.Uint32(b[readingNumberOffset:]), true
}

// Put writes the confirmation into b, which holds at least ReadingLen bytes.
func (r Reading) Put(b []byte) {
	b[0], b[kindOffset] = magic, byte(ReadingDone)
	binary.BigEndian.PutUint32(b[readingNumberOffset:], r.Number)
	binary.BigEndian.PutUint64(b[readingEpochOffset:], r.Epoch)
	binary.BigEndian.PutUint64(b[readingRevisionOffset:], r.Revision)
	binary.BigEndian.PutUint64(b[readingSumOffset:], r.Sum)
	binary.BigEndian.PutUint64(b[readingRoutesOffset:], r.RoutesVersion)
}

// ParseReading decodes a confirmation. It returns false if the datagram is not one.
func ParseReading(b []byte) (Reading, bool) {
	if kind, ok := KindOf(b); !ok || kind != ReadingDone || len(b) < ReadingLen {
		return Reading{}, false
	}
	return Reading{
		Number:        binary.BigEndian.Uint32(b[readingNumberOffset:]),
		Position:      position.Position{Epoch: binary.BigEndian.Uint64(b[readingEpochOffset:]), Revision: binary.BigEndian.Uint64(b[readingRevisionOffset:])},
		Sum:           binary.BigEndian.Uint64(b[readingSumOffset:]),
		RoutesVersion: binary.BigEndian.Uint64(b[readingRoutesOffset:]),
	}, true
}
