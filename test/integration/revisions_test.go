package integration

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/status"
)

// pollInterval is the time between queries for the revisions in force.
const pollInterval = 25 * time.Millisecond

// inForce waits until a revision is in force at every running process, and otherwise prints
// the processes at which it is not: in-force SERVICE revision=n within=seconds
// [except=(NAME,...)].
func (s *system) inForce(d *datadriven.TestData) string {
	var revision uint64
	var within float64
	var except []string
	d.ScanArgs(s.t, "revision", &revision)
	d.ScanArgs(s.t, "within", &within)
	for _, a := range d.CmdArgs {
		if a.Key == "except" {
			except = a.Vals
		}
	}
	start := time.Now()
	var missing []string
	for time.Since(start) < milliseconds(within*1000) {
		if missing = s.processesWithout(d.CmdArgs[0].Key, revision, except); len(missing) == 0 {
			s.t.Logf("in force everywhere after %v", time.Since(start).Round(time.Millisecond))
			return "everywhere"
		}
		time.Sleep(pollInterval)
	}
	return "not in force at " + strings.Join(missing, ", ")
}

// processesWithout returns the running processes at which the revision is not in force or
// which do not answer.
func (s *system) processesWithout(service string, revision uint64, except []string) []string {
	var list []string
	for name, address := range s.statusAddresses() {
		if slices.Contains(except, name) {
			continue
		}
		r, err := get[status.Report](address, "/status")
		if err != nil || sectionRevision(r, service) != revision {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

func sectionRevision(r status.Report, service string) uint64 {
	for _, x := range r.Sections {
		if x.Service == service {
			return x.Revision
		}
	}
	return 0
}

// same waits until the same revision and owner of a section are in force at all running
// processes and all have refused the same revisions, and prints them unless quiet: same
// SERVICE [quiet].
func (s *system) same(d *datadriven.TestData) string {
	states := make(map[string][]string)
	s.eventually("all processes report the same section and the same refusals", func() bool {
		clear(states)
		for name, address := range s.statusAddresses() {
			r, err := get[status.Report](address, "/status")
			if err != nil {
				return false
			}
			text := describeSection(r, d.CmdArgs[0].Key)
			states[text] = append(states[text], name)
		}
		return len(states) == 1
	})
	if d.HasArg("quiet") {
		return "all agree"
	}
	for text := range states {
		return text
	}
	return ""
}

func describeSection(r status.Report, service string) string {
	var out strings.Builder
	for _, x := range r.Sections {
		if x.Service == service {
			_, _ = fmt.Fprintf(&out, "revision %d of %s\n", x.Revision, x.Owner)
		}
	}
	for _, x := range r.Refused {
		_, _ = fmt.Fprintf(&out, "refused %s revision %d: %s\n", x.Key, x.Revision, x.Faults[0])
	}
	return out.String()
}

// revisionWatch polls all processes and counts decreases of a revision in force.
type revisionWatch struct {
	mu sync.Mutex
	// highest holds the highest revision seen, by process and section.
	highest   map[string]uint64
	decreases int
	stop      chan struct{}
	done      sync.WaitGroup
}

// watchRevisions starts the count of decreasing revisions, or ends and prints it:
// watch-revisions start|end.
func (s *system) watchRevisions(d *datadriven.TestData) string {
	if d.CmdArgs[0].Key == "start" {
		w := &revisionWatch{highest: make(map[string]uint64), stop: make(chan struct{})}
		s.watch = w
		addresses := s.allStatusAddresses()
		w.done.Go(func() { w.run(addresses) })
		return "ok"
	}
	close(s.watch.stop)
	s.watch.done.Wait()
	return fmt.Sprintf("revisions going back: %d\n", s.watch.decreases)
}

func (w *revisionWatch) run(addresses []string) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pollInterval):
		}
		for _, a := range addresses {
			if r, err := get[status.Report](a, "/status"); err == nil {
				w.record(r)
			}
		}
	}
}

// record records the revisions of one process. A restarted process counts as the same one: as
// soon as it has a revision, it must not be lower than the highest before the restart.
func (w *revisionWatch) record(r status.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range r.Sections {
		key := r.Name + " " + x.Service
		if x.Revision < w.highest[key] {
			w.decreases++
		}
		w.highest[key] = max(w.highest[key], x.Revision)
	}
}

// allStatusAddresses returns the status addresses of all processes of the plan, running or
// not.
func (s *system) allStatusAddresses() []string {
	var list []string
	for i := range s.plan.Balancers {
		list = append(list, s.plan.BalancerStatus(i+1).String())
	}
	for _, e := range s.plan.Endpoints() {
		list = append(list, s.plan.AgentStatus(e).String())
	}
	return list
}
