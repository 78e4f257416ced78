package steer

import (
	"encoding/binary"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Holding is what an agent knows of a flow that it is asked about.
type Holding uint8

// Answers of an agent.
const (
	// NotHeld flows are not at the server.
	NotHeld Holding = iota
	// Held flows are at the server.
	Held
	// Unsure agents have started after their server, which alone can tell.
	Unsure
)

// AskedFlow is a flow in a query.
type AskedFlow struct {
	// Flow names the flow.
	Flow packet.Flow
	// Ack is true if the packet of its caller acknowledges AckSeq: of two servers that
	// answered copies of a SYN, only one has sent that.
	Ack    bool
	AckSeq uint32
}

// MaxQueried is how many flows a query names at most; with that it fits a datagram of
// 1,200 bytes.
const MaxQueried = 64

// Layout of a query and its answer.
const (
	queryIDOffset    = 2
	queryCountOffset = 6
	queryFixedLen    = 7
	queriedLen       = packet.FlowLen + 1 + 4

	// QueryMaxLen and AnswerMaxLen are the lengths of the longest ones, in bytes.
	QueryMaxLen  = queryFixedLen + MaxQueried*queriedLen
	AnswerMaxLen = queryFixedLen + MaxQueried
)

// PutQuery writes a query for at most MaxQueried flows into b, which holds at least
// QueryMaxLen bytes, and returns its length.
func PutQuery(b []byte, id uint32, flows []AskedFlow) int {
	putQueryHead(b, Query, id, len(flows))
	for i, f := range flows {
		at := b[queryFixedLen+i*queriedLen:]
		f.Flow.Put(at)
		at[packet.FlowLen] = flag(f.Ack, 1)
		binary.BigEndian.PutUint32(at[packet.FlowLen+1:], f.AckSeq)
	}
	return queryFixedLen + len(flows)*queriedLen
}

// ParseQuery decodes a query.
func ParseQuery(b []byte) (id uint32, flows []AskedFlow, ok bool) {
	id, count, ok := parseQueryHead(b, Query, queriedLen)
	if !ok {
		return 0, nil, false
	}
	flows = make([]AskedFlow, count)
	for i := range flows {
		at := b[queryFixedLen+i*queriedLen:]
		flows[i] = AskedFlow{
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

// ParseAnswer decodes an answer.
func ParseAnswer(b []byte) (id uint32, holdings []Holding, ok bool) {
	id, count, ok := parseQueryHead(b, Answer, 1)
	if !ok {
		return 0, nil, false
	}
	holdings = make([]Holding, count)
	for i := range holdings {
		if holdings[i] = Holding(b[queryFixedLen+i]); holdings[i] > Unsure {
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

func parseQueryHead(b []byte, k Kind, each int) (id uint32, count int, ok bool) {
	kind, ok := KindOf(b)
	if !ok || kind != k || len(b) < queryFixedLen {
		return 0, 0, false
	}
	count = int(b[queryCountOffset])
	if count > MaxQueried || len(b) < queryFixedLen+count*each {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(b[queryIDOffset:]), count, true
}
