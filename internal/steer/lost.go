package steer

import (
	"encoding/binary"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// LostNotice tells a balancer that no candidate holds, or takes, a flow.
type LostNotice struct {
	// Flow names the flow.
	Flow packet.Flow
	// Complete is true if every agent of the service was asked.
	Complete bool
	// Searched is true if the notice ends a search along all agents that answer.
	Searched bool
	// Attempt and List are those of the search.
	Attempt uint8
	List    uint16
}

// Offsets of a notice.
const (
	lostAttemptOffset = 3
	lostListOffset    = 4
	lostFlowOffset    = 6
)

// LostLen is the length of a notice, in bytes.
const LostLen = lostFlowOffset + packet.FlowLen

// Flags of a notice; complete has the flag of an envelope.
const searchedFlag = 1

// Put writes the notice into b, which holds at least LostLen bytes.
func (n LostNotice) Put(b []byte) {
	b[0], b[kindOffset] = magic, byte(Lost)
	b[flagsOffset] = flag(n.Complete, completeFlag) | flag(n.Searched, searchedFlag)
	b[lostAttemptOffset] = n.Attempt
	binary.BigEndian.PutUint16(b[lostListOffset:], n.List)
	n.Flow.Put(b[lostFlowOffset:])
}

// ParseLost decodes a notice.
func ParseLost(b []byte) (n LostNotice, ok bool) {
	if kind, is := KindOf(b); !is || kind != Lost || len(b) < LostLen {
		return LostNotice{}, false
	}
	return LostNotice{
		Flow:     packet.ParseFlow(b[lostFlowOffset:]),
		Complete: b[flagsOffset]&completeFlag != 0,
		Searched: b[flagsOffset]&searchedFlag != 0,
		Attempt:  b[lostAttemptOffset],
		List:     binary.BigEndian.Uint16(b[lostListOffset:]),
	}, true
}
