// Package admission bounds the requests that run and wait at one backend server.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// serviceTimeWeight is the share of the latest sample in the mean service time.
const serviceTimeWeight = 0.1

// Gate hands out the slots of a backend server. Requests wait in order of
// arrival, those that must run at most once before repeatable ones. It is safe
// for concurrent use.
type Gate struct {
	clock clockwork.Clock

	mu sync.Mutex
	// slots is how many requests may run; 0 until SetLimits.
	slots int
	// queue is how many requests may wait.
	queue int
	// used is how many slots are taken; above slots only after they were reduced.
	used int
	// waiting holds one queue for each class, oldest first.
	waiting [classes][]*waiter
	// meanService is the moving mean of service times.
	meanService time.Duration
	// busy integrates used slots over time, in slot-nanoseconds, up to touched.
	busy    float64
	touched time.Time
}

// class orders requests; lower classes are served first.
type class int

const (
	onceClass class = iota
	repeatableClass
	classes
)

// waiter is a request that waits for a slot.
type waiter struct {
	// granted is closed when the slot is handed over or the request is shed.
	granted chan struct{}
	// shed is set before granted is closed.
	shed bool
}

// NewGate returns a gate that admits nothing until SetLimits is called.
func NewGate(clock clockwork.Clock) *Gate {
	return &Gate{clock: clock, touched: clock.Now()}
}

// SetLimits sets how many requests may run and wait.
func (g *Gate) SetLimits(slots, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.queue = slots, queue
	g.grantWaiting()
}

// TryAcquire takes a slot if one is free and nobody waits for it.
func (g *Gate) TryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used >= g.slots || g.queued() > 0 {
		return false
	}
	g.take()
	return true
}

// Acquire takes a slot, waiting for one if needed. A non-empty reason means
// that the request did not get one. A context that ends withdraws the request.
func (g *Gate) Acquire(ctx context.Context, kind request.Kind) answer.Reason {
	w, reason := g.enter(ctx, classOf(kind))
	if w == nil {
		return reason
	}
	select {
	case <-w.granted:
		if w.shed {
			return answer.Shed
		}
		return ""
	case <-ctx.Done():
		return g.withdraw(w, classOf(kind))
	}
}

// Release returns a slot after a request that took the given time to serve. A
// time of 0 is no sample.
func (g *Gate) Release(service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.integrate()
	g.used--
	g.sample(service)
	g.grantWaiting()
}

// enter takes a slot at once, or queues the request and returns its waiter.
func (g *Gate) enter(ctx context.Context, c class) (*waiter, answer.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used < g.slots && g.queued() == 0 {
		g.take()
		return nil, ""
	}
	if deadline, ok := ctx.Deadline(); ok && g.clock.Now().Add(g.expectedWait(c)).After(deadline) {
		return nil, answer.Late
	}
	if g.queued() >= g.queue && !g.shedBelow(c) {
		return nil, answer.Full
	}
	w := &waiter{granted: make(chan struct{})}
	g.waiting[c] = append(g.waiting[c], w)
	return w, ""
}

// withdraw removes a waiter whose context ended. A slot that was granted at the
// same moment is passed on.
func (g *Gate) withdraw(w *waiter, c class) answer.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, x := range g.waiting[c] {
		if x == w {
			g.waiting[c] = append(g.waiting[c][:i:i], g.waiting[c][i+1:]...)
			return answer.Late
		}
	}
	if !w.shed {
		g.integrate()
		g.used--
		g.grantWaiting()
	}
	return answer.Late
}

// shedBelow removes the newest waiter of a lower class to make room.
func (g *Gate) shedBelow(c class) bool {
	for lower := classes - 1; lower > c; lower-- {
		q := g.waiting[lower]
		if len(q) == 0 {
			continue
		}
		w := q[len(q)-1]
		g.waiting[lower] = q[:len(q)-1]
		w.shed = true
		close(w.granted)
		return true
	}
	return false
}

func (g *Gate) grantWaiting() {
	for g.used < g.slots {
		w := g.pop()
		if w == nil {
			return
		}
		g.take()
		close(w.granted)
	}
}

func (g *Gate) pop() *waiter {
	for c := range g.waiting {
		if len(g.waiting[c]) > 0 {
			w := g.waiting[c][0]
			g.waiting[c] = g.waiting[c][1:]
			return w
		}
	}
	return nil
}

func (g *Gate) take() {
	g.integrate()
	g.used++
}

func (g *Gate) integrate() {
	now := g.clock.Now()
	g.busy += float64(g.used) * float64(now.Sub(g.touched))
	g.touched = now
}

func (g *Gate) sample(service time.Duration) {
	if service <= 0 {
		return
	}
	if g.meanService == 0 {
		g.meanService = service
		return
	}
	g.meanService += time.Duration(serviceTimeWeight * float64(service-g.meanService))
}

func classOf(kind request.Kind) class {
	if kind == request.Repeatable {
		return repeatableClass
	}
	return onceClass
}
