package steer

import (
	"encoding/binary"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// NotFoundNotice reports to a balancer that no candidate holds, or admits, a flow.
type NotFoundNotice struct {
	// Flow identifies the flow.
	Flow packet.Flow
	// Searched is true if the notice ends a search along all agents that answer, and false
	// for a direct copy or a new flow.
	Searched bool
	// Attempt and ListVersion are those of the envelope of the search.
	Attempt     uint8
	ListVersion uint16
}

// Offsets of a notice, in bytes.
const (
	notFoundAttemptOffset = 3
	notFoundListOffset    = 4
	notFoundFlowOffset    = 6
)

// NotFoundLen is the length of a notice, in bytes.
const NotFoundLen = notFoundFlowOffset + packet.FlowLen

// searchedFlag is the only flag of a notice.
const searchedFlag = 1

// Put writes the notice into b, which holds at least NotFoundLen bytes.
func (n NotFoundNotice) Put(b []byte) {
	b[0], b[kindOffset] = magic, byte(NotFound)
	b[flagsOffset] = flag(n.Searched, searchedFlag)
	b[notFoundAttemptOffset] = n.Attempt
	binary.BigEndian.PutUint16(b[notFoundListOffset:], n.ListVersion)
	n.Flow.Put(b[notFoundFlowOffset:])
}

// ParseNotFound decodes a notice. It returns false if the datagram is not a valid notice.
func ParseNotFound(b []byte) (n NotFoundNotice, ok bool) {
	if kind, valid := KindOf(b); !valid || kind != NotFound || len(b) < NotFoundLen {
		return NotFoundNotice{}, false
	}
	return NotFoundNotice{
		Flow:        packet.ParseFlow(b[notFoundFlowOffset:]),
		Searched:    b[flagsOffset]&searchedFlag != 0,
		Attempt:     b[notFoundAttemptOffset],
		ListVersion: binary.BigEndian.Uint16(b[notFoundListOffset:]),
	}, true
}
