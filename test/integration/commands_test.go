package integration

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/lab/load"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// command runs one command of a script and returns its output.
func (s *system) command(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	handlers := map[string]func(*datadriven.TestData) string{
		"system":          s.system,
		"load":            s.load,
		"finish":          s.finish,
		"signal":          s.signal,
		"await":           s.await,
		"sleep":           s.sleep,
		"journal":         s.checkJournal,
		"fabric":          s.setFabricFaults,
		"platform":        s.setPlatformFaults,
		"backend":         s.setBehaviour,
		"publish":         s.publish,
		"vm":              s.vm,
		"reuse":           s.reuse,
		"reused-journal":  s.reusedJournal,
		"restart":         s.restart,
		"mark":            s.mark,
		"last-new":        s.lastNew,
		"in-force":        s.inForce,
		"same":            s.same,
		"watch-revisions": s.watchRevisions,
		"usage":           s.usage,
		"latency":         s.latency,
		"cancel":          s.cancel,
		"rotate":          s.rotate,
		"on-ramp":         s.onRamp,
		"tcp":             s.tcp,
		"report":          s.report,
		"control":         s.control,
		"stats":           s.stats,
	}
	h, ok := handlers[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return h(d)
}

// system starts a system: system balancers=N [zones=N] services=(name:endpoints:slots,...).
func (s *system) system(d *datadriven.TestData) string {
	d.ScanArgs(s.t, "balancers", &s.plan.Balancers)
	d.MaybeScanArgs(s.t, "zones", &s.plan.Zones)
	s.plan.LogLevel = "info"
	for _, a := range d.CmdArgs {
		if a.Key == "services" {
			for _, text := range a.Vals {
				s.plan.Services = append(s.plan.Services, s.parseService(text))
			}
		}
	}
	s.start()
	return "ok"
}

func (s *system) parseService(text string) fleet.Service {
	x := fleet.Service{Owner: "tests", Kinds: []request.Kind{request.Session, request.Once, request.Repeatable}}
	fields := strings.Split(text, ":")
	x.Name = fields[0]
	if _, err := fmt.Sscan(fields[1]+" "+fields[2], &x.Endpoints, &x.Slots); err != nil {
		s.t.Fatal(err)
	}
	return x
}

// load starts load in the background on all services: load [seconds=N] [rate=requests per
// second] [callers=N] [sessions=N] [session-interval=ms] [once=share] [work=ms] [deadline=ms]
// [seed=N]. Rate, callers and sessions are those of each service.
func (s *system) load(d *datadriven.TestData) string {
	seconds, rate, callers, sessions, once, work, deadline, seed := 5.0, 50.0, 10, 0, 0.5, 5.0, 5000.0, uint64(1)
	d.MaybeScanArgs(s.t, "seconds", &seconds)
	d.MaybeScanArgs(s.t, "rate", &rate)
	d.MaybeScanArgs(s.t, "callers", &callers)
	d.MaybeScanArgs(s.t, "sessions", &sessions)
	d.MaybeScanArgs(s.t, "once", &once)
	d.MaybeScanArgs(s.t, "work", &work)
	d.MaybeScanArgs(s.t, "deadline", &deadline)
	d.MaybeScanArgs(s.t, "seed", &seed)
	interval := 20.0
	d.MaybeScanArgs(s.t, "session-interval", &interval)
	tls, err := s.plan.CallerTLS()
	if err != nil {
		s.t.Fatal(err)
	}
	var targets []load.Target
	for _, x := range s.plan.Services {
		targets = append(targets, load.Target{
			Service: x.Name, Address: s.plan.Address(x.Name), Callers: callers, Rate: rate, OnceShare: once,
			MeanWork: milliseconds(work), Deadline: milliseconds(deadline), Body: 500, Answer: 4000,
			Sessions: sessions, SessionInterval: milliseconds(interval),
		})
	}
	s.t.Logf("load with seed %d", seed)
	ctx, cancel := context.WithCancel(context.Background())
	s.running = &runningLoad{load: load.NewLoad(targets, tls, milliseconds(seconds*1000), seed), cancel: cancel}
	r := s.running
	r.done.Go(func() { r.result, r.err = r.load.Run(ctx) })
	return "ok"
}

// finish waits until the load has ended and prints each named count, summed over the
// services, or checks it against a bound: finish COUNT[=<N|=>N]...
func (s *system) finish(d *datadriven.TestData) string {
	r := s.running
	r.done.Wait()
	r.cancel()
	s.running = nil
	if r.err != nil {
		s.t.Fatal(r.err)
	}
	s.outcomes = append(s.outcomes, r.result.Outcomes...)
	s.logResult(r.result)
	counts := totals(r.result)
	var out strings.Builder
	for _, a := range d.CmdArgs {
		n, ok := counts[a.Key]
		if !ok {
			d.Fatalf(s.t, "unknown count %q", a.Key)
		}
		_, _ = fmt.Fprintf(&out, "%s=%s\n", a.Key, withinBound(n, a.Vals))
	}
	return out.String()
}

// withinBound returns the number if there is no bound, "ok" if it is within the bound, and
// otherwise a text that states both.
func withinBound(n int, bound []string) string {
	if len(bound) == 0 {
		return fmt.Sprint(n)
	}
	var limit int
	_, err := fmt.Sscan(bound[0][1:], &limit)
	switch {
	case err != nil:
		return err.Error()
	case bound[0][0] == '<' && n < limit, bound[0][0] == '>' && n > limit:
		return "ok"
	default:
		return fmt.Sprintf("%d, not %s", n, bound[0])
	}
}

func totals(r load.Result) map[string]int {
	c := map[string]int{}
	for _, k := range r.Kinds {
		c["sent"] += k.Sent
		c["ran"] += k.Ran
		c["notRun"] += k.NotRun
		c["mayHaveRun"] += k.MayHaveRun
		c["mismatched"] += k.Mismatched
		c["retries"] += k.Retries
		c["p99Ms"] = max(c["p99Ms"], int(k.Latency.P99))
		c["maxMs"] = max(c["maxMs"], int(k.Latency.Max))
	}
	for _, x := range r.Sessions {
		c["opened"] += x.Opened
		c["records"] += int(x.Records)
		c["moved"] += x.Moved
		c["broken"] += x.Broken
		c["missing"] += int(x.Missing)
		c["twice"] += int(x.Twice)
	}
	for _, name := range []string{"opened", "records", "moved", "broken", "missing", "twice"} {
		c[name] += 0
	}
	return c
}

func (s *system) logResult(r load.Result) {
	var text strings.Builder
	_ = r.Write(&text)
	s.t.Logf("load:\n%s", text.String())
	shown := 0
	for _, o := range r.Outcomes {
		if o.Text != "" && shown < 10 {
			s.t.Logf("%s %s: %s", o.ID, o.Verdict, o.Text)
			shown++
		}
	}
}

// signal sends a signal to processes: signal kill|terminate|stop|continue|reload NAME...
func (s *system) signal(d *datadriven.TestData) string {
	signals := map[string]syscall.Signal{
		"kill": syscall.SIGKILL, "terminate": syscall.SIGTERM, "stop": syscall.SIGSTOP,
		"continue": syscall.SIGCONT, "reload": syscall.SIGHUP,
	}
	for _, a := range d.CmdArgs[1:] {
		if err := s.processes[a.Key].command.Process.Signal(signals[d.CmdArgs[0].Key]); err != nil {
			s.t.Fatalf("signal %s: %v", a.Key, err)
		}
	}
	return "ok"
}

// await waits until processes have exited, each for at most startTimeout, and prints their
// exit codes: await NAME...
func (s *system) await(d *datadriven.TestData) string {
	var out strings.Builder
	for _, a := range d.CmdArgs {
		p := s.processes[a.Key]
		select {
		case <-p.exited:
			_, _ = fmt.Fprintf(&out, "%s exited with %d\n", a.Key, p.command.ProcessState.ExitCode())
		case <-time.After(startTimeout):
			_, _ = fmt.Fprintf(&out, "%s runs\n", a.Key)
		}
	}
	return out.String()
}

// sleep waits: sleep ms=N.
func (s *system) sleep(d *datadriven.TestData) string {
	var ms float64
	d.ScanArgs(s.t, "ms", &ms)
	time.Sleep(milliseconds(ms))
	return "ok"
}

// checkJournal compares the verdicts that the callers received with the journals of the
// backend servers, and prints the number of contradictions.
func (s *system) checkJournal(*datadriven.TestData) string {
	journals := make(map[string][]backend.Record)
	for _, e := range s.plan.Endpoints() {
		journals[e.Service.Name] = append(journals[e.Service.Name], s.journalOf(e)...)
	}
	a := load.NewAudit(journals, s.outcomes)
	return fmt.Sprintf("notRun that ran: %d\nonce run twice: %d\nran without trace: %d\nat a wrong service: %d\n",
		a.FalseNotRun, a.OnceTwice, a.Untraced, a.WrongService)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
