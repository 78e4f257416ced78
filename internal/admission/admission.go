// Package admission limits the requests that run and wait at one backend server.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// serviceTimeWeight is the weight of the latest sample in the moving mean of
// service times.
const serviceTimeWeight = 0.1

// Limiter grants the slots of a backend server to requests. Waiting requests are
// served in order of arrival, those that must run at most once before repeatable
// ones. It is safe for concurrent use.
type Limiter struct {
	clock clockwork.Clock

	mu sync.Mutex
	// slots is how many requests may run concurrently; 0 until SetLimits is called.
	slots int
	// queue is how many requests may wait.
	queue int
	// used is how many slots are in use; it exceeds slots only after SetLimits has
	// reduced them.
	used int
	// waiting holds one queue for each class, oldest request first.
	waiting [classCount][]*waiter
	// meanService is the moving mean of service times.
	meanService time.Duration
	// busy is the integral of used slots over time up to integratedAt, in
	// slot-nanoseconds.
	busy         float64
	integratedAt time.Time
}

// class is a priority of requests; lower numbers are served first.
type class int

const (
	onceClass class = iota
	repeatableClass
	classCount
)

// waiter is a request that waits for a slot.
type waiter struct {
	// granted is closed when the request gets its slot or is shed.
	granted chan struct{}
	// shed is true if the request was removed for one of a higher priority; it is
	// set before granted is closed.
	shed bool
}

// NewLimiter returns a gate that admits nothing until SetLimits is called.
func NewLimiter(clock clockwork.Clock) *Limiter {
	return &Limiter{clock: clock, integratedAt: clock.Now()}
}

// SetLimits sets how many requests may run and how many may wait. Fewer slots
// take effect as slots are released.
func (g *Limiter) SetLimits(slots, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots, g.queue = slots, queue
	g.grantWaiting()
}

// TryAcquire takes a slot if one is free and no request waits.
func (g *Limiter) TryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used >= g.slots || g.queued() > 0 {
		return false
	}
	g.takeSlot()
	return true
}

// Acquire takes a slot and waits for one if needed. A non-empty reason means
// that the request did not get a slot. When the context ends, the request leaves
// the queue.
func (g *Limiter) Acquire(ctx context.Context, kind request.Kind) answer.Reason {
	w, reason := g.acquireOrQueue(ctx, classOf(kind))
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

// Release returns a slot after a request with the given service time. A time of
// 0 does not count as a sample.
func (g *Limiter) Release(service time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.integrate()
	g.used--
	g.recordServiceTime(service)
	g.grantWaiting()
}

// acquireOrQueue takes a free slot, or queues the request and returns its waiter.
// A non-empty reason means that it did neither.
func (g *Limiter) acquireOrQueue(ctx context.Context, c class) (*waiter, answer.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used < g.slots && g.queued() == 0 {
		g.takeSlot()
		return nil, ""
	}
	if deadline, ok := ctx.Deadline(); ok && g.clock.Now().Add(g.expectedWait(c)).After(deadline) {
		return nil, answer.Late
	}
	if g.queued() >= g.queue && !g.shedLower(c) {
		return nil, answer.Full
	}
	w := &waiter{granted: make(chan struct{})}
	g.waiting[c] = append(g.waiting[c], w)
	return w, ""
}

// withdraw removes a waiter whose context ended. If the waiter was granted a slot
// in the meantime, the slot goes to the next one.
func (g *Limiter) withdraw(w *waiter, c class) answer.Reason {
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

// shedLower removes the newest waiter of the lowest priority below that of class
// c to make room. It returns false if there is none.
func (g *Limiter) shedLower(c class) bool {
	for lower := classCount - 1; lower > c; lower-- {
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

func (g *Limiter) grantWaiting() {
	for g.used < g.slots {
		w := g.dequeue()
		if w == nil {
			return
		}
		g.takeSlot()
		close(w.granted)
	}
}

func (g *Limiter) dequeue() *waiter {
	for c := range g.waiting {
		if len(g.waiting[c]) > 0 {
			w := g.waiting[c][0]
			g.waiting[c] = g.waiting[c][1:]
			return w
		}
	}
	return nil
}

func (g *Limiter) takeSlot() {
	g.integrate()
	g.used++
}

func (g *Limiter) integrate() {
	now := g.clock.Now()
	g.busy += float64(g.used) * float64(now.Sub(g.integratedAt))
	g.integratedAt = now
}

func (g *Limiter) recordServiceTime(service time.Duration) {
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
