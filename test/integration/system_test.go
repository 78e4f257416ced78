package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/fabric"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/lab/load"
	"github.com/bergamotgw/bergamotgw/internal/lab/platform"
	"github.com/bergamotgw/bergamotgw/internal/status"
)

// startTimeout is the time limit for the start and the exit of a process, and for every other
// condition that a test waits for.
const startTimeout = 20 * time.Second

// system is a system under test that runs as child processes.
type system struct {
	t         *testing.T
	plan      fleet.Plan
	processes map[string]*process
	fabric    fabric.Faults
	// running is the load that runs in the background; nil if there is none.
	running *runningLoad
	// outcomes holds the outcomes of all loads that have ended.
	outcomes []load.Outcome
	// revisions holds the last published revision of each key.
	revisions map[string]uint64
	// reused is the endpoint at a reused address; nil if there is none.
	reused *fleet.Endpoint
	// marks holds the times that the command mark stored, by name.
	marks map[string]time.Time
	// watch counts decreasing revisions; nil before its start.
	watch *revisionWatch
}

// process is a child process.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer
	exited  chan struct{}
}

type runningLoad struct {
	load   *load.Load
	cancel context.CancelFunc
	result load.Result
	err    error
	done   sync.WaitGroup
}

func newSystem(t *testing.T) *system {
	return &system{t: t, processes: make(map[string]*process), revisions: make(map[string]uint64), marks: make(map[string]time.Time)}
}

// stop kills every process that is left. It logs the end of their logs if the test has failed.
func (s *system) stop() {
	if s.running != nil {
		s.running.cancel()
		s.running.done.Wait()
	}
	for name, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", name, tail(p.log.String()))
		}
	}
}

func tail(text string) string {
	const limit = 3000
	if len(text) > limit {
		return "..." + text[len(text)-limit:]
	}
	return text
}

// spawn starts a child process that runs one of the programs.
func (s *system) spawn(name, program string, args ...string) {
	s.t.Helper()
	p := &process{command: exec.Command(os.Args[0], args...), log: &bytes.Buffer{}, exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), programVariable+"="+program)
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		s.t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	s.processes[name] = p
}

// start starts the stand-ins and all processes of the plan.
func (s *system) start() {
	s.plan.Dir = s.t.TempDir()
	s.plan.Octet = uint8(10 + os.Getpid()%200)
	if err := s.plan.Write(); err != nil {
		s.t.Fatal(err)
	}
	s.startPlatform()
	s.spawn("fabric", "bergamotlab", "fabric", "--inner", s.plan.Fabric().String(), "--admin", s.plan.FabricAdmin().String(),
		"--addresses", joinStrings(s.plan.Addresses()), "--balancers", joinStrings(s.plan.Fronts()))
	s.fabric.Balancers = s.plan.Fronts()
	for _, e := range s.plan.Endpoints() {
		s.startBackend(e)
		s.startAgent(e)
	}
	for i := range s.plan.Balancers {
		s.startBalancer(i + 1)
	}
	s.eventually("every process has the sections of all services", func() bool { return s.allHaveSections(len(s.plan.Services)) })
}

func (s *system) startPlatform() {
	s.spawn("platform", "bergamotlab", "platform", "--listen", s.plan.Platform().String())
	s.eventually("the platform accepts entries", func() bool {
		return post(s.plan.Platform().String(), "/admin/publish", s.plan.Entries()) == nil
	})
}

func (s *system) startBackend(e fleet.Endpoint) {
	s.spawn("backend-"+e.VM, "bergamotlab", "backend", "--vm", e.VM, "--service", e.Service.Name,
		"--listen", s.plan.Backend(e).String(), "--admin", s.plan.BackendAdmin(e).String(), "--slots", fmt.Sprint(e.Service.Slots), "--journal", s.journalFile(e))
}

func (s *system) startAgent(e fleet.Endpoint) {
	s.spawn(e.VM, "bergamotgw", "agent", "--settings", filepath.Join(s.plan.Dir, e.VM+".json"))
}

func (s *system) startBalancer(n int) {
	name := fmt.Sprintf("balancer-%d", n)
	s.spawn(name, "bergamotgw", "balancer", "--settings", filepath.Join(s.plan.Dir, name+".json"))
}

// allHaveSections reports whether every running process has the given number of sections and
// at least one live member.
func (s *system) allHaveSections(sections int) bool {
	for _, address := range s.statusAddresses() {
		r, err := get[status.Report](address, "/status")
		if err != nil || len(r.Sections) != sections || r.Members.Live == 0 {
			return false
		}
	}
	return true
}

// statusAddresses returns the status addresses of all running processes, by name.
func (s *system) statusAddresses() map[string]string {
	list := make(map[string]string)
	for i := range s.plan.Balancers {
		if name := fmt.Sprintf("balancer-%d", i+1); s.isRunning(name) {
			list[name] = s.plan.BalancerStatus(i + 1).String()
		}
	}
	for _, e := range s.plan.Endpoints() {
		if s.isRunning(e.VM) {
			list[e.VM] = s.plan.AgentStatus(e).String()
		}
	}
	return list
}

func (s *system) isRunning(name string) bool {
	p, ok := s.processes[name]
	if !ok {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (s *system) journalFile(e fleet.Endpoint) string {
	return filepath.Join(s.plan.Dir, e.VM+".journal")
}

// journalOf returns the requests that reached a backend server, across its restarts.
func (s *system) journalOf(e fleet.Endpoint) []backend.Record {
	f, err := os.Open(s.journalFile(e))
	if err != nil {
		s.t.Fatalf("read the journal of %s: %v", e.VM, err)
	}
	defer func() { _ = f.Close() }()
	var records []backend.Record
	for d := json.NewDecoder(f); d.More(); {
		var r backend.Record
		if err := d.Decode(&r); err != nil {
			s.t.Fatalf("read the journal of %s: %v", e.VM, err)
		}
		records = append(records, r)
	}
	return records
}

func (s *system) sendFabricFaults() {
	if err := post(s.plan.FabricAdmin().String(), "/admin/faults", s.fabric); err != nil {
		s.t.Fatalf("set the faults of the fabric: %v", err)
	}
}

func (s *system) sendPlatformFaults(f platform.Faults) {
	if err := post(s.plan.Platform().String(), "/admin/faults", f); err != nil {
		s.t.Fatalf("set the faults of the platform: %v", err)
	}
}

func (s *system) eventually(what string, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("condition not met within %v: %s", startTimeout, what)
}

var client = &http.Client{Timeout: 5 * time.Second}

func get[T any](address, path string) (T, error) {
	var value T
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return value, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&value)
	return value, err
}

func post(address, path string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("POST %s: %s", path, resp.Status)
	}
	return nil
}

func joinStrings[T fmt.Stringer](list []T) string {
	texts := make([]string, len(list))
	for i, x := range list {
		texts[i] = x.String()
	}
	return strings.Join(texts, ",")
}
