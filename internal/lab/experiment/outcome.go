package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/lab/inprocess"
	"github.com/bergamotgw/bergamotgw/internal/lab/load"
)

// Outcome holds the results of one measurement.
type Outcome struct {
	// Condition, Placement and Seed identify the measurement.
	Condition string `json:"condition"`
	Placement string `json:"placement"`
	Seed      uint64 `json:"seed"`
	// Services holds the results of each service.
	Services []Service `json:"services"`
	// Audit holds the differences between the verdicts that callers received and the
	// journals of the backend servers.
	Audit load.Audit `json:"audit"`
}

// Service holds the results of one service.
type Service struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Imbalance is the utilisation of the busiest server divided by the mean; 1 means
	// perfectly balanced. Servers that leave are not counted.
	Imbalance float64 `json:"imbalance"`
	// Utilisation is the mean fraction of slots in use.
	Utilisation float64 `json:"utilisation"`
	// Goodput is the nominal work done divided by the nominal capacity.
	Goodput float64 `json:"goodput"`
	// Kinds holds the counts and latencies by kind of request.
	Kinds []load.Kind `json:"kinds"`
	// Sessions holds the counts of sessions.
	Sessions []load.Sessions `json:"sessions"`
	// Servers holds the utilisation of each backend server.
	Servers []Server `json:"servers"`
}

// Server is the utilisation of one backend server.
type Server struct {
	// VM is the name of the VM.
	VM string `json:"vm"`
	// Utilisation is the fraction of slots in use.
	Utilisation float64 `json:"utilisation"`
}

func (r Run) newOutcome(plan fleet.Plan, w window, result load.Result, system *inprocess.System) Outcome {
	o := Outcome{Condition: r.Condition.Name, Placement: r.Placement, Seed: r.Seed, Audit: load.NewAudit(system.Journals(), result.Outcomes)}
	leaving := lo.Map(nthEndpoints(plan, 2), func(e fleet.Endpoint, _ int) string { return e.VM })
	for _, s := range plan.Services {
		deltas := subtractStats(w.before[s.Name], w.after[s.Name])
		remaining := lo.Reject(deltas, func(x backend.Stats, _ int) bool {
			return r.Condition.Leaving && slices.Contains(leaving, x.VM)
		})
		x := Service{Service: s.Name, Imbalance: load.Imbalance(remaining)}
		x.Servers = lo.Map(deltas, func(b backend.Stats, _ int) Server { return Server{b.VM, slotUtilisation(b, w.durationSeconds)} })
		x.Utilisation = lo.MeanBy(deltas, func(b backend.Stats) float64 { return slotUtilisation(b, w.durationSeconds) })
		x.Goodput = lo.MeanBy(deltas, func(b backend.Stats) float64 {
			return float64(b.WorkMicros) / 1e6 / w.durationSeconds / float64(b.Slots)
		})
		x.Kinds = lo.Filter(result.Kinds, func(k load.Kind, _ int) bool { return k.Service == s.Name })
		x.Sessions = lo.Filter(result.Sessions, func(k load.Sessions, _ int) bool { return k.Service == s.Name })
		o.Services = append(o.Services, x)
	}
	return o
}

func slotUtilisation(b backend.Stats, seconds float64) float64 {
	return float64(b.BusyMicros) / 1e6 / seconds / float64(b.Slots)
}

func subtractStats(before, after []backend.Stats) []backend.Stats {
	return lo.Map(after, func(a backend.Stats, i int) backend.Stats {
		a.BusyMicros -= before[i].BusyMicros
		a.WorkMicros -= before[i].WorkMicros
		a.Requests -= before[i].Requests
		return a
	})
}

// WriteTable writes one line for each condition, placement policy and service, with
// means or sums over the seeds and the highest imbalance.
func WriteTable(w io.Writer, outcomes []Outcome) error {
	groups := make(map[string][]Service)
	var keys []string
	for _, o := range outcomes {
		for _, s := range o.Services {
			key := fmt.Sprintf("%s\t%s\t%s", o.Condition, o.Placement, s.Service)
			if _, ok := groups[key]; !ok {
				keys = append(keys, key)
			}
			groups[key] = append(groups[key], s)
		}
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "condition\tplacement\tservice\tseeds\timbalance\tworst\tutilisation\tgoodput\tsent\tnotRun\tmayHaveRun\tretries\tbroken\tp50 ms\tp99 ms")
	for _, key := range keys {
		g := groups[key]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", key, len(g),
			lo.MeanBy(g, func(s Service) float64 { return s.Imbalance }),
			lo.MaxBy(g, func(a, b Service) bool { return cmp.Compare(a.Imbalance, b.Imbalance) > 0 }).Imbalance,
			lo.MeanBy(g, func(s Service) float64 { return s.Utilisation }),
			lo.MeanBy(g, func(s Service) float64 { return s.Goodput }),
			sumOfKinds(g, func(k load.Kind) int { return k.Sent }),
			sumOfKinds(g, func(k load.Kind) int { return k.NotRun }),
			sumOfKinds(g, func(k load.Kind) int { return k.MayHaveRun }),
			sumOfKinds(g, func(k load.Kind) int { return k.Retries }),
			lo.SumBy(g, func(s Service) int { return lo.SumBy(s.Sessions, func(x load.Sessions) int { return x.Broken }) }),
			meanOfKinds(g, func(k load.Kind) float64 { return k.Latency.P50 }),
			meanOfKinds(g, func(k load.Kind) float64 { return k.Latency.P99 }))
	}
	return t.Flush()
}

func sumOfKinds(g []Service, value func(load.Kind) int) int {
	return lo.SumBy(g, func(s Service) int { return lo.SumBy(s.Kinds, value) })
}

func meanOfKinds(g []Service, value func(load.Kind) float64) float64 {
	return lo.MeanBy(g, func(s Service) float64 { return lo.MeanBy(s.Kinds, value) })
}
