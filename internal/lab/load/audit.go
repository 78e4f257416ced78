package load

import (
	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// Audit compares the verdicts that callers got with what reached the backend
// servers.
type Audit struct {
	// FalseNotRun counts requests told notRun that ran.
	FalseNotRun int
	// OnceTwice counts requests that must run at most once and ran more often.
	OnceTwice int
	// Untraced counts requests that were answered without having run.
	Untraced int
	// WrongService counts requests that reached a server of another service.
	WrongService int
}

// NewAudit returns the comparison. Journals are keyed by service.
func NewAudit(journals map[string][]backend.Record, outcomes []Outcome) Audit {
	var a Audit
	runs := make(map[string]int)
	for service, records := range journals {
		for _, r := range records {
			if r.Kind != string(request.Session) {
				runs[r.ID]++
			}
			if r.Service != service {
				a.WrongService++
			}
		}
	}
	for _, o := range outcomes {
		a.count(o, runs[o.ID])
	}
	return a
}

func (a *Audit) count(o Outcome, runs int) {
	if o.Verdict == verdict.NotRun.String() && runs > 0 {
		a.FalseNotRun++
	}
	if o.Verdict == verdict.Ran.String() && runs == 0 {
		a.Untraced++
	}
	if o.Kind == string(request.Once) && runs > 1 {
		a.OnceTwice++
	}
}

// Imbalance returns the work of the busiest backend server relative to what it
// can carry, over the mean of all. 1 is perfect.
func Imbalance(stats []backend.Stats) float64 {
	busiest, sum := 0.0, 0.0
	for _, s := range stats {
		share := float64(s.BusyMicros) / float64(s.Slots)
		busiest = max(busiest, share)
		sum += share
	}
	if sum == 0 {
		return 1
	}
	return busiest * float64(len(stats)) / sum
}
