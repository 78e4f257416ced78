package load

import (
	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// Audit counts the contradictions between the verdicts that callers received and
// the requests that the backend servers recorded.
type Audit struct {
	// FalseNotRun counts requests with the verdict notRun that ran nevertheless.
	FalseNotRun int
	// OnceTwice counts requests that must run at most once but ran more often.
	OnceTwice int
	// Untraced counts requests with the verdict ran that no backend server recorded.
	Untraced int
	// WrongService counts requests that reached a server of another service.
	WrongService int
}

// NewAudit compares the outcomes with the journals of the backend servers, which
// are keyed by service.
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
		a.countOutcome(o, runs[o.ID])
	}
	return a
}

func (a *Audit) countOutcome(o Outcome, runs int) {
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

// Imbalance returns the busy time per slot of the busiest backend server, divided
// by the mean over all. 1 is a perfect balance.
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
