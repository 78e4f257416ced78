package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result holds the counts of a load.
type Result struct {
	// Kinds holds the counts of requests, one row per service and kind.
	Kinds []Kind `json:"kinds"`
	// Sessions holds the counts of sessions, one row per service.
	Sessions []Sessions `json:"sessions"`
	// Outcomes holds the verdict on every request.
	Outcomes []Outcome `json:"-"`
}

// Kind counts the requests of one kind to one service.
type Kind struct {
	// Service and Kind identify the row.
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Sent counts requests, not counting retries.
	Sent int `json:"sent"`
	// Ran counts complete answers that belong to their request.
	Ran int `json:"ran"`
	// NotRun counts refusals and flows that could not be opened.
	NotRun int `json:"notRun"`
	// MayHaveRun counts requests for which it is not proven whether they ran.
	MayHaveRun int `json:"mayHaveRun"`
	// Mismatched counts complete answers that belong to another request.
	Mismatched int `json:"mismatched"`
	// Retries counts the tries after the first of requests that ran.
	Retries int `json:"retries"`
	// Reasons counts the requests that did not run, by the reason of the refusal.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Latency holds the percentiles of the latency of requests that ran.
	Latency Percentiles `json:"latency"`
}

// Sessions counts the sessions of one service.
type Sessions struct {
	// Service identifies the row.
	Service string `json:"service"`
	// Opened counts opened sessions, including successors.
	Opened int `json:"opened"`
	// Moved counts sessions that moved to a successor without an interruption.
	Moved int `json:"moved"`
	// Broken counts sessions that ended without a request to move.
	Broken int `json:"broken"`
	// Refused counts failed attempts to open a session.
	Refused int `json:"refused"`
	// Records counts records received in order.
	Records uint64 `json:"records"`
	// Missing and Twice count records that were skipped or received again.
	Missing uint64 `json:"missing"`
	Twice   uint64 `json:"twice"`
	// Stall holds the percentiles, over all sessions, of the longest time without a record
	// in each session.
	Stall Percentiles `json:"stall"`
}

// Outcome is the verdict on one request.
type Outcome struct {
	// ID identifies the request and is its idempotency key.
	ID string `json:"id"`
	// Service and Kind describe the request.
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Verdict is the name of the verdict: ran, notRun or mayHaveRun.
	Verdict string `json:"verdict"`
	// Text is the text of the error; empty if there is none.
	Text string `json:"text,omitempty"`
}

// Percentiles holds percentiles of a duration, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50Ms"`
	P90 float64 `json:"p90Ms"`
	P99 float64 `json:"p99Ms"`
	Max float64 `json:"maxMs"`
}

// Write writes the counts as two tables, one of requests and one of sessions. It returns
// the error of w.
func (r Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "service\tkind\tsent\tran\tnotRun\tmayHaveRun\tmismatched\tretries\tp50 ms\tp99 ms\tmax ms\t")
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", k.Service, k.Kind, k.Sent, k.Ran, k.NotRun,
			k.MayHaveRun, k.Mismatched, k.Retries, k.Latency.P50, k.Latency.P99, k.Latency.Max)
	}
	_, _ = fmt.Fprintln(t, "\nservice\tsessions opened\tmoved\tbroken\trefused\trecords missing\ttwice\tstall p50 ms\tp99 ms\tmax ms\t")
	for _, s := range r.Sessions {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t\n", s.Service, s.Opened, s.Moved, s.Broken, s.Refused,
			s.Missing, s.Twice, s.Stall.P50, s.Stall.P99, s.Stall.Max)
	}
	return t.Flush()
}

func (r Result) sort() {
	slices.SortFunc(r.Kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	slices.SortFunc(r.Sessions, func(a, b Sessions) int { return cmp.Compare(a.Service, b.Service) })
}

func percentiles(latencies []time.Duration) Percentiles {
	if len(latencies) == 0 {
		return Percentiles{}
	}
	sorted := slices.Sorted(slices.Values(latencies))
	at := func(share float64) float64 {
		i := min(int(share*float64(len(sorted))), len(sorted)-1)
		return float64(sorted[i].Microseconds()) / 1000
	}
	return Percentiles{P50: at(0.5), P90: at(0.9), P99: at(0.99), Max: at(1)}
}
