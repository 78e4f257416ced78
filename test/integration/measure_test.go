package integration

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
)

var measure = flag.Bool("measure", false, "run the scripts in the folder measure, which take long")

// TestMeasure runs the scripts in the folder measure, which log what they measure.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	datadriven.Walk(t, "measure", func(t *testing.T, path string) {
		s := newSystem(t)
		defer s.stop()
		datadriven.RunTest(t, path, s.command)
	})
}

// usage logs the memory and the processor time of processes: usage NAME...
func (s *system) usage(d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		pid := s.processes[a.Key].command.Process.Pid
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			s.t.Fatal(err)
		}
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			s.t.Fatal(err)
		}
		fields := strings.Fields(string(stat))
		for _, line := range strings.Split(string(status), "\n") {
			if strings.HasPrefix(line, "VmRSS") {
				s.t.Logf("%s: %s, user %s system %s ticks at %s", a.Key, line, fields[13], fields[14], time.Now().Format("05.000"))
			}
		}
	}
	return "ok"
}

// stats logs the numbers of requests and sessions of all backend servers.
func (s *system) stats(*datadriven.TestData) string {
	for _, e := range s.plan.Endpoints() {
		x, err := get[backend.Stats](s.plan.BackendAdmin(e).String(), "/stats")
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Logf("%s: %d requests, %d sessions", x.VM, x.Requests, x.Sessions)
	}
	return "ok"
}
