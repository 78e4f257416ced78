// Package demo runs the workloads of both customers, at their current sizes, on a
// complete system in one process. During the run one balancer fails and one backend
// server drains. At the end it checks that no guarantee was violated.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/fabric"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/lab/inprocess"
	"github.com/bergamotgw/bergamotgw/internal/lab/load"
	"github.com/bergamotgw/bergamotgw/internal/vm"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Times of the demo, counted from the start of the load: when the balancer becomes
// silent, when the fabric detects it, when the VM starts to leave, and when the load
// ends; and the time between two lines of progress.
const (
	silentAt         = 6 * time.Second
	detectedAt       = 9 * time.Second
	leavingAt        = 14 * time.Second
	loadDuration     = 24 * time.Second
	progressInterval = 2 * time.Second
)

// leavingVM is the VM whose backend server drains.
const leavingVM = "order-1"

// oneWayDelayMs is half of the round trip between callers and balancers, in milliseconds.
const oneWayDelayMs = 1.0

// Demo holds the parameters of the demo.
type Demo struct {
	// Output receives the progress and the table of results.
	Output io.Writer
	// Octet is the second octet of all loopback addresses.
	Octet uint8
	// Seed is the seed of all random choices; it makes the load repeatable.
	Seed uint64
}

// Run runs the demo. It returns an error if the system cannot be started or a guarantee
// was violated.
func (d Demo) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "bergamotgw-demo-")
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	plan := Plan(dir, d.Octet)
	d.print("starting %d balancers and %d agents with their backend servers", plan.Balancers, len(plan.Endpoints()))
	system, err := inprocess.Start(ctx, plan, d.Seed)
	if err != nil {
		return err
	}
	defer system.Stop()
	result, err := d.runLoad(ctx, plan, system)
	if err != nil {
		return err
	}
	return d.checkResult(plan, system, result)
}

// Plan returns the services of both customers at their current sizes, with three
// balancers in four zones. The directory receives the files of the system.
func Plan(dir string, octet uint8) fleet.Plan {
	sessionAndOnce := []request.Kind{request.Session, request.Once}
	repeatable := []request.Kind{request.Repeatable}
	return fleet.Plan{
		Dir: dir, Octet: octet, Balancers: 3, Zones: 4, LogLevel: "error",
		Services: []fleet.Service{
			{Name: "pass", Owner: "skyconnect-pass", Endpoints: 7, Slots: 2, Kinds: sessionAndOnce},
			{Name: "portal", Owner: "skyconnect-portal", Endpoints: 4, Slots: 2, Kinds: repeatable},
			{Name: "order", Owner: "print-floor", Endpoints: 7, Slots: 5, Kinds: sessionAndOnce},
			{Name: "proof", Owner: "office", Endpoints: 3, Slots: 5, Kinds: repeatable},
		},
	}
}

// Targets returns the load of both customers. The utilisation is the offered load
// relative to the nominal capacity.
func Targets(plan fleet.Plan, utilisation float64) []load.Target {
	work := map[string]time.Duration{"pass": 60 * time.Millisecond, "portal": 40 * time.Millisecond, "order": 80 * time.Millisecond, "proof": 100 * time.Millisecond}
	var list []load.Target
	for _, s := range plan.Services {
		t := load.Target{
			Service: s.Name, Address: plan.Address(s.Name), Callers: 40, MeanWork: work[s.Name],
			Rate:     utilisation * float64(s.Endpoints*s.Slots) / work[s.Name].Seconds(),
			Deadline: 8 * time.Second, Body: 400, Answer: 3000,
		}
		if s.Kinds[0] == request.Session {
			t.OnceShare, t.Sessions, t.SessionInterval = 1, 20, 50*time.Millisecond
		}
		list = append(list, t)
	}
	return list
}

// runLoad runs the load and schedules the faults.
func (d Demo) runLoad(ctx context.Context, plan fleet.Plan, system *inprocess.System) (load.Result, error) {
	tls, err := plan.CallerTLS()
	if err != nil {
		return load.Result{}, err
	}
	faults := fabric.Faults{Balancers: plan.Fronts(), DelayMs: oneWayDelayMs}
	system.Fabric.SetFaults(faults)
	l := load.NewLoad(Targets(plan, 0.5), tls, loadDuration, d.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.printProgress(ctx, l)
	schedule := func(delay time.Duration, text string, action func()) {
		time.AfterFunc(delay, func() {
			d.print("%s", text)
			action()
		})
	}
	schedule(silentAt, "balancer 2 becomes silent; the fabric still forwards to it", func() {
		faults.Silent = plan.Fronts()[1:2]
		system.Fabric.SetFaults(faults)
	})
	schedule(detectedAt, "the fabric detects the failure and forwards only to balancers 1 and 3", func() {
		faults.Balancers = append(plan.Fronts()[:1:1], plan.Fronts()[2])
		system.Fabric.SetFaults(faults)
	})
	schedule(leavingAt, "the platform lists VM "+leavingVM+" as leaving; it drains", func() {
		system.Platform.Publish([]entry.Entry{plan.AgentVM(plan.Endpoint(leavingVM), 2, vm.Leaving)}...)
	})
	return l.Run(ctx)
}

func (d Demo) printProgress(ctx context.Context, l *load.Load) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressInterval):
		}
		sent, ran, open, broken := 0, 0, 0, 0
		r := l.Progress()
		for _, k := range r.Kinds {
			sent, ran = sent+k.Sent, ran+k.Ran
		}
		for _, s := range r.Sessions {
			open, broken = open+s.Opened-s.Moved, broken+s.Broken
		}
		d.print("  %d requests ended, %d ran; %d sessions open, %d broken", sent, ran, open, broken)
	}
}

// checkResult prints the table and the imbalance of each service, and returns an error
// if a guarantee was violated.
func (d Demo) checkResult(plan fleet.Plan, system *inprocess.System, r load.Result) error {
	d.print("")
	if err := r.Write(d.Output); err != nil {
		return err
	}
	d.print("")
	for _, s := range plan.Services {
		stats := lo.Reject(system.Stats(s.Name), func(x backend.Stats, _ int) bool { return x.VM == leavingVM })
		d.print("imbalance of %s: %.2f (1.00 is perfectly balanced; without the VM that left)", s.Name, load.Imbalance(stats))
	}
	if violations := d.violations(system, r); len(violations) > 0 {
		return merry.Errorf("violated guarantees: %v", violations)
	}
	d.print("no guarantee was violated")
	return nil
}

// violations describes the violated guarantees, with their counts.
func (d Demo) violations(system *inprocess.System, r load.Result) []string {
	var list []string
	add := func(n int, description string) {
		if n > 0 {
			list = append(list, fmt.Sprintf("%d %s", n, description))
		}
	}
	for _, k := range r.Kinds {
		add(k.Mismatched, "answers to another request")
		add(k.MayHaveRun, k.Service+" requests without a verdict")
	}
	for _, s := range r.Sessions {
		add(s.Broken, s.Service+" sessions broken")
		add(int(s.Missing+s.Twice), s.Service+" records missing or twice")
	}
	a := load.NewAudit(system.Journals(), r.Outcomes)
	add(a.FalseNotRun, "requests reported as notRun that ran")
	add(a.OnceTwice, "requests that must run once and ran twice")
	add(a.WrongService, "requests at a wrong service")
	return list
}

func (d Demo) print(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Output, format+"\n", args...)
}
