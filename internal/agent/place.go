package agent

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/handover"
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/placement"
	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Limits of the placement of one request.
const (
	// maxCandidatesTried is how many candidates are tried for a free slot.
	maxCandidatesTried = 8
	// maxQueuesTried is how many candidates are tried for a place in their queue.
	maxQueuesTried = 2
	// defaultQueueWait limits the queueing time of requests without a deadline.
	defaultQueueWait = 10 * time.Second
)

// execution is a slot of this or a peer's backend server, with the connection
// that carries the request there.
type execution struct {
	upstream
	// vm is the name of the backend server VM.
	vm string
	// release returns the slot; it is called once.
	release func()
}

// place acquires an execution for the request. A non-empty reason means that the
// request was not run.
func (a *Agent) place(ctx context.Context, r incomingRequest) (*execution, answer.Reason) {
	if !r.preface.Kind.TakesSlot() {
		return a.placeSession(ctx, r)
	}
	a.usage.countArrival()
	deadline := r.deadline
	if deadline.IsZero() {
		deadline = r.receivedAt.Add(defaultQueueWait)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	candidates := a.candidates(r.preface.Kind)
	if x, reason := a.placeNow(ctx, r, candidates); x != nil {
		return x, reason
	}
	return a.placeQueued(ctx, r, candidates)
}

// placeSession opens a session at the local backend server. Sessions are never
// handed over; a refused caller opens another flow instead.
func (a *Agent) placeSession(ctx context.Context, r incomingRequest) (*execution, answer.Reason) {
	switch a.State() {
	case load.Draining:
		return nil, answer.Draining
	case load.Down:
		return nil, answer.Unreachable
	}
	if !a.work.reserveSession(a.connectionLimit()) {
		return nil, answer.Full
	}
	c, err := a.connect(ctx, r)
	if err != nil {
		a.work.releaseSession()
		return nil, answer.Unreachable
	}
	return &execution{upstream: c, vm: a.config.VM, release: a.work.releaseSession}, ""
}

// candidates returns the candidates for a request in order of preference. In an evacuated
// zone the local backend server is one only if no peer accepts work.
func (a *Agent) candidates(kind request.Kind) []placement.Candidate {
	v := placement.View{Kind: kind, Candidates: []placement.Candidate{{Load: a.Report(), Local: true, Demand: a.usage.demand()}}}
	for _, l := range a.config.PeerLoads() {
		v.Candidates = append(v.Candidates, placement.Candidate{Load: l})
	}
	list := a.config.Policy.Order(v)
	if len(list) == 0 && a.mayServeOwn() {
		return v.Candidates[:1]
	}
	return list
}

// placeNow takes the first free slot without waiting. It skips candidates whose
// load report is recent and shows no free slot.
func (a *Agent) placeNow(ctx context.Context, r incomingRequest, candidates []placement.Candidate) (*execution, answer.Reason) {
	for _, c := range candidates[:min(len(candidates), maxCandidatesTried)] {
		if !c.Load.MayHaveSlot() {
			continue
		}
		x, reason := a.try(ctx, r, c, 0)
		if x != nil {
			return x, reason
		}
	}
	return nil, answer.Full
}

// placeQueued waits for a slot of the candidate with the shortest expected wait,
// and tries the next one if it does not get a slot there. Load reports of peers
// are out of date by the time they are used, so the local backend server comes
// first among equals.
func (a *Agent) placeQueued(ctx context.Context, r incomingRequest, candidates []placement.Candidate) (*execution, answer.Reason) {
	reason := answer.Unreachable
	tries := 0
	for _, c := range byExpectedWait(candidates) {
		if tries == maxQueuesTried {
			break
		}
		if !c.Load.MayQueue() {
			reason = answer.Full
			continue
		}
		tries++
		deadline, _ := ctx.Deadline()
		left := deadline.Sub(a.config.Clock.Now())
		if left <= 0 || ctx.Err() != nil {
			return nil, answer.Late
		}
		var x *execution
		if x, reason = a.try(ctx, r, c, left); x != nil {
			return x, ""
		}
	}
	return nil, reason
}

func byExpectedWait(candidates []placement.Candidate) []placement.Candidate {
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b placement.Candidate) int {
		return cmp.Or(cmp.Compare(a.Load.ExpectedWait(), b.Load.ExpectedWait()), localFirst(a, b))
	})
	return sorted
}

func localFirst(a, b placement.Candidate) int {
	switch {
	case a.Local == b.Local:
		return 0
	case a.Local:
		return -1
	default:
		return 1
	}
}

// try acquires a slot of one candidate, waiting for it for at most the given time.
func (a *Agent) try(ctx context.Context, r incomingRequest, c placement.Candidate, wait time.Duration) (*execution, answer.Reason) {
	if c.Local {
		return a.tryLocal(ctx, r, wait)
	}
	return a.tryPeer(ctx, r, c, wait)
}

func (a *Agent) tryLocal(ctx context.Context, r incomingRequest, wait time.Duration) (*execution, answer.Reason) {
	if wait > 0 {
		if reason := a.limiter.Acquire(ctx, r.preface.Kind); reason != "" {
			return nil, reason
		}
	} else if !a.limiter.TryAcquire() {
		return nil, answer.Full
	}
	c, err := a.connect(ctx, r)
	if err != nil {
		a.limiter.Release(0)
		return nil, answer.Unreachable
	}
	start := a.config.Clock.Now()
	release := func() { a.limiter.Release(a.config.Clock.Since(start)) }
	return &execution{upstream: c, vm: a.config.VM, release: release}, ""
}

func (a *Agent) tryPeer(ctx context.Context, r incomingRequest, c placement.Candidate, wait time.Duration) (*execution, answer.Reason) {
	start := a.config.Clock.Now()
	o := handover.Offer{
		Preface: a.remaining(r),
		Caller:  r.flow.caller,
		Address: a.serviceAddress(),
		Load:    a.Report(),
		WaitMs:  uint32(max(wait, 0).Milliseconds()),
	}
	reservation, reply, err := a.handovers.Reserve(ctx, c.Load.Agent, o)
	if err != nil {
		return nil, answer.Unreachable
	}
	a.config.PeerLoadReceived(reply.Load)
	if reservation == nil {
		return nil, reply.Answer.Reason
	}
	up, err := reservation.Commit()
	if err != nil {
		return nil, answer.Unreachable
	}
	a.config.Metrics.ObserveHandover(a.config.Service, r.preface.Kind, a.config.Clock.Since(start))
	return &execution{upstream: up, vm: reply.Answer.VM, release: func() {}}, ""
}

// connect opens a connection to the local backend server and records the result
// in the health monitor.
func (a *Agent) connect(ctx context.Context, r incomingRequest) (*serverConn, error) {
	c, err := a.config.Backend.Connect(ctx, r.flow.caller, a.serviceAddress(), a.remaining(r))
	if ctx.Err() == nil {
		a.monitor.RecordConnect(err)
	}
	if err != nil {
		a.config.Log.Warn().Str("event", "backendUnreachable").Err(err).Send()
		return nil, err
	}
	return &serverConn{TCPConn: c}, nil
}

// remaining returns the preface with the time left until the deadline, at least 1 ms.
func (a *Agent) remaining(r incomingRequest) request.Preface {
	if r.deadline.IsZero() {
		return r.preface
	}
	left := max(r.deadline.Sub(a.config.Clock.Now()), time.Millisecond)
	return r.preface.WithTimeout(left)
}

// serverConn is a connection to the backend server.
type serverConn struct {
	*net.TCPConn
}

// Abort resets the TCP connection, so that the backend server does not treat a
// truncated request as complete.
func (c *serverConn) Abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}
