// Package completeness decides whether the flow table of an agent holds every open flow of its
// backend server. It does if each packet that opened a flow there has passed this process: the
// server has started after the process, or together with it, or the process has run for longer
// than a flow may last.
package completeness

import "time"

// StartMargin is how much earlier than the agent a server may have started that started in a
// common start of the deployment. A former process of the agent on the same VM can have carried
// a flow of this server only if it had time to start (5 ms of processor time), to be listed,
// read and pinged (two calls of the platform), to pass the handshake of a flow (two round trips
// of a caller), to end, and to be started again. The last step alone takes as long as the
// shortest interruption of a process that the failure tests contain, 100 ms.
const StartMargin = 100 * time.Millisecond

// Reason is why a table is complete.
type Reason string

// Reasons.
const (
	// None means that the server may hold flows that are not in the table.
	None Reason = ""
	// ServerWasDown means that no server ran at some time since the process started.
	ServerWasDown Reason = "serverWasDown"
	// ServerStartedLater means that the listed server has started after the process.
	ServerStartedLater Reason = "serverStartedLater"
	// StartedTogether means that server, process and balancers have started together, as after a
	// loss of power.
	StartedTogether Reason = "startedTogether"
	// RanLonger means that the process has run for longer than a flow may last.
	RanLonger Reason = "ranLonger"
)

// Server is what a balancer states about the server beside the agent.
type Server struct {
	// Born is the start of the server by the time of day of its VM, as a Unix time in
	// milliseconds.
	Born int64
	// CommonStart is true if the balancer has started together with the server or later. Without
	// it the server may have restarted alone, while a former process of the agent was known to
	// balancers and needed no time to be found.
	CommonStart bool
}

// Table is what is known about the completeness of a table. It is not safe for concurrent use.
type Table struct {
	// started is when the process had its sockets: no former process received packets later. Its
	// time of day is compared with that of the server, which is on the same VM.
	started time.Time
	// comparedFrom is the time with which starts of servers are compared: when the process started
	// or, if the time of day has been set since, when that was noticed.
	comparedFrom time.Time
	maxFlow      time.Duration
	// reason stays once it is not None: it holds for all later servers, too.
	reason Reason
	// distrusted is the latest start of a server that was later than the time of its statement;
	// 0 if there was none.
	distrusted int64
}

// NewTable returns what is known at the start of the process. A flow lasts at most maxFlow.
func NewTable(started time.Time, maxFlow time.Duration) *Table {
	return &Table{started: started, comparedFrom: started, maxFlow: maxFlow}
}

// Started returns when the process had its sockets.
func (t *Table) Started() time.Time {
	return t.started
}

// RecordServerDown records that no server runs at present.
func (t *Table) RecordServerDown() {
	if t.reason == None {
		t.reason = ServerWasDown
	}
}

// ComparedFrom returns the time with which starts of servers are compared.
func (t *Table) ComparedFrom() time.Time {
	return t.comparedFrom
}

// RecordElapsed records the time since ComparedFrom by the time of day, and by a steady clock. If
// they differ, the time of day has been set, and a server that seems to be the later one may have
// started before the process: from now on, starts are compared with the present time. Differences
// up to StartMargin do not matter, as a flow of a former process needs as long. RecordElapsed
// returns true if the time of day has been set.
func (t *Table) RecordElapsed(byDay, steady time.Duration, now time.Time) bool {
	if (byDay - steady).Abs() <= StartMargin {
		return false
	}
	t.comparedFrom = now
	return true
}

// RecordServer records a statement about a server of the agent's service at its address. It
// returns true if that has completed the table.
func (t *Table) RecordServer(s Server, now time.Time) bool {
	// The time of day was set back since the server started, or the entry is of another VM that
	// had the address before: the starts cannot be compared, now or when that time is reached.
	if s.Born > now.UnixMilli() {
		t.distrusted = max(t.distrusted, s.Born)
	}
	if t.reason != None || s.Born <= t.distrusted {
		return false
	}
	switch {
	case s.Born > t.comparedFrom.UnixMilli():
		t.reason = ServerStartedLater
	case s.CommonStart && t.comparedFrom.Equal(t.started) && s.Born >= t.started.Add(-StartMargin).UnixMilli():
		t.reason = StartedTogether
	}
	return t.reason != None
}

// Reason returns why the table is complete, or None.
func (t *Table) Reason(now time.Time) Reason {
	if t.reason == None && now.Sub(t.started) > t.maxFlow {
		return RanLonger
	}
	return t.reason
}

// Complete reports whether the table holds every open flow of the server.
func (t *Table) Complete(now time.Time) bool {
	return t.Reason(now) != None
}
