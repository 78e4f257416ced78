package admission

import (
	"time"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Load is the state of a limiter at one moment.
type Load struct {
	// Slots is how many requests may run concurrently.
	Slots int
	// Queue is how many requests may wait.
	Queue int
	// Used is how many requests run.
	Used int
	// Queued is how many requests wait.
	Queued int
	// MeanService is the moving mean of service times.
	MeanService time.Duration
	// Busy is the integral of the used slots over the time since the start, in
	// slot-seconds.
	Busy float64
}

// Load returns the current state.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.integrate()
	return Load{
		Slots:       l.slots,
		Queue:       l.queue,
		Used:        l.used,
		Queued:      l.queued(),
		MeanService: l.meanService,
		Busy:        l.busy / float64(time.Second),
	}
}

// ExpectedWait estimates how long a request of the kind would wait for a slot,
// from the mean service time and the requests ahead of it.
func (l *Limiter) ExpectedWait(kind request.Kind) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expectedWait(classOf(kind))
}

func (l *Limiter) expectedWait(c class) time.Duration {
	ahead := 0
	for i := range c + 1 {
		ahead += len(l.waiting[i])
	}
	if l.used < l.slots && ahead == 0 {
		return 0
	}
	return l.meanService * time.Duration(ahead+1) / time.Duration(max(l.slots, 1))
}

func (l *Limiter) queued() int {
	n := 0
	for _, q := range l.waiting {
		n += len(q)
	}
	return n
}
