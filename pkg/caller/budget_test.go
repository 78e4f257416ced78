package caller

import (
	"testing"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// TestVerdictCoversEarlierTries checks that the error still has the verdict MayHaveRun if the
// request may have run in an earlier try and the last try was refused.
func TestVerdictCoversEarlierTries(t *testing.T) {
	notRun, mayHaveRun := &Error{Verdict: verdict.NotRun}, &Error{Verdict: verdict.MayHaveRun}
	for _, c := range []struct {
		name          string
		earlier, last *Error
		want          verdict.Verdict
	}{
		{"refused in the first try", nil, notRun, verdict.NotRun},
		{"refused twice", notRun, notRun, verdict.NotRun},
		{"lost, then refused", mayHaveRun, notRun, verdict.MayHaveRun},
		{"refused, then lost", notRun, mayHaveRun, verdict.MayHaveRun},
		{"lost, refused, refused", notRun.combinedWith(mayHaveRun), notRun, verdict.MayHaveRun},
	} {
		if got := c.last.combinedWith(c.earlier).Verdict; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestMayRetry checks which failed requests may be sent again.
func TestMayRetry(t *testing.T) {
	for _, c := range []struct {
		err  Error
		kind request.Kind
		want bool
	}{
		{Error{Verdict: verdict.NotRun, Reason: answer.Full}, request.Once, true},
		{Error{Verdict: verdict.NotRun, Reason: answer.WrongService}, request.Once, false},
		{Error{Verdict: verdict.NotRun, Reason: answer.Late}, request.Repeatable, false},
		{Error{Verdict: verdict.MayHaveRun}, request.Once, false},
		{Error{Verdict: verdict.MayHaveRun}, request.Repeatable, true},
		{Error{Verdict: verdict.Ran}, request.Once, false},
	} {
		if got := c.err.mayRetry(c.kind); got != c.want {
			t.Errorf("%v %s %s: %t, want %t", c.err.Verdict, c.err.Reason, c.kind, got, c.want)
		}
	}
}

// TestBudgetBoundsRetries checks that retries stay in proportion to first tries.
func TestBudgetBoundsRetries(t *testing.T) {
	b := newBudget(0.1)
	retries := 0
	for range 1000 {
		b.recordFirstTry()
		for b.takeRetry() {
			retries++
		}
	}
	if retries < 95 || retries > 101 {
		t.Errorf("%d retries for 1,000 first tries, want about 100", retries)
	}
}
