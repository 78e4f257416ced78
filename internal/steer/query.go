package steer

import (
	"encoding/binary"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Holding is an agent's answer for one flow of a query.
type Holding uint8

// Answers for a flow.
const (
	// NotHeld means that the server does not hold the flow.
	NotHeld Holding = iota
	// Held means that the server holds the flow.
	Held
	// Unknown means that the agent cannot determine it: it started after its server, so only a
	// packet to the server shows whether that holds the flow.
	Unknown
)

// QueriedFlow is a flow in a query.
type QueriedFlow struct {
	// Flow identifies the flow.
	Flow packet.Flow
	// Ack is true if the caller's packet acknowledges AckSeq. If two servers answered copies
	// of a SYN, only one of them sent that sequence number, and holds the flow.
	Ack    bool
	AckSeq uint32
}

// MaxQueried is the maximum number of flows in a query, which then fits a datagram of
// 1,200 bytes.
const MaxQueried = 64

// Layout of a query and its answer: offsets and lengths, in bytes.
const (
	queryIDOffset    = 2
	queryCountOffset = 6
	queryFixedLen    = 7
	queriedFlowLen   = packet.FlowLen + 1 + 4

	// QueryMaxLen and AnswerMaxLen are the lengths of the longest query and answer, in bytes.
	QueryMaxLen  = queryFixedLen + MaxQueried*queriedFlowLen
	AnswerMaxLen = queryFixedLen + MaxQueried
)

// PutQuery writes a query for at most MaxQueried flows into b, which holds at least
// QueryMaxLen bytes, and returns its length.
func PutQuery(b []byte, id uint32, flows []QueriedFlow) int {
	putQueryHead(b, Query, id, len(flows))
	for i, f := range flows {
		at := b[queryFixedLen+i*queriedFlowLen:]
		f.Flow.Put(at)
		at[packet.FlowLen] = flag(f.Ack, 1)
		binary.BigEndian.PutUint32(at[packet.FlowLen+1:], f.AckSeq)
	}
	return queryFixedLen + len(flows)*queriedFlowLen
}

// ParseQuery decodes a query. It returns false if the datagram is not a valid query.
func ParseQuery(b []byte) (id uint32, flows []QueriedFlow, ok bool) {
	id, count, ok := parseQueryHead(b, Query, queriedFlowLen)
	if !ok {
		return 0, nil, false
	}
	flows = make([]QueriedFlow, count)
	for i := range flows {
		at := b[queryFixedLen+i*queriedFlowLen:]
		flows[i] = QueriedFlow{
			Flow: packet.ParseFlow(at), Ack: at[packet.FlowLen] != 0, AckSeq: binary.BigEndian.Uint32(at[packet.FlowLen+1:]),
		}
	}
	return id, flows, true
}

// PutAnswer writes the answer to a query, in the order of its flows, into b, which holds
// at least AnswerMaxLen bytes, and returns its length.
func PutAnswer(b []byte, id uint32, holdings []Holding) int {
	putQueryHead(b, Answer, id, len(holdings))
	for i, h := range holdings {
		b[queryFixedLen+i] = byte(h)
	}
	return queryFixedLen + len(holdings)
}

// ParseAnswer decodes an answer; its holdings are in the order of the flows of the query. It
// returns false if the datagram is not a valid answer.
func ParseAnswer(b []byte) (id uint32, holdings []Holding, ok bool) {
	id, count, ok := parseQueryHead(b, Answer, 1)
	if !ok {
		return 0, nil, false
	}
	holdings = make([]Holding, count)
	for i := range holdings {
		if holdings[i] = Holding(b[queryFixedLen+i]); holdings[i] > Unknown {
			return 0, nil, false
		}
	}
	return id, holdings, true
}

func putQueryHead(b []byte, k Kind, id uint32, count int) {
	b[0], b[kindOffset] = magic, byte(k)
	binary.BigEndian.PutUint32(b[queryIDOffset:], id)
	b[queryCountOffset] = byte(count)
}

func parseQueryHead(b []byte, k Kind, itemLen int) (id uint32, count int, ok bool) {
	kind, ok := KindOf(b)
	if !ok || kind != k || len(b) < queryFixedLen {
		return 0, 0, false
	}
	count = int(b[queryCountOffset])
	if count > MaxQueried || len(b) < queryFixedLen+count*itemLen {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(b[queryIDOffset:]), count, true
}
