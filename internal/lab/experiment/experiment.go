// Package experiment runs the workloads of both customers on a system in one process,
// under a given condition and with a given placement policy. It measures broken
// sessions, imbalance, goodput and latency.
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

// Speeds and times of the conditions: a straggler works at a third of the nominal
// speed, a cold start lasts 8 s beyond the warm-up, an outage 5 s. The delay is half
// of the round trip between callers and balancers.
const (
	stragglerSpeed = 1.0 / 3
	coldMs         = 8000
	outageDuration = 5 * time.Second
	oneWayDelayMs  = 1.0
)

// Run holds the parameters of one measurement.
type Run struct {
	// Condition is the load and the faults that are applied.
	Condition Condition
	// Placement is the name of the placement policy.
	Placement string
	// Seed is the seed of all random choices; it makes the load repeatable.
	Seed uint64
	// Octet is the second octet of all loopback addresses.
	Octet uint8
	// Warmup is the time under load before the measurement starts.
	Warmup time.Duration
	// Duration is the time that is measured.
	Duration time.Duration
}

// Condition is a load and a set of faults.
type Condition struct {
	// Name identifies the condition.
	Name string
	// Utilisation is the offered load relative to the nominal capacity.
	Utilisation float64
	// Straggler slows the first backend server of each service to a third of its speed.
	Straggler bool
	// FalselyUnhealthy makes the first backend server of each service report a fault that it does
	// not have.
	FalselyUnhealthy bool
	// Cold gives the first backend server of each service a cold start, which continues
	// into the measured time.
	Cold bool
	// Unequal sends most of the datagrams to the first balancer (shares 0.8, 0.1, 0.1).
	Unequal bool
	// Leaving makes the VM of the second backend server of each service leave in the
	// middle of the measured time.
	Leaving bool
	// Outage makes all balancers silent for 5 s in the middle of the measured time.
	Outage bool
}

// Conditions returns all named conditions.
func Conditions() []Condition {
	return []Condition{
		{Name: "50", Utilisation: 0.5},
		{Name: "80", Utilisation: 0.8},
		{Name: "95", Utilisation: 0.95},
		{Name: "120", Utilisation: 1.2},
		{Name: "straggler", Utilisation: 0.7, Straggler: true},
		{Name: "cold", Utilisation: 0.7, Cold: true},
		{Name: "lying", Utilisation: 0.8, FalselyUnhealthy: true},
		{Name: "unequal", Utilisation: 0.8, Unequal: true},
		{Name: "leaving", Utilisation: 0.6, Leaving: true},
		{Name: "outage", Utilisation: 0.6, Outage: true},
		{Name: "stragglerLeaving", Utilisation: 0.5, Straggler: true, Leaving: true},
	}
}

// Execute starts the system, runs the measurement and stops the system. It returns an
// error if the system or the load cannot be started.
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
	r.applyCondition(plan, system)
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
	return r.newOutcome(plan, <-window, result, system), nil
}

// applyCondition sets the faults of the condition and schedules those that begin in the
// middle of the measured time.
func (r Run) applyCondition(plan fleet.Plan, system *inprocess.System) {
	faults := fabric.Faults{Balancers: plan.Fronts(), DelayMs: oneWayDelayMs}
	if r.Condition.Unequal {
		faults.Weights = []float64{0.8, 0.1, 0.1}
	}
	system.Fabric.SetFaults(faults)
	for _, e := range nthEndpoints(plan, 1) {
		var b backend.Behaviour
		if r.Condition.Straggler {
			b.Speed = stragglerSpeed
		}
		if r.Condition.FalselyUnhealthy {
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
			system.Platform.Publish(lo.Map(nthEndpoints(plan, 2), func(e fleet.Endpoint, _ int) entry.Entry { return plan.AgentVM(e, 2, vm.Leaving) })...)
		})
	}
	if r.Condition.Outage {
		time.AfterFunc(middle, func() {
			outage := faults
			outage.Silent = plan.Fronts()
			system.Fabric.SetFaults(outage)
		})
		time.AfterFunc(middle+outageDuration, func() { system.Fabric.SetFaults(faults) })
	}
}

// nthEndpoints returns, for each service, the endpoint with the given number, counted
// from 1.
func nthEndpoints(plan fleet.Plan, number int) []fleet.Endpoint {
	return lo.FilterMap(plan.Services, func(s fleet.Service, _ int) (fleet.Endpoint, bool) {
		list := lo.Filter(plan.Endpoints(), func(e fleet.Endpoint, _ int) bool { return e.Service.Name == s.Name })
		return list[number-1], true
	})
}

// window holds the totals of all backend servers, by service, at the start and at the
// end of the measured time.
type window struct {
	before, after   map[string][]backend.Stats
	durationSeconds float64
}

// measure waits until the warm-up ends and returns the totals around the measured time.
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
	w.after, w.durationSeconds = snapshot(), time.Since(start).Seconds()
	return w
}
