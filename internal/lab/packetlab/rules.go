package packetlab

import (
	"fmt"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Bounds of the guarantees, as deployments configure them.
const (
	// contactBound is how long a VM must have been undisturbed for a guarantee to hold there.
	contactBound = 4 * time.Second
	// reorderWindow is how long packets of an open flow may miss their server.
	reorderWindow = 2 * time.Second
	// misdirectedLimit is the number of consecutive packets at other servers, over more than
	// reorderWindow, that violates the guarantee.
	misdirectedLimit = 3
	// changeBound is how long after a version of the routes was written new flows may be placed by an
	// older one.
	changeBound = 3 * time.Second
	// drainBound is how long after a server is listed as draining it may get new flows.
	drainBound = 3 * time.Second
)

// flowKey identifies a flow; callers do not use a port twice.
type flowKey = packet.Flow

// flowRecord is the state that the checks keep for a flow.
type flowRecord struct {
	server *serverVM
	born   time.Time
	// openedAt is when the flow was opened. Balancers and agents may delete it maxFlow later.
	openedAt time.Time
	// misdirected counts packets at other servers since the last one at the flow's own.
	misdirected        int
	firstMisdirectedAt time.Time
	// arrived holds the latest packets at the flow's own server; copies of them that reach
	// other servers later do not count as misdirected.
	arrived [recentPackets]packetID
	next    int
	closed  bool
}

// recentPackets is how many packets of a flow are kept to recognise copies of them.
const recentPackets = 16

// packetID identifies a packet within its flow.
type packetID struct {
	seq, ackSeq uint32
	length      int
}

// addFinding adds a violated guarantee to the findings.
func (l *Lab) addFinding(format string, args ...any) {
	l.Findings = append(l.Findings, fmt.Sprintf("%.3f s: ", l.Elapsed().Seconds())+fmt.Sprintf(format, args...))
}

// recordFlowOpened starts the checks of a flow when its caller acknowledges the server's
// answer to the SYN.
func (l *Lab) recordFlowOpened(s *serverVM, f packet.Flow) {
	l.flows[f] = &flowRecord{server: s, born: s.born, openedAt: l.clock.Now()}
	l.recovery.recordAdmitted(l.clock.Now())
}

// recordFlowClosed ends the checks of a flow.
func (l *Lab) recordFlowClosed(f packet.Flow) {
	if r := l.flows[f]; r != nil {
		r.closed = true
	}
}

// serverUndisturbed reports whether the server of a flow still runs and holds it, was not
// disturbed within contactBound, and no packet was dropped on purpose within that time.
func (l *Lab) serverUndisturbed(r *flowRecord) bool {
	s := r.server
	return !r.closed && !l.outlived(r) && s.up && !s.cut && s.alive && s.born.Equal(r.born) && l.clock.Since(s.disturbedAt) > contactBound &&
		(l.real == nil || l.clock.Since(l.real.lastLossAt) > contactBound)
}

// outlived reports whether a flow is older than a flow may last. No guarantee covers it any more.
func (l *Lab) outlived(r *flowRecord) bool {
	return l.clock.Since(r.openedAt) > maxFlow
}

// recordPacket records that a packet reached a server, and checks that the packets of a flow
// reach the server that holds it. holds is true if the server holds the flow, or the packet
// is a SYN.
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
		l.addFinding("flow %s: %d packets reached other servers and none reached its own", f, r.misdirected)
		r.closed = true
	}
}

// recordSyn checks that a SYN reached a server of the right service, one that does not drain, and
// one that is not cold or has received few in the last second.
func (l *Lab) recordSyn(s *serverVM, f packet.Flow) {
	l.recordColdSyn(s)
	if !l.mayLeadTo(f, s.service.Name, l.placerInTouch(f) && l.clock.Since(s.disturbedAt) > contactBound) {
		l.addFinding("service: SYN of flow %s reached a server of %q", f, s.service.Name)
	}
	if !s.drainedAt.IsZero() && l.clock.Since(s.drainedAt) > drainBound && l.placerUndisturbed(f) {
		l.addFinding("drain: new flow %s at a server that has been draining for %v", f, l.clock.Since(s.drainedAt))
	}
}

// placerUndisturbed reports whether the balancer that placed a flow, and the platform, have
// been undisturbed and reachable for contactBound.
func (l *Lab) placerUndisturbed(f packet.Flow) bool {
	b := l.placedBy[f]
	return b != nil && !b.cut && l.clock.Since(b.disturbedAt) > contactBound &&
		!l.platform.down && l.clock.Since(l.platform.restoredAt) > contactBound
}

// placerInTouch reports whether the balancer that placed a flow was undisturbed and reached the platform for
// contactBound, and neither failed, was slow or refused calls. Only then a change has to be in force there.
func (l *Lab) placerInTouch(f packet.Flow) bool {
	return l.placerUndisturbed(f) && l.clock.Since(l.platform.stableAt) > contactBound &&
		l.clock.Since(l.placedBy[f].refusedUntil) > contactBound && (l.real == nil || l.clock.Since(l.real.lastLossAt) > contactBound)
}

// mayLeadTo reports whether a new flow may be at a server of a service: the route led there within
// changeBound or, if it was not placed in time, by any version that was ever written.
func (l *Lab) mayLeadTo(f packet.Flow, service string, inTime bool) bool {
	for i, v := range l.platform.versions {
		replaced := i+1 < len(l.platform.versions) && l.clock.Since(l.platform.versions[i+1].at) > changeBound
		if inTime && replaced {
			continue
		}
		if slices.ContainsFunc(v.routes.List, func(r catalog.Route) bool {
			return r.Address == f.Service() && slices.ContainsFunc(r.Shares, func(s catalog.Share) bool { return s.Service == service })
		}) {
			return true
		}
	}
	return false
}

// recordReset records that a caller received a reset, and checks that the server of the flow
// no longer holds it. A server that resets a flow itself has closed it before.
func (l *Lab) recordReset(f packet.Flow) {
	l.tally.Resets++
	l.recovery.recordTold(f, l.clock.Now())
	if r := l.flows[f]; r != nil && !r.closed && !l.outlived(r) && r.server.alive && r.server.born.Equal(r.born) && !l.listIncomplete() {
		l.addFinding("flow %s: reset although its server runs", f)
	}
}

// listIncomplete reports whether the platform may list fewer servers than run, as shortly
// after an outage, while no balancer has a complete list. Then no balancer can determine that
// the server of a flow runs, and the guarantee does not apply.
func (l *Lab) listIncomplete() bool {
	return l.clock.Since(l.platform.restoredAt) < contactBound && !l.anyCorroborated()
}

// recordRun records that a server works on a request, and checks that no request that must
// not run twice does.
func (l *Lab) recordRun(id uint64) {
	if l.onceIDs[id] && l.ranIDs[id] {
		l.addFinding("doubled: request %d runs twice", id)
	}
	l.ranIDs[id] = l.onceIDs[id]
}
