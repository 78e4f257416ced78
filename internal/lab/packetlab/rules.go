package packetlab

import (
	"fmt"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Bounds of the promises, as deployments state them.
const (
	// contactBound is how long a VM must have been undisturbed for a promise to hold there.
	contactBound = 4 * time.Second
	// reorderWindow is how long packets of an open flow may miss their server.
	reorderWindow = 2 * time.Second
	// misdirectedLimit is how many packets that miss their server within the window
	// break the promise.
	misdirectedLimit = 3
	// drainBound is how long after its entry says so a draining server may get new flows.
	drainBound = 3 * time.Second
)

// flowKey is a flow; callers do not use a port twice.
type flowKey = packet.Flow

// flowRecord is what the checks know of a flow.
type flowRecord struct {
	server *serverVM
	born   time.Time
	// misdirected counts packets at other servers since the last one at its own.
	misdirected        int
	firstMisdirectedAt time.Time
	// arrived holds the latest packets at its own server; copies of them that reach
	// others later are no strays.
	arrived [recentPackets]packetID
	next    int
	closed  bool
}

// recentPackets is how many packets of a flow are told from copies.
const recentPackets = 16

// packetID tells the packets of a flow apart.
type packetID struct {
	seq, ackSeq uint32
	length      int
}

func (l *Lab) addFinding(format string, args ...any) {
	l.Findings = append(l.Findings, fmt.Sprintf("%.3f s: ", l.Elapsed().Seconds())+fmt.Sprintf(format, args...))
}

// recordFlowOpened notes that a caller acknowledged the answer of a server.
func (l *Lab) recordFlowOpened(s *serverVM, f packet.Flow) {
	l.flows[f] = &flowRecord{server: s, born: s.born}
}

func (l *Lab) recordFlowClosed(f packet.Flow) {
	if r := l.flows[f]; r != nil {
		r.closed = true
	}
}

// serverUndisturbed reports whether the server of a flow holds it and was not disturbed lately.
func (l *Lab) serverUndisturbed(r *flowRecord) bool {
	s := r.server
	return !r.closed && s.up && !s.cut && s.alive && s.born.Equal(r.born) && l.clock.Since(s.disturbedAt) > contactBound &&
		(l.real == nil || l.clock.Since(l.real.lastLossAt) > contactBound)
}

// recordPacket notes a packet at a server.
func (l *Lab) recordPacket(s *serverVM, f packet.Flow, p packet.Packet, holds bool) {
	r := l.flows[f]
	if r == nil || r.closed {
		return
	}
	id := packetID{p.Seq, p.AckSeq, len(p.Data)}
	if holds {
		r.misdirected = 0
		r.arrived[r.next%recentPackets] = id
		r.next++
		return
	}
	if slices.Contains(r.arrived[:], id) {
		return
	}
	if r.misdirected == 0 {
		r.firstMisdirectedAt = l.clock.Now()
	}
	r.misdirected++
	if r.misdirected >= misdirectedLimit && l.clock.Since(r.firstMisdirectedAt) > reorderWindow && l.serverUndisturbed(r) {
		l.addFinding("flow %s: %d packets reached other servers and none its own", f, r.misdirected)
		r.closed = true
	}
}

// recordSyn notes a SYN at a server.
func (l *Lab) recordSyn(s *serverVM, f packet.Flow) {
	if service, ok := l.serviceOf(f); !ok || service != s.service.Name {
		l.addFinding("service: flow %s for %q reached %q", f, service, s.service.Name)
	}
	if !s.drainedAt.IsZero() && l.clock.Since(s.drainedAt) > drainBound && l.placerUndisturbed(f) {
		l.addFinding("drain: new flow %s at a server that drains since %v", f, l.clock.Since(s.drainedAt))
	}
}

// placerUndisturbed reports whether the balancer that placed a flow, and the platform, have
// been undisturbed for long enough.
func (l *Lab) placerUndisturbed(f packet.Flow) bool {
	b := l.placedBy[f]
	return b != nil && !b.cut && l.clock.Since(b.disturbedAt) > contactBound &&
		!l.platform.down && l.clock.Since(l.platform.restoredAt) > contactBound
}

func (l *Lab) serviceOf(f packet.Flow) (string, bool) {
	for _, r := range l.platform.routes.List {
		if r.Address == f.Service() {
			return r.Shares[0].Service, true
		}
	}
	return "", false
}

// recordReset notes a reset at a caller. A server that resets a flow itself has
// closed it before.
func (l *Lab) recordReset(f packet.Flow) {
	l.tally.Resets++
	if r := l.flows[f]; r != nil && !r.closed && r.server.alive && r.server.born.Equal(r.born) && !l.listIncomplete() {
		l.addFinding("flow %s: reset although its server lives", f)
	}
}

// listIncomplete reports whether the platform lists less than lives, shortly after an
// outage, and no balancer runs that knew more: then nobody can tell that the
// server of a flow lives, and the promise does not hold.
func (l *Lab) listIncomplete() bool {
	return l.clock.Since(l.platform.restoredAt) < contactBound && !l.anyCorroborated()
}

// recordRun notes that a server works on a request.
func (l *Lab) recordRun(id uint64) {
	if l.onceIDs[id] && l.ranIDs[id] {
		l.addFinding("doubled: request %d runs twice", id)
	}
	l.ranIDs[id] = l.onceIDs[id]
}
