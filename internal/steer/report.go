package steer

import (
	"encoding/binary"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// State tells whether an agent takes new flows.
type State uint8

// States of an agent.
const (
	// Up agents take new flows.
	Up State = iota
	// Leaving agents stop soon.
	Leaving
	// Silent agents have a backend server that does not answer.
	Silent
)

// Load is what an agent knows of its backend server.
type Load struct {
	// State tells whether the agent takes new flows.
	State State
	// Outstanding counts requests that are expected, run, or wait and can still be
	// answered in time: those that go before a further one.
	Outstanding uint16
	// Flows counts open flows with traffic in the last seconds.
	Flows uint16
	// RequestsPerSecond is the recent rate of requests.
	RequestsPerSecond float32
	// Failures is the recent share of answers that tell of a failure, from 0 to 1.
	Failures float32
	// Service is the time that a request takes at the server without waiting; 0 if unknown.
	Service time.Duration
}

// reportLen is the length of a report, in bytes.
const reportLen = 4 + packet.FlowLen + 2 + 2 + 4 + 4

const (
	reportStateOffset    = 2
	reportFailuresOffset = 3
	reportFlowOffset     = 4
	reportOutOffset      = reportFlowOffset + packet.FlowLen
	reportFlowsOffset    = reportOutOffset + 2
	reportRateOffset     = reportFlowsOffset + 2
	reportTimeOffset     = reportRateOffset + 4
)

// ReportLen is the length of a report, in bytes.
const ReportLen = reportLen

// PutReport writes a report into b, which holds at least ReportLen bytes. With
// a zero flow the report is about the load alone.
func PutReport(b []byte, l Load, f packet.Flow) {
	b[0] = magic
	b[kindOffset] = byte(Report)
	b[reportStateOffset] = byte(l.State)
	b[reportFailuresOffset] = byte(l.Failures * failuresUnit)
	f.Put(b[reportFlowOffset:])
	binary.BigEndian.PutUint16(b[reportOutOffset:], l.Outstanding)
	binary.BigEndian.PutUint16(b[reportFlowsOffset:], l.Flows)
	binary.BigEndian.PutUint32(b[reportRateOffset:], uint32(l.RequestsPerSecond*rateUnit))
	binary.BigEndian.PutUint32(b[reportTimeOffset:], uint32(l.Service.Microseconds()))
}

// failuresUnit is the resolution of a share on the wire.
const failuresUnit = 255

// rateUnit is the resolution of a rate on the wire, in steps for each request a second.
const rateUnit = 100

// ParseReport decodes a report.
func ParseReport(b []byte) (Load, packet.Flow, bool) {
	if kind, ok := KindOf(b); !ok || kind != Report || len(b) < reportLen {
		return Load{}, packet.Flow{}, false
	}
	if b[reportStateOffset] > byte(Silent) {
		return Load{}, packet.Flow{}, false
	}
	return Load{
		State:             State(b[reportStateOffset]),
		Failures:          float32(b[reportFailuresOffset]) / failuresUnit,
		Outstanding:       binary.BigEndian.Uint16(b[reportOutOffset:]),
		Flows:             binary.BigEndian.Uint16(b[reportFlowsOffset:]),
		RequestsPerSecond: float32(binary.BigEndian.Uint32(b[reportRateOffset:])) / rateUnit,
		Service:           time.Duration(binary.BigEndian.Uint32(b[reportTimeOffset:])) * time.Microsecond,
	}, packet.ParseFlow(b[reportFlowOffset:]), true
}

// PingLen is the length of a ping, in bytes.
const PingLen = 2

// PutPing writes a ping into b, which holds at least PingLen bytes.
func PutPing(b []byte) {
	b[0], b[kindOffset] = magic, byte(Ping)
}
