package load

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/pkg/caller"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// tally counts the outcomes of requests and the events of sessions. It is safe for
// concurrent use.
type tally struct {
	mu       sync.Mutex
	kinds    map[kindKey]*kindTally
	sessions map[string]*Sessions
	// stalls holds the longest time without a record of each session, by service and key.
	stalls   map[string]map[string]time.Duration
	outcomes []Outcome
}

type kindKey struct {
	service string
	kind    string
}

type kindTally struct {
	result    Kind
	latencies []time.Duration
}

func newTally() *tally {
	return &tally{kinds: make(map[kindKey]*kindTally), sessions: make(map[string]*Sessions), stalls: make(map[string]map[string]time.Duration)}
}

// recordRequest records the outcome of a request.
func (t *tally) recordRequest(service string, x sampledRequest, a caller.Answer, err error, latency time.Duration) {
	v, reason := verdict.Ran, ""
	var failure *caller.Error
	if errors.As(err, &failure) {
		v, reason = failure.Verdict, string(failure.Reason)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, Outcome{ID: x.wire.ID, Service: service, Kind: string(x.kind), Verdict: v.String(), Text: errorText(err)})
	k := t.kind(service, string(x.kind))
	k.result.Sent++
	k.result.Retries += max(a.Tries-1, 0)
	switch {
	case v == verdict.NotRun:
		k.result.NotRun++
		k.countReason(reason)
	case v == verdict.MayHaveRun:
		k.result.MayHaveRun++
	case !x.wire.AnsweredBy(a.Body):
		k.result.Mismatched++
	default:
		k.result.Ran++
		k.latencies = append(k.latencies, latency)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (t *tally) kind(service, kind string) *kindTally {
	key := kindKey{service, kind}
	if t.kinds[key] == nil {
		t.kinds[key] = &kindTally{result: Kind{Service: service, Kind: kind, Reasons: make(map[string]int)}}
	}
	return t.kinds[key]
}

func (k *kindTally) countReason(reason string) {
	if reason == "" {
		reason = "noFlow"
	}
	k.result.Reasons[reason]++
}

func (t *tally) updateSessions(service string, change func(*Sessions)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[service] == nil {
		t.sessions[service] = &Sessions{Service: service}
	}
	change(t.sessions[service])
}

func (t *tally) sessionOpened(service string) {
	t.updateSessions(service, func(s *Sessions) { s.Opened++ })
}

func (t *tally) sessionMoved(service string) {
	t.updateSessions(service, func(s *Sessions) { s.Moved++ })
}

func (t *tally) sessionBroken(service string) {
	t.updateSessions(service, func(s *Sessions) { s.Broken++ })
}

func (t *tally) sessionRefused(ctx context.Context, service string) {
	if ctx.Err() == nil {
		t.updateSessions(service, func(s *Sessions) { s.Refused++ })
	}
}

func (t *tally) countRecords(service string, good, missing, twice uint64) {
	t.updateSessions(service, func(s *Sessions) {
		s.Records += good
		s.Missing += missing
		s.Twice += twice
	})
}

// recordGap records a time without a record of a session.
func (t *tally) recordGap(service, key string, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stalls[service] == nil {
		t.stalls[service] = make(map[string]time.Duration)
	}
	t.stalls[service][key] = max(t.stalls[service][key], gap)
}

// result returns a copy of the counts.
func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{Outcomes: slices.Clone(t.outcomes)}
	for _, k := range t.kinds {
		x := k.result
		x.Latency = percentiles(k.latencies)
		r.Kinds = append(r.Kinds, x)
	}
	for _, s := range t.sessions {
		x := *s
		x.Stall = percentiles(lo.Values(t.stalls[s.Service]))
		r.Sessions = append(r.Sessions, x)
	}
	r.sort()
	return r
}
