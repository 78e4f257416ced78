package packetlab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// Soak is a run of real processes under random faults.
type Soak struct {
	// Program is the path of the bergamotflow program.
	Program string
	// Seed determines the faults and their times.
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Balancers and Servers are the numbers of balancers, and of servers with an agent each.
	Balancers, Servers int
	// Dir is the folder for the settings and logs of the processes.
	Dir string
	// Out receives a line for each fault, Result a line with the counts at the end.
	Out, Result io.Writer
}

// Timing of a soak.
const (
	// soakWarmup is the time before the first fault.
	soakWarmup = 3 * time.Second
	// soakRecovery is the time after the last fault; in its second half requests must be
	// served.
	soakRecovery = 4 * time.Second
	// maxFaultInterval is the longest time between the starts of two faults; faults overlap.
	maxFaultInterval = 900 * time.Millisecond
	// recoveredShare is the least share of requests that must be served at the end.
	recoveredShare = 0.95
	// maxLag is the longest time that a run may be behind its schedule and still count. It is
	// a part of the recovery time and of the shortest series of faults.
	maxLag = 500 * time.Millisecond
	// graceTime is how long a process may take to leave after SIGTERM; it is killed then.
	graceTime = 6 * time.Second
)

// Service and kinds of request of a soak. The work is light, so that the machine does not
// limit the load.
var (
	soakService = Service{Name: "pass", Slots: 4, Queue: 16, Cold: time.Second, ColdFactor: 1.5}
	soakKinds   = []Kind{
		{Name: "session", Address: address(1), Long: true, Work: 5 * time.Millisecond, AnswerLen: 3000, Target: 200 * time.Millisecond, Timeout: 2 * time.Second},
		{Name: "purchase", Address: address(2), Once: true, Work: 8 * time.Millisecond, RequestLen: 1500, AnswerLen: 600, Target: 250 * time.Millisecond, Timeout: 2500 * time.Millisecond},
	}
)

// ErrLate is returned for an invalid run: the machine was so busy that faults came later than
// scheduled, also into the recovery time, which has to be free of faults.
var ErrLate = merry.New("the soak ran behind its schedule")

// Run runs the soak. It returns the findings, each a violated guarantee, and an error if the
// run is invalid (ErrLate), the deployment cannot be started, or its logs cannot be read.
func (s Soak) Run() ([]string, error) {
	l, err := NewRealLab(s.Seed, s.Program, s.Dir, "zone-a", "zone-b")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	l.evacuates = s.Seed >= evacuationSeeds
	l.SetRoutes(1, soakKinds, []string{soakService.Name, soakService.Name})
	for i := range s.Servers {
		service := soakService
		if s.Seed >= soakPauseSeeds && i%4 >= 2 {
			service.Name = otherService
		}
		l.AddServer(l.zones[i%len(l.zones)], service, 1)
	}
	for i := range s.Balancers {
		l.AddBalancer(l.zones[i%len(l.zones)])
	}
	for i := range 2 * s.Servers {
		c := l.AddCaller(l.zones[i%len(l.zones)])
		c.Load(soakKinds[0], time.Second/2, s.For+soakWarmup+soakRecovery)
		c.Load(soakKinds[0], time.Second/2, s.For+soakWarmup+soakRecovery)
		c.Load(soakKinds[1], time.Second/2, s.For+soakWarmup+soakRecovery)
	}
	l.TakeBackups()
	s.schedule(l)
	l.Run(soakWarmup + s.For)
	l.Run(soakWarmup + s.For + soakRecovery/2)
	before, callsBefore := l.tally, l.real.store.Calls()
	l.Run(soakWarmup + s.For + soakRecovery)
	s.checkRecovery(l, l.tally.minus(before))
	s.checkCalls(l, l.real.store.Calls()-callsBefore)
	_, _ = fmt.Fprintf(s.Result, "seed %d: %+v, %d findings, schedule at most %v late\n", s.Seed, l.tally, len(l.Findings), l.real.worstLag)
	if l.real.worstLag > maxLag {
		return l.Findings, merry.Appendf(ErrLate, "by %v", l.real.worstLag)
	}
	return l.Findings, merry.Prepend(s.checkLogs(l), "logs")
}

// checkRecovery checks that enough of the requests counted in t were served, except those sent
// while no balancer ran, and that no process has ended by itself.
func (s Soak) checkRecovery(l *Lab, t Tally) {
	sent := t.Total() - t.Outage
	if served := t.InTime + t.Late; float64(served) < recoveredShare*float64(sent) || sent == 0 {
		l.addFinding("recovery: %d of %d requests served after the last fault", served, sent)
	}
	for _, v := range s.vms(l) {
		if v.up && l.real.exited(v) {
			l.addFinding("exit: the process of %s has ended by itself", v.ip)
		}
	}
}

// checkCalls checks that the balancers called the platform, in the second half of the recovery,
// no more often than if each read it on its own.
func (s Soak) checkCalls(l *Lab, calls int) {
	const callsPerRead = 2
	reads := int(soakRecovery/2/readInterval) + 1
	if most := s.Balancers * reads * callsPerRead; calls > most {
		l.addFinding("calls: %d to the platform within %v, want at most %d", calls, soakRecovery/2, most)
	}
}

// vms returns the VMs of all balancers and servers.
func (s Soak) vms(l *Lab) []*vm {
	var list []*vm
	for _, b := range l.balancers {
		list = append(list, b.vm)
	}
	for _, v := range l.servers {
		list = append(list, v.vm)
	}
	return list
}

// checkLogs searches the logs of all processes for crashes. It returns an error if a log
// cannot be read.
func (s Soak) checkLogs(l *Lab) error {
	names, err := filepath.Glob(filepath.Join(s.Dir, "*.log"))
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if strings.Contains(string(raw), "panic:") || strings.Contains(string(raw), "fatal error:") {
			l.addFinding("crash: panic or fatal error in %s", filepath.Base(name))
		}
	}
	return nil
}

// fault is a kind of fault. Its weight is its relative frequency; inject causes it, and
// returns a description of where and how.
type fault struct {
	name   string
	weight int
	inject func(l *Lab, r *rand.Rand) string
}

// schedule draws the faults of the seed and schedules them.
func (s Soak) schedule(l *Lab) {
	r := rand.New(rand.NewPCG(s.Seed, 1))
	list := s.faults()
	total := 0
	for _, f := range list {
		total += f.weight
	}
	for at := soakWarmup; at < soakWarmup+s.For; at += time.Duration(r.Int64N(int64(maxFaultInterval))) {
		pick := r.IntN(total)
		for _, f := range list {
			if pick -= f.weight; pick < 0 {
				l.At(at, func() {
					_, _ = fmt.Fprintf(s.Out, "%.3f s: %s %s\n", l.Elapsed().Seconds(), f.name, f.inject(l, r))
				})
				break
			}
		}
	}
}

// restoreSeeds is the first seed whose schedule also returns the platform from backups. Smaller
// seeds never do, so that the schedules that have failed once stay the same.
const restoreSeeds = 8000

// evacuationSeeds is the first seed whose schedule also evacuates zones, and whose processes have
// evacuateMillis set.
const evacuationSeeds = 9000

// faults returns the kinds of fault of a soak.
func (s Soak) faults() []fault {
	list := []fault{
		{"killBalancer", 3, func(l *Lab, r *rand.Rand) string {
			return onBalancer(l, r, func(i int) { l.RestartBalancer(i, restartDelay(r)) })
		}},
		{"leaveBalancer", 3, func(l *Lab, r *rand.Rand) string {
			return onBalancer(l, r, func(i int) { l.leave(l.balancers[i].vm, l.balancers[i].stop, l.balancers[i].start) })
		}},
		{"pauseBalancer", 2, func(l *Lab, r *rand.Rand) string {
			return onBalancer(l, r, func(i int) { l.suspend(l.balancers[i].vm, restartDelay(r)) })
		}},
		{"killAgent", 3, func(l *Lab, r *rand.Rand) string {
			return onServer(l, r, func(i int) { l.RestartAgent(i, restartDelay(r)) })
		}},
		{"leaveAgent", 2, func(l *Lab, r *rand.Rand) string {
			return onServer(l, r, func(i int) { l.leave(l.servers[i].vm, l.servers[i].stopAgent, l.servers[i].startAgent) })
		}},
		{"pauseAgent", 2, func(l *Lab, r *rand.Rand) string {
			return onServer(l, r, func(i int) { l.suspend(l.servers[i].vm, restartDelay(r)) })
		}},
		{"crashServer", 2, func(l *Lab, r *rand.Rand) string {
			return onServer(l, r, func(i int) { l.CrashServer(i, restartDelay(r)) })
		}},
		{"reload", 2, func(l *Lab, r *rand.Rand) string {
			return onBalancer(l, r, func(i int) { l.real.reload(l.balancers[i].vm) })
		}},
		{"platform", 3, func(l *Lab, r *rand.Rand) string {
			mode := standin.Mode(r.IntN(int(standin.Slow) + 1))
			l.real.store.SetMode(mode)
			from, d := l.clock.Now(), restartDelay(r)*2
			l.platform.stableAt = lo.Latest(l.platform.stableAt, from.Add(d))
			l.after(d, func() { l.real.store.SetMode(standin.Up); l.delayRequests(from) })
			return fmt.Sprintf("mode %d", mode)
		}},
		{"refuse", 2, func(l *Lab, r *rand.Rand) string {
			return onBalancer(l, r, func(i int) {
				ip, d := l.balancers[i].ip, restartDelay(r)*2
				l.balancers[i].refusedUntil = lo.Latest(l.balancers[i].refusedUntil, l.clock.Now().Add(d))
				l.real.store.SetRefused(ip, true)
				l.after(d, func() { l.real.store.SetRefused(ip, false) })
			})
		}},
		{"loss", 2, func(l *Lab, r *rand.Rand) string {
			l.real.loss = r.Float64() / 10
			l.after(restartDelay(r), func() { l.real.loss = 0 })
			return fmt.Sprintf("share %.3f", l.real.loss)
		}},
		{"routes", 2, func(l *Lab, _ *rand.Rand) string {
			version := l.platform.newest.Version + 1
			l.SetRoutes(version, soakKinds, []string{soakService.Name, soakService.Name})
			return fmt.Sprintf("version %d", version)
		}},
		{"killAll", 1, func(l *Lab, r *rand.Rand) string { l.KillAll(restartDelay(r)); return "" }},
	}
	if s.Seed >= restoreSeeds {
		list = append(list, fault{"restorePlatform", 3, func(l *Lab, r *rand.Rand) string {
			d, age := restartDelay(r), time.Duration(r.Int64N(int64(maxBackupAge)))
			l.RestorePlatform(d, age)
			return fmt.Sprintf("%v old, after %v", age, d)
		}})
	}
	if s.Seed >= evacuationSeeds {
		list = append(list, fault{"evacuateZone", 3, func(l *Lab, r *rand.Rand) string {
			zone, d := l.zones[r.IntN(len(l.zones))], restartDelay(r)*5
			// All balancers must know of the end before the recovery is measured.
			d = min(d, soakWarmup+s.For-soakRecovery-l.Elapsed())
			if d <= 0 {
				return "(too late)"
			}
			l.EvacuateZone(zone, d)
			return fmt.Sprintf("%s for %v", zone, d)
		}})
	}
	if s.Seed >= soakPauseSeeds {
		if s.Seed%2 == 0 {
			list = lo.Filter(list, func(f fault, _ int) bool { return slices.Contains(besidePauses, f.name) })
		}
		list = append(list, s.pauseFaults()...)
	}
	if s.Seed >= soakSliceSeeds {
		list = append(list, fault{"pauseInSlices", 3, func(l *Lab, r *rand.Rand) string {
			d := 3 * pauseTime(r)
			l.PauseInSlices(d)
			return d.String()
		}})
	}
	return list
}

// maxBackupAge is the greatest age of the backups from which the platform returns in a soak.
const maxBackupAge = 10 * time.Second

// restartDelay draws how long a fault lasts: 0.1 s to 1.6 s.
func restartDelay(r *rand.Rand) time.Duration {
	return 100*time.Millisecond + time.Duration(r.Int64N(int64(1500*time.Millisecond)))
}

// onBalancer draws a balancer, calls f with its index if its process runs, and returns a
// description.
func onBalancer(l *Lab, r *rand.Rand, f func(i int)) string {
	i := r.IntN(len(l.balancers))
	if l.real.exited(l.balancers[i].vm) {
		return "(down already)"
	}
	f(i)
	return l.balancers[i].ip.String()
}

// onServer draws a server, calls f with its index if it and its agent run, and returns a
// description.
func onServer(l *Lab, r *rand.Rand, f func(i int)) string {
	i := r.IntN(len(l.servers))
	if l.real.exited(l.servers[i].vm) || !l.servers[i].alive {
		return "(down already)"
	}
	f(i)
	return l.servers[i].ip.String()
}

// suspend stops the process on a VM with SIGSTOP, and resumes it after the given time.
func (l *Lab) suspend(v *vm, d time.Duration) {
	v.disturbedAt = l.clock.Now()
	epoch := v.epoch
	l.real.signal(v, syscall.SIGSTOP)
	l.after(d, func() {
		v.disturbedAt = l.clock.Now()
		if v.epoch == epoch {
			l.real.signal(v, syscall.SIGCONT)
		}
	})
}

// leave sends SIGTERM to the process on a VM, which then leaves, and starts it again when it
// has ended or its grace time is over.
func (l *Lab) leave(v *vm, stop, start func()) {
	v.disturbedAt = l.clock.Now()
	epoch, started := v.epoch, l.clock.Now()
	l.real.signal(v, syscall.SIGTERM)
	var check func()
	check = func() {
		switch {
		case v.epoch != epoch:
		case l.real.exited(v):
			stop()
			start()
		case l.clock.Since(started) > graceTime:
			l.addFinding("exit: the process of %s did not leave within its grace time", v.ip)
			stop()
			start()
		default:
			l.after(100*time.Millisecond, check)
		}
	}
	l.after(100*time.Millisecond, check)
}
