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

// Bounds of the search for a site.
const (
	// maxSitesTried is how many sites are asked for a free slot.
	maxSitesTried = 8
	// maxQueuesTried is how many sites are asked for a place in their queue.
	maxQueuesTried = 2
	// defaultQueueWait bounds the wait of requests without a deadline.
	defaultQueueWait = 10 * time.Second
)

// execution is the right to run one request, at this backend server or a peer's.
type execution struct {
	upstream
	// vm names the backend server VM.
	vm string
	// release gives the right back; it is called once.
	release func()
}

// place finds where the request runs. A reason means that it was not run.
func (a *Agent) place(ctx context.Context, r arrived) (*execution, answer.Reason) {
	if !r.preface.Kind.TakesSlot() {
		return a.placeSession(ctx, r)
	}
	a.usage.arrived()
	deadline := r.deadline
	if deadline.IsZero() {
		deadline = r.at.Add(defaultQueueWait)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	sites := a.sites(r.preface.Kind)
	if x, reason := a.placeNow(ctx, r, sites); x != nil {
		return x, reason
	}
	return a.placeWaiting(ctx, r, sites)
}

// placeSession opens a session at the own backend server. Sessions are never
// handed over: the caller opens another flow instead.
func (a *Agent) placeSession(ctx context.Context, r arrived) (*execution, answer.Reason) {
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

// sites returns the sites for a request in order of preference.
func (a *Agent) sites(kind request.Kind) []placement.Site {
	v := placement.View{Kind: kind, Sites: []placement.Site{{Load: a.Report(), Local: true, Demand: a.usage.demand()}}}
	for _, l := range a.config.PeerLoads() {
		v.Sites = append(v.Sites, placement.Site{Load: l})
	}
	return a.config.Policy.Order(v)
}

// placeNow takes the first free slot. It asks no site that was full a moment ago.
func (a *Agent) placeNow(ctx context.Context, r arrived, sites []placement.Site) (*execution, answer.Reason) {
	for _, s := range sites[:min(len(sites), maxSitesTried)] {
		if !s.Load.MayHaveSlot() {
			continue
		}
		x, reason := a.try(ctx, r, s, 0)
		if x != nil {
			return x, reason
		}
	}
	return nil, answer.Full
}

// placeWaiting waits for a slot at the site with the shortest expected wait,
// and asks the next one if that has no room. What is known of peers is old, so
// the own backend server comes first among equals.
func (a *Agent) placeWaiting(ctx context.Context, r arrived, sites []placement.Site) (*execution, answer.Reason) {
	reason := answer.Unreachable
	tries := 0
	for _, s := range byExpectedWait(sites) {
		if tries == maxQueuesTried {
			break
		}
		if !s.Load.MayQueue() {
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
		if x, reason = a.try(ctx, r, s, left); x != nil {
			return x, ""
		}
	}
	return nil, reason
}

func byExpectedWait(sites []placement.Site) []placement.Site {
	sorted := slices.Clone(sites)
	slices.SortStableFunc(sorted, func(a, b placement.Site) int {
		return cmp.Or(cmp.Compare(a.Load.ExpectedWait(), b.Load.ExpectedWait()), localFirst(a, b))
	})
	return sorted
}

func localFirst(a, b placement.Site) int {
	switch {
	case a.Local == b.Local:
		return 0
	case a.Local:
		return -1
	default:
		return 1
	}
}

// try asks one site for a slot.
func (a *Agent) try(ctx context.Context, r arrived, s placement.Site, wait time.Duration) (*execution, answer.Reason) {
	if s.Local {
		return a.tryLocal(ctx, r, wait)
	}
	return a.tryPeer(ctx, r, s, wait)
}

func (a *Agent) tryLocal(ctx context.Context, r arrived, wait time.Duration) (*execution, answer.Reason) {
	if wait > 0 {
		if reason := a.gate.Acquire(ctx, r.preface.Kind); reason != "" {
			return nil, reason
		}
	} else if !a.gate.TryAcquire() {
		return nil, answer.Full
	}
	c, err := a.connect(ctx, r)
	if err != nil {
		a.gate.Release(0)
		return nil, answer.Unreachable
	}
	start := a.config.Clock.Now()
	release := func() { a.gate.Release(a.config.Clock.Since(start)) }
	return &execution{upstream: c, vm: a.config.VM, release: release}, ""
}

func (a *Agent) tryPeer(ctx context.Context, r arrived, s placement.Site, wait time.Duration) (*execution, answer.Reason) {
	start := a.config.Clock.Now()
	o := handover.Offer{
		Preface: a.remaining(r),
		Caller:  r.flow.caller,
		Address: a.serviceAddress(),
		Load:    a.Report(),
		WaitMs:  uint32(max(wait, 0).Milliseconds()),
	}
	reservation, reply, err := a.handovers.Reserve(ctx, s.Load.Agent, o)
	if err != nil {
		return nil, answer.Unreachable
	}
	a.config.PeerHeard(reply.Load)
	if reservation == nil {
		return nil, reply.Answer.Reason
	}
	up, err := reservation.Commit()
	if err != nil {
		return nil, answer.Unreachable
	}
	a.config.Metrics.HandedOver(a.config.Service, r.preface.Kind, a.config.Clock.Since(start))
	return &execution{upstream: up, vm: reply.Answer.VM, release: func() {}}, ""
}

// connect opens a connection to the own backend server and notes the outcome.
func (a *Agent) connect(ctx context.Context, r arrived) (*serverConn, error) {
	c, err := a.config.Backend.Connect(ctx, r.flow.caller, a.serviceAddress(), a.remaining(r))
	if ctx.Err() == nil {
		a.monitor.Connected(err)
	}
	if err != nil {
		a.config.Log.Warn().Str("event", "backendUnreachable").Err(err).Send()
		return nil, err
	}
	return &serverConn{TCPConn: c}, nil
}

// remaining returns the preface with the time that is left.
func (a *Agent) remaining(r arrived) request.Preface {
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

// Abort resets the connection, so that the backend server does not take the
// request for complete.
func (c *serverConn) Abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}
