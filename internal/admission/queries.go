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
func (g *Limiter) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.integrate()
	return Load{
		Slots:       g.slots,
		Queue:       g.queue,
		Used:        g.used,
		Queued:      g.queued(),
		MeanService: g.meanService,
		Busy:        g.busy / float64(time.Second),
	}
}

// ExpectedWait estimates how long a request of the kind would wait for a slot,
// from the mean service time and the requests ahead of it.
func (g *Limiter) ExpectedWait(kind request.Kind) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expectedWait(classOf(kind))
}

func (g *Limiter) expectedWait(c class) time.Duration {
	ahead := 0
	for i := range c + 1 {
		ahead += len(g.waiting[i])
	}
	if g.used < g.slots && ahead == 0 {
		return 0
	}
	return g.meanService * time.Duration(ahead+1) / time.Duration(max(g.slots, 1))
}

func (g *Limiter) queued() int {
	n := 0
	for _, q := range g.waiting {
		n += len(q)
	}
	return n
}
