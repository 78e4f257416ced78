package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// Bounds of retries.
const (
	defaultRetryRatio = 0.1
	// maxSavedRetries bounds the retries that many first tries allow at once.
	maxSavedRetries = 10
	minRetryDelay   = 20 * time.Millisecond
	maxRetryDelay   = time.Second
)

// budget allows retries in proportion to first tries, so that retries cannot
// multiply an outage.
type budget struct {
	ratio float64

	mu sync.Mutex
	// tokens is how many retries are allowed now, from 0 to maxSavedRetries.
	tokens float64
}

// newBudget allows one retry at the start.
func newBudget(ratio float64) *budget {
	return &budget{ratio: ratio, tokens: 1}
}

func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxSavedRetries)
}

func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retrying runs tries while they fail, another is safe, the budget allows it and
// the context lasts. The error covers all tries.
func (c *Caller) retrying(ctx context.Context, kind request.Kind, try func(tries int) *Error) *Error {
	c.budget.first()
	var earlier *Error
	for tries := 1; ; tries++ {
		err := try(tries)
		if err == nil {
			return nil
		}
		err = err.after(earlier)
		earlier = err
		if !err.mayRetry(kind) || ctx.Err() != nil || !c.budget.retry() || !sleep(ctx, retryDelay(tries)) {
			return err
		}
	}
}

// mayRetry reports whether another try is safe and can succeed. A repeatable
// request may run more than once.
func (e *Error) mayRetry(kind request.Kind) bool {
	if !e.Verdict.SafeToRepeat() && kind != request.Repeatable {
		return false
	}
	switch e.Reason {
	case answer.WrongService, answer.BadPreface, answer.Late:
		return false
	default:
		return true
	}
}

// after returns the error for all tries so far: a request that may have run in
// an earlier try may have run.
func (e *Error) after(earlier *Error) *Error {
	if earlier == nil || earlier.Verdict == verdict.NotRun {
		return e
	}
	return &Error{Verdict: verdict.MayHaveRun, Reason: e.Reason, Err: e.Err}
}

// retryDelay grows exponentially, with full jitter.
func retryDelay(tries int) time.Duration {
	d := min(minRetryDelay<<min(tries, 10), maxRetryDelay)
	return d/2 + rand.N(d/2)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
