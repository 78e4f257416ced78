package packetlab

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"github.com/samber/lo"
)

// logFile is the file for the log of balancers and agents, to find the cause of a finding.
var logFile = flag.String("packetlab.log", "", "file to which the log of balancers and agents is written")

// Services and kinds of request of the scripts, as the users described them.
var (
	passService   = Service{Name: "pass", Slots: 2, Queue: 8, Cold: 2 * time.Second, ColdFactor: 1.6}
	portalService = Service{Name: "portal", Slots: 2, Queue: 8, Cold: 2 * time.Second, ColdFactor: 1.6}

	sessionKind  = Kind{Name: "session", Address: address(1), Long: true, Work: 15 * time.Millisecond, AnswerLen: 2000, Target: 100 * time.Millisecond, Timeout: 1500 * time.Millisecond}
	purchaseKind = Kind{Name: "purchase", Address: address(2), Once: true, Work: 20 * time.Millisecond, RequestLen: 900, AnswerLen: 600, Target: 120 * time.Millisecond, Timeout: 2 * time.Second}
	pageKind     = Kind{Name: "page", Address: address(3), Work: 5 * time.Millisecond, AnswerLen: 40_000, Target: 500 * time.Millisecond, Timeout: 8 * time.Second}
	// offerKind competes with purchases for the pass servers, at a lower priority.
	offerKind = Kind{Name: "offer", Address: address(4), Work: 15 * time.Millisecond, AnswerLen: 2000, Target: 100 * time.Millisecond, Timeout: 1500 * time.Millisecond}
)

// passSpeeds are the speeds of the pass servers, assigned in turn: one in four is slow.
var passSpeeds = []float64{0.55, 1.2, 1.2, 1.2}

// loadUntil is when callers stop sending requests; no script runs longer.
const loadUntil = time.Hour

// TestScenarios runs the scripts in testdata/scripts. The comment of each names the load or
// failure pattern under which it checks the guarantees.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var l *Lab
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "deploy" {
				l = deploy(t, d)
				l.logTo(t, *logFile)
				return ""
			}
			return step(t, d, l)
		})
	})
}

// step runs one command of a script after its deployment.
func step(t *testing.T, d *datadriven.TestData, l *Lab) string {
	switch d.Cmd {
	case "load":
		load(t, d, l)
		return ""
	case "fault":
		schedule(t, d, l)
		return ""
	case "play":
		return play(t, d, l)
	case "recovery":
		return checkRecovery(t, d, l)
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
		return ""
	}
}

// deploy builds a deployment. It distributes balancers, pass servers and portal servers over
// the zones in turn.
func deploy(t *testing.T, d *datadriven.TestData) *Lab {
	seed, zones, balancers, pass, portal := 1, 4, 6, 7, 4
	d.MaybeScanArgs(t, "seed", &seed)
	d.MaybeScanArgs(t, "zones", &zones)
	d.MaybeScanArgs(t, "balancers", &balancers)
	d.MaybeScanArgs(t, "pass", &pass)
	d.MaybeScanArgs(t, "portal", &portal)
	names := make([]string, zones)
	for i := range names {
		names[i] = fmt.Sprintf("zone-%c", 'a'+i)
	}
	l := NewLab(uint64(seed), names...)
	l.Balanced = d.HasArg("balanced")
	coldRate, cold := 0, passService.Cold.String()
	d.MaybeScanArgs(t, "coldRate", &coldRate)
	d.MaybeScanArgs(t, "cold", &cold)
	boot := passService.Boot.String()
	d.MaybeScanArgs(t, "boot", &boot)
	service, portalService := passService, portalService
	service.Boot, portalService.Boot = duration(t, boot), duration(t, boot)
	if service.Cold = duration(t, cold); coldRate > 0 {
		l.coldRates = map[string]float64{service.Name: float64(coldRate)}
	}
	l.SetRoutes(1, []Kind{sessionKind, purchaseKind, pageKind}, []string{"pass", "pass", "portal"})
	if d.HasArg("offers") {
		l.SetRoutes(2, []Kind{sessionKind, purchaseKind, pageKind, offerKind}, []string{"pass", "pass", "portal", "pass"})
	}
	for i := range pass {
		l.AddServer(names[i%zones], service, passSpeeds[i%len(passSpeeds)])
	}
	for i := range portal {
		l.AddServer(names[i%zones], portalService, 1)
	}
	for i := range balancers {
		l.AddBalancer(names[i%zones])
	}
	return l
}

// logTo writes the log of all balancers and agents that start from now on to a file, unless
// its name is empty.
func (l *Lab) logTo(t *testing.T, file string) {
	if file == "" {
		return
	}
	f, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	l.logInto(f)
}

// logInto writes the log of all balancers and agents that start from now on to w, with the
// time of the Lab in each line.
func (l *Lab) logInto(w io.Writer) {
	l.Log = zerolog.New(w).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Float64("at", l.Elapsed().Seconds()).Time("time", l.clock.Now())
	}))
}

// load adds callers, distributed over the zones, until the end or for a given time. Each keeps
// sessions, and sends purchases and requests for pages and offers. The rates are those of all callers together, in requests per second.
func load(t *testing.T, d *datadriven.TestData, l *Lab) {
	callers, sessions, sessionRate, purchaseRate, pageRate, offerRate := 98, 3, 292, 83, 25, 0
	d.MaybeScanArgs(t, "callers", &callers)
	d.MaybeScanArgs(t, "sessions", &sessions)
	d.MaybeScanArgs(t, "sessionRate", &sessionRate)
	d.MaybeScanArgs(t, "purchaseRate", &purchaseRate)
	d.MaybeScanArgs(t, "pageRate", &pageRate)
	d.MaybeScanArgs(t, "offerRate", &offerRate)
	until := loadUntil
	if length := ""; d.HasArg("for") {
		d.ScanArgs(t, "for", &length)
		until = l.Elapsed() + duration(t, length)
	}
	each := func(rate, users int) time.Duration {
		return time.Duration(float64(time.Second) * float64(users) / float64(max(rate, 1)))
	}
	for i := range callers {
		c := l.AddCaller(l.zones[i%len(l.zones)])
		for range sessions {
			c.Load(sessionKind, each(sessionRate, callers*sessions), until)
		}
		if purchaseRate > 0 {
			c.Load(purchaseKind, each(purchaseRate, callers), until)
		}
		if pageRate > 0 {
			c.Load(pageKind, each(pageRate, callers), until)
		}
		if offerRate > 0 {
			c.Load(offerKind, each(offerRate, callers), until)
		}
	}
}

// schedule schedules the fault of a command: its name, time and arguments.
func schedule(t *testing.T, d *datadriven.TestData, l *Lab) {
	var at string
	var index int
	var factor float64
	down, age := "1s", "0s"
	d.ScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "index", &index)
	d.MaybeScanArgs(t, "for", &down)
	d.MaybeScanArgs(t, "age", &age)
	var factorText string
	if d.MaybeScanArgs(t, "factor", &factorText); factorText != "" {
		_, _ = fmt.Sscan(factorText, &factor)
	}
	name, length := d.CmdArgs[0].Key, duration(t, down)
	if name == "restorePlatform" && len(l.platform.backups) == 0 {
		// A second series would halve the age of the oldest backup that is kept.
		l.TakeBackups()
	}
	l.At(duration(t, at), func() {
		switch name {
		case "restartBalancer":
			l.RestartBalancer(index, length)
		case "loseBalancer":
			l.LoseBalancer(index)
		case "restartAgent":
			l.RestartAgent(index, length)
		case "crashServer":
			l.CrashServer(index, length)
		case "loseServer":
			l.LoseServer(index)
		case "drainServer":
			l.DrainServer(index, length)
		case "listOther":
			l.ListOther(index)
		case "slowServer":
			l.SlowServer(index, factor, length)
		case "resetServer":
			l.ResetServer(index, length)
		case "reuseAddress":
			l.ReuseAddress(index, portalService, length)
		case "restartZone":
			l.RestartZone(l.zones[index%len(l.zones)], length)
		case "losePower":
			l.LosePower(length)
		case "losePowerAndPlatform":
			l.LosePowerAndPlatform(length, duration(t, age))
		case "killAll":
			l.KillAll(length)
		case "platformDown":
			l.PlatformDown(length, true)
		case "restorePlatform":
			l.RestorePlatform(length, duration(t, age))
		case "setRoutes":
			l.SetRoutes(l.platform.newest.Version+1, []Kind{sessionKind, purchaseKind, pageKind}, []string{"pass", "pass", "portal"})
		case "moveRoute":
			l.SetRoutes(l.platform.newest.Version+1, []Kind{sessionKind, purchaseKind, pageKind}, []string{"portal", "pass", "portal"})
		case "evacuateZone":
			l.EvacuateZone(l.zones[index%len(l.zones)], length)
		case "olderBalancer":
			l.MakeOlder(index)
		case "cutBalancer":
			l.CutBalancer(index, length)
		case "pauseBalancer":
			l.PauseBalancer(index, length)
		case "pauseAgent":
			l.PauseAgent(index, length)
		case "isolateBalancer":
			l.IsolateBalancer(index, length)
		case "addBalancer":
			l.AddBalancer(l.zones[index%len(l.zones)])
		case "addServer":
			l.AddServer(l.zones[index%len(l.zones)], passService, passSpeeds[1])
		default:
			t.Errorf("unknown fault %q", name)
		}
	})
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// play runs the Lab until the given time. It compares the requests that ended since the
// previous play with the least shares that the command gives: served at all, in time, and in time of
// one kind, named by the kind.
func play(t *testing.T, d *datadriven.TestData, l *Lab) string {
	var until string
	served, inTime := "0", "0"
	d.ScanArgs(t, "until", &until)
	d.MaybeScanArgs(t, "served", &served)
	d.MaybeScanArgs(t, "inTime", &inTime)
	before, kindsBefore := l.tally, maps.Clone(l.byKind)
	l.Run(duration(t, until))
	got := l.tally.minus(before)
	t.Logf("%s: until %s: %+v", d.Pos, until, got)
	var out strings.Builder
	for _, k := range []Kind{sessionKind, purchaseKind, pageKind, offerKind} {
		of := l.byKind[k.Name].minus(kindsBefore[k.Name])
		t.Logf("%s: %d in time, %d late, %d failed", k.Name, of.InTime, of.Late, of.Failed)
		least := "0"
		if d.MaybeScanArgs(t, k.Name, &least); least != "0" {
			checkShare(&out, k.Name+" in time", of.InTime, of.Total(), least)
		}
	}
	for _, f := range l.Findings {
		_, _ = fmt.Fprintln(&out, f)
	}
	l.Findings = nil
	checkShare(&out, "served", got.InTime+got.Late, got.Total(), served)
	checkShare(&out, "in time", got.InTime, got.Total(), inTime)
	if out.Len() == 0 {
		return "promises kept"
	}
	return out.String()
}

// checkRecovery checks the times since the latest losePowerAndPlatform by which lost flows must be
// reset first, and from which new ones must be open, and the longest delay of a reset.
func checkRecovery(t *testing.T, d *datadriven.TestData, l *Lab) string {
	var first, delay, admitted string
	d.ScanArgs(t, "first", &first)
	d.ScanArgs(t, "delay", &delay)
	d.ScanArgs(t, "admitted", &admitted)
	r := l.recovery
	t.Logf("%s: %s", d.Pos, r)
	if len(r.resets) == 0 || r.resets[0] > duration(t, first) || lo.Max(r.delays) > duration(t, delay) || r.admittedAt > duration(t, admitted) {
		return r.String()
	}
	return "recovered"
}

// checkShare writes a line if fewer than the least share of the requests are in count, or if
// there are none.
func checkShare(out *strings.Builder, what string, count, total int, least string) {
	var want float64
	_, _ = fmt.Sscan(least, &want)
	if share := float64(count) / float64(max(total, 1)); share < want || total == 0 {
		_, _ = fmt.Fprintf(out, "%s: %d of %d, want a share of %s\n", what, count, total, least)
	}
}
