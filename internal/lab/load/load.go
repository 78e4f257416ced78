// Package load generates open-loop load (requests start at their set times, whether
// or not earlier ones have ended) and records the outcome of every request.
package load

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/lab/wire"
	"github.com/bergamotgw/bergamotgw/pkg/caller"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Target is the load on one service.
type Target struct {
	// Service is the name of the service.
	Service string
	// Address is its address.
	Address netip.AddrPort
	// Callers is the number of callers, each with its own flow.
	Callers int
	// Rate is the number of requests that start per second, over all callers.
	Rate float64
	// OnceShare is the share of requests that must not be repeated, from 0 to 1; the
	// others are repeatable.
	OnceShare float64
	// MeanWork is the mean time that a server of nominal speed works on a request.
	MeanWork time.Duration
	// Deadline is the timeout of each request.
	Deadline time.Duration
	// Body and Answer are the lengths of the payloads of requests and answers, in bytes.
	Body, Answer int
	// Sessions is the number of sessions that are kept open during the whole load.
	Sessions int
	// SessionInterval is the time between records of a session.
	SessionInterval time.Duration
}

// Load sends requests and keeps sessions open. A Load can run only once.
type Load struct {
	targets  []Target
	tls      *tls.Config
	seed     uint64
	duration time.Duration
	tally    *tally
	running  sync.WaitGroup
}

// NewLoad returns a load on the targets that lasts for the given duration. Equal seeds
// generate equal requests.
func NewLoad(targets []Target, tls *tls.Config, duration time.Duration, seed uint64) *Load {
	return &Load{targets: targets, tls: tls, seed: seed, duration: duration, tally: newTally()}
}

// Run generates the load and returns when every request has ended. The error is that of
// opening a caller.
func (l *Load) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	var all []*caller.Caller
	defer func() {
		for _, c := range all {
			_ = c.Close()
		}
	}()
	for i, t := range l.targets {
		callers, err := l.callers(t)
		all = append(all, callers...)
		if err != nil {
			return Result{}, err
		}
		l.running.Go(func() { l.startRequests(ctx, t, callers, l.seed+uint64(i)) })
		for n := range t.Sessions {
			s := &session{target: t, caller: callers[n%len(callers)], tally: l.tally, key: fmt.Sprintf("%s-session-%d-%d", t.Service, l.seed, n)}
			l.running.Go(func() { s.run(ctx) })
		}
	}
	l.running.Wait()
	return l.tally.result(), nil
}

// Progress returns the result so far.
func (l *Load) Progress() Result {
	return l.tally.result()
}

func (l *Load) callers(t Target) ([]*caller.Caller, error) {
	var list []*caller.Caller
	for range max(t.Callers, 1) {
		c, err := caller.NewCaller(t.Address, t.Service, caller.WithTLS(l.tls))
		if err != nil {
			return list, err
		}
		list = append(list, c)
	}
	return list, nil
}

// startRequests starts requests at random times (a Poisson process), whether or not earlier
// ones have ended.
func (l *Load) startRequests(ctx context.Context, t Target, callers []*caller.Caller, seed uint64) {
	if t.Rate <= 0 {
		return
	}
	r := rand.New(rand.NewPCG(seed, 1))
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(r.ExpFloat64() / t.Rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		x := l.sampleRequest(t, r, seed, n)
		c := callers[r.IntN(len(callers))]
		l.running.Go(func() { l.runRequest(context.WithoutCancel(ctx), t, c, x) })
	}
}

// sampledRequest is a request whose properties were chosen at random.
type sampledRequest struct {
	kind request.Kind
	wire wire.Request
}

// sampleRequest returns a random request. The work has a log-normal distribution, which has
// a heavy tail, with a coefficient of variation of 1.3.
func (l *Load) sampleRequest(t Target, r *rand.Rand, seed uint64, n int) sampledRequest {
	const sigma = 1.0
	work := float64(t.MeanWork.Microseconds()) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	x := sampledRequest{kind: request.Repeatable, wire: wire.Request{
		ID:         fmt.Sprintf("%s-%d-%d", t.Service, seed, n),
		Service:    t.Service,
		WorkMicros: int64(work),
		Body:       t.Body,
		Answer:     t.Answer,
	}}
	if r.Float64() < t.OnceShare {
		x.kind = request.Once
	}
	return x
}

func (l *Load) runRequest(ctx context.Context, t Target, c *caller.Caller, x sampledRequest) {
	ctx, cancel := context.WithTimeout(ctx, t.Deadline)
	defer cancel()
	start := time.Now()
	a, err := c.Do(ctx, caller.Request{Kind: x.kind, Key: x.wire.ID, Body: x.wire.Encode(), Whole: wire.Whole})
	l.tally.recordRequest(t.Service, x, a, err, time.Since(start))
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
