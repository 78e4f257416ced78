package evenload

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// Outcome holds the results of a run. All counts are those of the measured time.
type Outcome struct {
	Scenario
	// Requests counts requests, Waited those that found no free slot, WaitedIdle those of them
	// that arrived while another server had no request, and Held those that the agent held.
	Requests, Waited, WaitedIdle, Held int
	// Outside counts requests that were served outside the zone of their caller.
	Outside int
	// Silent counts how often a balancer took an agent for silent; all of them answer.
	Silent int
	// Unplaced counts flows without a candidate.
	Unplaced int
	// Messages counts datagrams between balancers and agents except packets of open flows;
	// Forwarded those with which agents passed a SYN on.
	Messages, Forwarded int
	// Waits and Responses are the times from the arrival to a slot and to the answer, sorted.
	Waits, Responses []time.Duration
	// Deviation is the standard deviation of the servers' utilization, divided by its mean.
	Deviation float64
}

func (o *Outcome) addRequest(waits, held, idle bool) {
	o.Requests++
	o.Waited += lo.Ternary(waits, 1, 0)
	o.WaitedIdle += lo.Ternary(waits && idle, 1, 0)
	o.Held += lo.Ternary(held, 1, 0)
}

// withTotals returns the outcome with sorted times and the deviation of the servers' busy times.
func (o Outcome) withTotals(busy []time.Duration) Outcome {
	slices.Sort(o.Waits)
	slices.Sort(o.Responses)
	mean := lo.Mean(lo.Map(busy, func(d time.Duration, _ int) float64 { return d.Seconds() }))
	variance := lo.Mean(lo.Map(busy, func(d time.Duration, _ int) float64 { return (d.Seconds() - mean) * (d.Seconds() - mean) }))
	o.Deviation = math.Sqrt(variance) / mean
	return o
}

// Share returns the share of requests that a count is.
func (o Outcome) Share(count int) float64 {
	return float64(count) / float64(max(o.Requests, 1))
}

// quantile returns a quantile of sorted times, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Seconds() * 1000
}

// columns are the figures of the table: shares of requests, times in milliseconds, datagrams
// per second.
var columns = []struct {
	name  string
	value func(Outcome) float64
}{
	{"waited, server idle", func(o Outcome) float64 { return o.Share(o.WaitedIdle) }},
	{"waited", func(o Outcome) float64 { return o.Share(o.Waited) }},
	{"bound", func(o Outcome) float64 { w, _ := Bound(o.Utilization, o.Share(o.Outside)); return w }},
	{"held", func(o Outcome) float64 { return o.Share(o.Held) }},
	{"bound", func(o Outcome) float64 { _, h := Bound(o.Utilization, o.Share(o.Outside)); return h }},
	{"outside", func(o Outcome) float64 { return o.Share(o.Outside) }},
	{"deviation", func(o Outcome) float64 { return o.Deviation }},
	{"wait p50", func(o Outcome) float64 { return quantile(o.Waits, 0.5) }},
	{"p99", func(o Outcome) float64 { return quantile(o.Waits, 0.99) }},
	{"answer p50", func(o Outcome) float64 { return quantile(o.Responses, 0.5) }},
	{"p99", func(o Outcome) float64 { return quantile(o.Responses, 0.99) }},
	{"messages/s", func(o Outcome) float64 { return float64(o.Messages) / measured.Seconds() }},
	{"passed on/s", func(o Outcome) float64 { return float64(o.Forwarded) / measured.Seconds() }},
	{"taken for silent", func(o Outcome) float64 { return float64(o.Silent) }},
}

// WriteTable writes one line for each scenario with the means over its seeds, in the order of
// the outcomes. The bounds are those of long flows.
func WriteTable(w io.Writer, outcomes []Outcome) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(t, "servers\tflows\tspeeds\tplacement\t")
	for _, c := range columns {
		_, _ = fmt.Fprint(t, c.name, "\t")
	}
	_, _ = fmt.Fprintln(t)
	withoutSeed := func(o Outcome) Scenario { o.Seed = 0; return o.Scenario }
	groups := lo.GroupBy(outcomes, withoutSeed)
	for _, c := range lo.Uniq(lo.Map(outcomes, func(o Outcome, _ int) Scenario { return withoutSeed(o) })) {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t", c.Servers, lo.Ternary(c.Long, "long", "short"), lo.Ternary(c.Uneven, "uneven", "even"), c.Placement)
		for _, col := range columns {
			_, _ = fmt.Fprintf(t, "%.4g\t", math.Round(lo.MeanBy(groups[c], col.value)*1000)/1000)
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}
