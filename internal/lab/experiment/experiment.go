// Package experiment measures placement under the load of both customers:
// broken flows, imbalance, goodput and latency, for a condition and a policy.
package experiment

import (
	"context"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/demo"
	"github.com/bergamotgw/bergamotgw/internal/lab/fabric"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/lab/inprocess"
	"github.com/bergamotgw/bergamotgw/internal/lab/load"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Speeds and times of conditions.
const (
	stragglerSpeed = 1.0 / 3
	coldMs         = 8000
	outageTime     = 5 * time.Second
	oneWayDelayMs  = 1.0
)

// Run is one measurement.
type Run struct {
	// Condition is what the system has to bear.
	Condition Condition
	// Placement is the placement policy.
	Placement string
	// Seed makes the load repeatable.
	Seed uint64
	// Octet is the second octet of all addresses.
	Octet uint8
	// Warmup is not measured.
	Warmup time.Duration
	// Duration is measured.
	Duration time.Duration
}

// Condition is what the system has to bear.
type Condition struct {
	// Name identifies the condition.
	Name string
	// Utilisation is the offered load relative to nominal capacity.
	Utilisation float64
	// Straggler slows the first backend server of each service to a third.
	Straggler bool
	// Lying makes the first backend server of each service report a fault.
	Lying bool
	// Cold restarts the first backend server of each service cold.
	Cold bool
	// Unequal gives the first balancer most of the datagrams.
	Unequal bool
	// Leaving makes the second backend server VM of each service leave.
	Leaving bool
	// Outage makes all balancers silent for a while in the middle.
	Outage bool
}

// Conditions returns every condition by name.
func Conditions() []Condition {
	return []Condition{
		{Name: "50", Utilisation: 0.5},
		{Name: "80", Utilisation: 0.8},
		{Name: "95", Utilisation: 0.95},
		{Name: "120", Utilisation: 1.2},
		{Name: "straggler", Utilisation: 0.7, Straggler: true},
		{Name: "cold", Utilisation: 0.7, Cold: true},
		{Name: "lying", Utilisation: 0.8, Lying: true},
		{Name: "unequal", Utilisation: 0.8, Unequal: true},
		{Name: "leaving", Utilisation: 0.6, Leaving: true},
		{Name: "outage", Utilisation: 0.6, Outage: true},
		{Name: "stragglerLeaving", Utilisation: 0.5, Straggler: true, Leaving: true},
	}
}

// Execute runs the measurement.
func (r Run) Execute(ctx context.Context) (Outcome, error) {
	dir, err := os.MkdirTemp("", "bergamotlab-experiment-")
	if err != nil {
		return Outcome{}, merry.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	plan := demo.Plan(dir, r.Octet)
	plan.Placement = r.Placement
	system, err := inprocess.Start(ctx, plan, r.Seed)
	if err != nil {
		return Outcome{}, err
	}
	defer system.Stop()
	r.arrange(plan, system)
	tls, err := plan.CallerTLS()
	if err != nil {
		return Outcome{}, err
	}
	l := load.NewLoad(demo.Targets(plan, r.Condition.Utilisation), tls, r.Warmup+r.Duration, r.Seed)
	window := make(chan window, 1)
	go func() { window <- r.measure(plan, system) }()
	result, err := l.Run(ctx)
	if err != nil {
		return Outcome{}, err
	}
	return r.outcome(plan, <-window, result, system), nil
}

// arrange brings the condition about.
func (r Run) arrange(plan fleet.Plan, system *inprocess.System) {
	faults := fabric.Faults{Balancers: plan.Fronts(), DelayMs: oneWayDelayMs}
	if r.Condition.Unequal {
		faults.Weights = []float64{0.8, 0.1, 0.1}
	}
	system.Fabric.SetFaults(faults)
	for _, e := range firsts(plan, 1) {
		var b backend.Behaviour
		if r.Condition.Straggler {
			b.Speed = stragglerSpeed
		}
		if r.Condition.Lying {
			b.Unhealthy = true
		}
		if r.Condition.Cold {
			b.ColdMs = coldMs + int((r.Warmup).Milliseconds())
		}
		system.Backend(e.VM).SetBehaviour(b)
	}
	middle := r.Warmup + r.Duration/2
	if r.Condition.Leaving {
		time.AfterFunc(middle, func() {
			system.Platform.Publish(lo.Map(firsts(plan, 2), func(e fleet.Endpoint, _ int) entry.Entry { return plan.AgentVM(e, 2, vm.Leaving) })...)
		})
	}
	if r.Condition.Outage {
		time.AfterFunc(middle, func() {
			silent := faults
			silent.Silent = plan.Fronts()
			system.Fabric.SetFaults(silent)
		})
		time.AfterFunc(middle+outageTime, func() { system.Fabric.SetFaults(faults) })
	}
}

// firsts returns the endpoint with the given number of each service, from 1.
func firsts(plan fleet.Plan, number int) []fleet.Endpoint {
	return lo.FilterMap(plan.Services, func(s fleet.Service, _ int) (fleet.Endpoint, bool) {
		list := lo.Filter(plan.Endpoints(), func(e fleet.Endpoint, _ int) bool { return e.Service.Name == s.Name })
		return list[number-1], true
	})
}

// window holds the totals of all backend servers between two moments.
type window struct {
	before, after map[string][]backend.Stats
	seconds       float64
}

func (r Run) measure(plan fleet.Plan, system *inprocess.System) window {
	snapshot := func() map[string][]backend.Stats {
		all := make(map[string][]backend.Stats)
		for _, s := range plan.Services {
			all[s.Name] = system.Stats(s.Name)
		}
		return all
	}
	time.Sleep(r.Warmup)
	w := window{before: snapshot()}
	start := time.Now()
	time.Sleep(r.Duration)
	w.after, w.seconds = snapshot(), time.Since(start).Seconds()
	return w
}
