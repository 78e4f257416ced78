package steer

import (
	"encoding/binary"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// State is whether an agent admits new flows.
type State uint8

// States of an agent.
const (
	// Up agents admit new flows.
	Up State = iota
	// Leaving agents are about to stop.
	Leaving
	// Silent agents have a backend server that does not answer.
	Silent
)

// Load is the state and load of a backend server, as measured by its agent.
type Load struct {
	// State is whether the agent admits new flows.
	State State
	// Outstanding is the number of requests that a further one has to wait for: those that
	// are expected, that run, and that wait and can still be answered before their deadline.
	Outstanding uint16
	// Flows is the number of open flows with traffic in the last seconds.
	Flows uint16
	// RequestsPerSecond is the recent rate of requests.
	RequestsPerSecond float32
	// Failures is the recent share of answers that report a failure, from 0 to 1.
	Failures float32
	// ServiceTime is the time that the server takes for a request, without waiting; 0 if
	// unknown.
	ServiceTime time.Duration
	// Service is the numeric identifier of the server's service; 0 if unknown.
	Service uint32
	// TableComplete is true if the agent's table holds every open flow of the server. Reports of
	// older programs do not state it.
	TableComplete bool
	// StoppedServer identifies the server beside the agent if that has stopped: the lower 32 bits of
	// its start as a Unix time in milliseconds. It is 0 if the server runs, or if the agent cannot
	// tell, as those of older programs.
	StoppedServer uint32
}

// minReportLen is the length of the reports of programs that do not state the service, in bytes.
const minReportLen = 4 + packet.FlowLen + 2 + 2 + 4 + 4

const (
	reportStateOffset       = 2
	reportFailuresOffset    = 3
	reportFlowOffset        = 4
	reportOutstandingOffset = reportFlowOffset + packet.FlowLen
	reportFlowsOffset       = reportOutstandingOffset + 2
	reportRateOffset        = reportFlowsOffset + 2
	reportTimeOffset        = reportRateOffset + 4
	reportServiceOffset     = reportTimeOffset + 4
	reportFlagsOffset       = reportServiceOffset + 4
	reportStoppedOffset     = reportFlagsOffset + 1
)

// ReportLen is the length of a report, in bytes.
const ReportLen = reportStoppedOffset + 4

// tableCompleteFlag is the flag of a report that states Load.TableComplete.
const tableCompleteFlag = 1

// PutReport writes a report into b, which holds at least ReportLen bytes. A zero flow
// means that the report carries the load only.
func PutReport(b []byte, l Load, f packet.Flow) {
	b[0] = magic
	b[kindOffset] = byte(Report)
	b[reportStateOffset] = byte(l.State)
	b[reportFailuresOffset] = byte(l.Failures * failuresUnit)
	f.Put(b[reportFlowOffset:])
	binary.BigEndian.PutUint16(b[reportOutstandingOffset:], l.Outstanding)
	binary.BigEndian.PutUint16(b[reportFlowsOffset:], l.Flows)
	binary.BigEndian.PutUint32(b[reportRateOffset:], uint32(l.RequestsPerSecond*rateUnit))
	binary.BigEndian.PutUint32(b[reportTimeOffset:], uint32(l.ServiceTime.Microseconds()))
	binary.BigEndian.PutUint32(b[reportServiceOffset:], l.Service)
	b[reportFlagsOffset] = flag(l.TableComplete, tableCompleteFlag)
	binary.BigEndian.PutUint32(b[reportStoppedOffset:], l.StoppedServer)
}

// failuresUnit is the encoded value of a share of 1.
const failuresUnit = 255

// rateUnit is the encoded value of a rate of one request a second.
const rateUnit = 100

// ParseReport decodes a report: the load, and the flow that the agent holds, or a zero flow.
// It returns false if the datagram is not a valid report.
func ParseReport(b []byte) (Load, packet.Flow, bool) {
	if kind, ok := KindOf(b); !ok || kind != Report || len(b) < minReportLen {
		return Load{}, packet.Flow{}, false
	}
	if b[reportStateOffset] > byte(Silent) {
		return Load{}, packet.Flow{}, false
	}
	var l Load
	if len(b) >= reportFlagsOffset {
		l.Service = binary.BigEndian.Uint32(b[reportServiceOffset:])
	}
	if len(b) >= ReportLen {
		l.TableComplete = b[reportFlagsOffset]&tableCompleteFlag != 0
		l.StoppedServer = binary.BigEndian.Uint32(b[reportStoppedOffset:])
	}
	l.State = State(b[reportStateOffset])
	l.Failures = float32(b[reportFailuresOffset]) / failuresUnit
	l.Outstanding = binary.BigEndian.Uint16(b[reportOutstandingOffset:])
	l.Flows = binary.BigEndian.Uint16(b[reportFlowsOffset:])
	l.RequestsPerSecond = float32(binary.BigEndian.Uint32(b[reportRateOffset:])) / rateUnit
	l.ServiceTime = time.Duration(binary.BigEndian.Uint32(b[reportTimeOffset:])) * time.Microsecond
	return l, packet.ParseFlow(b[reportFlowOffset:]), true
}
