package admission

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// waitTimeout limits the wait for the goroutines of the test.
const waitTimeout = 5 * time.Second

// scriptRequests holds the requests of a script and the limiter under test.
type scriptRequests struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	limiter *Limiter

	mu sync.Mutex
	// unfinished counts the calls of Acquire that have not returned.
	unfinished int
	// outcome holds the result of each call that returned, until it is printed.
	outcome map[string]string
	cancel  map[string]context.CancelFunc
}

// TestLimiter runs a script: limits slots=N queue=N; acquire NAME KIND
// [timeout=ms]; release [service=ms]; cancel NAME; advance ms=N; state.
func TestLimiter(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := clockwork.NewFakeClock()
		r := &scriptRequests{t: t, clock: clock, limiter: NewLimiter(clock), outcome: make(map[string]string), cancel: make(map[string]context.CancelFunc)}
		datadriven.RunTest(t, path, r.command)
	})
}

func (r *scriptRequests) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "limits":
		var slots, queue int
		d.ScanArgs(t, "slots", &slots)
		d.ScanArgs(t, "queue", &queue)
		r.limiter.SetLimits(slots, queue)
	case "acquire":
		r.acquire(d)
	case "release":
		service := 0
		d.MaybeScanArgs(t, "service", &service)
		r.limiter.Release(time.Duration(service) * time.Millisecond)
	case "cancel":
		r.cancel[d.CmdArgs[0].Key]()
	case "advance":
		ms := 0
		d.ScanArgs(t, "ms", &ms)
		r.clock.Advance(time.Duration(ms) * time.Millisecond)
	}
	return r.awaitState()
}

func (r *scriptRequests) acquire(d *datadriven.TestData) {
	name, kind := d.CmdArgs[0].Key, request.Kind(d.CmdArgs[1].Key)
	ctx, cancel := context.WithCancel(context.Background())
	timeout := 0
	if d.MaybeScanArgs(r.t, "timeout", &timeout); timeout > 0 {
		ctx = deadlineContext{ctx, r.clock.Now().Add(time.Duration(timeout) * time.Millisecond)}
	}
	r.cancel[name] = cancel
	r.mu.Lock()
	r.unfinished++
	r.mu.Unlock()
	go func() {
		reason := r.limiter.Acquire(ctx, kind)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.unfinished--
		r.outcome[name] = describe(reason)
	}()
}

// deadlineContext is a context with a deadline of the fake clock.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

func describe(reason answer.Reason) string {
	if reason == "" {
		return "granted"
	}
	return string(reason)
}

// awaitState waits until every unfinished request is in the queue. It returns the
// outcomes since the last command and the state of the limiter.
func (r *scriptRequests) awaitState() string {
	r.eventually(func() bool {
		queued := r.limiter.Load().Queued
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.unfinished == queued
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for name, o := range r.outcome {
		lines = append(lines, name+": "+o)
	}
	clear(r.outcome)
	slices.Sort(lines)
	l := r.limiter.Load()
	lines = append(lines, fmt.Sprintf("used %d of %d, queued %d, mean service %v", l.Used, l.Slots, l.Queued, l.MeanService))
	return strings.Join(lines, "\n")
}

func (r *scriptRequests) eventually(ok func() bool) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	r.t.Fatal("a request is neither queued nor finished")
}
