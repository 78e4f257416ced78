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

// Limits of retries.
const (
	defaultRetryRatio = 0.1
	// maxSavedRetries is the largest number of unused retries that a budget holds: it limits the
	// burst after many first tries.
	maxSavedRetries = 10
	minRetryDelay   = 20 * time.Millisecond
	maxRetryDelay   = time.Second
)

// budget is a token bucket that limits retries in proportion to first tries, so that retries
// cannot multiply the load during an outage.
type budget struct {
	ratio float64

	mu sync.Mutex
	// tokens is the number of retries that are allowed now, from 0 to maxSavedRetries.
	tokens float64
}

// newBudget returns a budget that allows one retry at the start.
func newBudget(ratio float64) *budget {
	return &budget{ratio: ratio, tokens: 1}
}

func (b *budget) recordFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxSavedRetries)
}

func (b *budget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// withRetries calls try until it succeeds, another try is unsafe or cannot succeed, the budget
// is exhausted or the context ends. The error covers all tries.
func (c *Caller) withRetries(ctx context.Context, kind request.Kind, try func(tries int) *Error) *Error {
	c.budget.recordFirstTry()
	var earlier *Error
	for tries := 1; ; tries++ {
		err := try(tries)
		if err == nil {
			return nil
		}
		err = err.combinedWith(earlier)
		earlier = err
		if !err.mayRetry(kind) || ctx.Err() != nil || !c.budget.takeRetry() || !sleep(ctx, retryDelay(tries)) {
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

// combinedWith returns the error for all tries so far. If the request may have run in an earlier
// try, its verdict is MayHaveRun.
func (e *Error) combinedWith(earlier *Error) *Error {
	if earlier == nil || earlier.Verdict == verdict.NotRun {
		return e
	}
	return &Error{Verdict: verdict.MayHaveRun, Reason: e.Reason, Err: e.Err}
}

// retryDelay returns a random delay between d/2 and d, where d grows exponentially with the
// number of tries, up to maxRetryDelay.
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
