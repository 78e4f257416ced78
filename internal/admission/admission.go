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

// NewLimiter returns a limiter that admits nothing until SetLimits is called.
func NewLimiter(clock clockwork.Clock) *Limiter {
	return &Limiter{clock: clock, integratedAt: clock.Now()}
}

// SetLimits sets how many requests may run and how many may wait. Fewer slots
// take effect as slots are released.
func (l *Limiter) SetLimits(slots, queue int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots, l.queue = slots, queue
	l.grantWaiting()
}

// TryAcquire takes a slot if one is free and no request waits.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used >= l.slots || l.queued() > 0 {
		return false
	}
	l.takeSlot()
	return true
}

// Acquire takes a slot and waits for one if needed. A non-empty reason means
// that the request did not get a slot. When the context ends, the request leaves
// the queue.
func (l *Limiter) Acquire(ctx context.Context, kind request.Kind) answer.Reason {
	w, reason := l.acquireOrQueue(ctx, classOf(kind))
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
		return l.withdraw(w, classOf(kind))
	}
}

// Release returns a slot after a request with the given service time. A time of
// 0 does not count as a sample.
func (l *Limiter) Release(service time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.integrate()
	l.used--
	l.recordServiceTime(service)
	l.grantWaiting()
}

// acquireOrQueue takes a free slot, or queues the request and returns its waiter.
// A non-empty reason means that it did neither.
func (l *Limiter) acquireOrQueue(ctx context.Context, c class) (*waiter, answer.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used < l.slots && l.queued() == 0 {
		l.takeSlot()
		return nil, ""
	}
	if deadline, ok := ctx.Deadline(); ok && l.clock.Now().Add(l.expectedWait(c)).After(deadline) {
		return nil, answer.Late
	}
	if l.queued() >= l.queue && !l.shedLower(c) {
		return nil, answer.Full
	}
	w := &waiter{granted: make(chan struct{})}
	l.waiting[c] = append(l.waiting[c], w)
	return w, ""
}

// withdraw removes a waiter whose context ended. If the waiter was granted a slot
// in the meantime, the slot goes to the next one.
func (l *Limiter) withdraw(w *waiter, c class) answer.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.waiting[c] {
		if x == w {
			l.waiting[c] = append(l.waiting[c][:i:i], l.waiting[c][i+1:]...)
			return answer.Late
		}
	}
	if !w.shed {
		l.integrate()
		l.used--
		l.grantWaiting()
	}
	return answer.Late
}

// shedLower removes the newest waiter of the lowest priority below that of class
// c to make room. It returns false if there is none.
func (l *Limiter) shedLower(c class) bool {
	for lower := classCount - 1; lower > c; lower-- {
		q := l.waiting[lower]
		if len(q) == 0 {
			continue
		}
		w := q[len(q)-1]
		l.waiting[lower] = q[:len(q)-1]
		w.shed = true
		close(w.granted)
		return true
	}
	return false
}

func (l *Limiter) grantWaiting() {
	for l.used < l.slots {
		w := l.dequeue()
		if w == nil {
			return
		}
		l.takeSlot()
		close(w.granted)
	}
}

func (l *Limiter) dequeue() *waiter {
	for c := range l.waiting {
		if len(l.waiting[c]) > 0 {
			w := l.waiting[c][0]
			l.waiting[c] = l.waiting[c][1:]
			return w
		}
	}
	return nil
}

func (l *Limiter) takeSlot() {
	l.integrate()
	l.used++
}

func (l *Limiter) integrate() {
	now := l.clock.Now()
	l.busy += float64(l.used) * float64(now.Sub(l.integratedAt))
	l.integratedAt = now
}

func (l *Limiter) recordServiceTime(service time.Duration) {
	if service <= 0 {
		return
	}
	if l.meanService == 0 {
		l.meanService = service
		return
	}
	l.meanService += time.Duration(serviceTimeWeight * float64(service-l.meanService))
}

func classOf(kind request.Kind) class {
	if kind == request.Repeatable {
		return repeatableClass
	}
	return onceClass
}
