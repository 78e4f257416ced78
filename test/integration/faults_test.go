package integration

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/lab/platform"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/vm"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// setFabricFaults sets the balancers in use and the faults of the fabric: fabric [use=(n,...)]
// [silent=(n,...)] [loss=share] [duplicate=share] [delay=ms] [jitter=ms]. It clears the faults
// that are not named; the balancers in use stay unless they are named.
func (s *system) setFabricFaults(d *datadriven.TestData) string {
	f := &s.fabric
	f.Silent, f.Loss, f.Duplicate, f.DelayMs, f.JitterMs = nil, 0, 0, 0, 0
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "use":
			f.Balancers = s.frontAddresses(a.Vals)
		case "silent":
			f.Silent = s.frontAddresses(a.Vals)
		}
	}
	d.MaybeScanArgs(s.t, "loss", &f.Loss)
	d.MaybeScanArgs(s.t, "duplicate", &f.Duplicate)
	d.MaybeScanArgs(s.t, "delay", &f.DelayMs)
	d.MaybeScanArgs(s.t, "jitter", &f.JitterMs)
	s.sendFabricFaults()
	return "ok"
}

func (s *system) frontAddresses(numbers []string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, text := range numbers {
		var n int
		if _, err := fmt.Sscan(text, &n); err != nil {
			s.t.Fatal(err)
		}
		list = append(list, s.plan.Front(n))
	}
	return list
}

// setPlatformFaults sets the faults of the platform: platform [down] [stale] [alternate]
// [delay=ms]. It clears the faults that are not named. restore=N returns the platform from a
// backup that lacks the latest N entries.
func (s *system) setPlatformFaults(d *datadriven.TestData) string {
	f := platform.Faults{Down: d.HasArg("down"), Stale: d.HasArg("stale"), Alternate: d.HasArg("alternate")}
	d.MaybeScanArgs(s.t, "delay", &f.DelayMs)
	d.MaybeScanArgs(s.t, "restore", &f.Restore)
	s.sendPlatformFaults(f)
	return "ok"
}

// setBehaviour sets the behaviour of a backend server: backend VM [speed=x] [draining]
// [unhealthy] [stall=ms] [lag=ms].
func (s *system) setBehaviour(d *datadriven.TestData) string {
	b := backend.Behaviour{Draining: d.HasArg("draining"), Unhealthy: d.HasArg("unhealthy")}
	d.MaybeScanArgs(s.t, "speed", &b.Speed)
	d.MaybeScanArgs(s.t, "stall", &b.StallMs)
	d.MaybeScanArgs(s.t, "lag", &b.LagMs)
	e := s.plan.Endpoint(d.CmdArgs[0].Key)
	if err := post(s.plan.BackendAdmin(e).String(), "/admin/behaviour", b); err != nil {
		s.t.Fatal(err)
	}
	return "ok"
}

// publish publishes the next revision of a section, or the stated one: publish SERVICE
// [revision=n] [owner=x] [without=(vm,...)] [evacuate=(zone,...)] [address-of=SERVICE]
// [address=SERVICE] [broken].
// The argument address-of adds the address of another service, address takes it instead of
// the own one, and broken misspells a field.
func (s *system) publish(d *datadriven.TestData) string {
	e := s.editedSection(d)
	if err := post(s.plan.Platform().String(), "/admin/publish", []entry.Entry{e}); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s revision %d", e.Key, e.Revision)
}

func (s *system) editedSection(d *datadriven.TestData) entry.Entry {
	name := d.CmdArgs[0].Key
	x := s.plan.Section(s.plannedService(name), s.nextRevision(entry.SectionPrefix+name))
	d.MaybeScanArgs(s.t, "revision", &x.Revision)
	d.MaybeScanArgs(s.t, "owner", &x.Owner)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "without":
			x.Endpoints = slices.DeleteFunc(x.Endpoints, func(e section.Endpoint) bool { return slices.Contains(a.Vals, e.VM) })
		case "evacuate":
			x.Evacuate = a.Vals
		case "address-of":
			x.Addresses = append(x.Addresses, s.plan.Address(a.Vals[0]))
		case "address":
			x.Addresses = []netip.AddrPort{s.plan.Address(a.Vals[0])}
		}
	}
	e := fleet.SectionEntry(x)
	if d.HasArg("broken") {
		e.Raw = []byte(strings.Replace(string(e.Raw), `"slots"`, `"slotz"`, 1))
	}
	return e
}

func (s *system) plannedService(name string) fleet.Service {
	for _, x := range s.plan.Services {
		if x.Name == name {
			return x
		}
	}
	s.t.Fatalf("unknown service %q", name)
	return fleet.Service{}
}

func (s *system) nextRevision(key string) uint64 {
	s.revisions[key] = max(s.revisions[key], 1) + 1
	return s.revisions[key]
}

// vm publishes the state of a VM: vm NAME live|leaving|gone.
func (s *system) vm(d *datadriven.TestData) string {
	name, state := d.CmdArgs[0].Key, vm.State(d.CmdArgs[1].Key)
	revision := s.nextRevision(entry.VMPrefix + name)
	var e entry.Entry
	var n int
	if _, err := fmt.Sscanf(name, "balancer-%d", &n); err == nil {
		e = s.plan.BalancerVM(n, revision, state)
	} else {
		e = s.plan.AgentVM(s.plan.Endpoint(name), revision, state)
	}
	if err := post(s.plan.Platform().String(), "/admin/publish", []entry.Entry{e}); err != nil {
		s.t.Fatal(err)
	}
	return "ok"
}

// restart waits until processes have exited and starts them again, without the state that they
// had: restart NAME...
func (s *system) restart(d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		<-s.processes[a.Key].exited
		var n int
		switch _, err := fmt.Sscanf(a.Key, "balancer-%d", &n); {
		case err == nil:
			s.startBalancer(n)
		case strings.HasPrefix(a.Key, "backend-"):
			s.startBackend(s.plan.Endpoint(strings.TrimPrefix(a.Key, "backend-")))
		default:
			s.startAgent(s.plan.Endpoint(a.Key))
		}
	}
	return "ok"
}

// reuse kills an agent and its backend server, and starts an agent and a backend server of
// another service at the same address, without publishing them: reuse VM SERVICE.
func (s *system) reuse(d *datadriven.TestData) string {
	e := s.plan.Endpoint(d.CmdArgs[0].Key)
	service := s.plannedService(d.CmdArgs[1].Key)
	for _, name := range []string{e.VM, "backend-" + e.VM} {
		_ = s.processes[name].command.Process.Kill()
		<-s.processes[name].exited
	}
	other := e
	other.VM, other.Service = "reused", service
	if err := s.plan.WriteAgentSettings(other); err != nil {
		s.t.Fatal(err)
	}
	s.startBackend(other)
	s.startAgent(other)
	s.reused = &other
	return "ok"
}

// reusedJournal prints the number of requests that reached the backend server at the reused
// address.
func (s *system) reusedJournal(*datadriven.TestData) string {
	return fmt.Sprintf("requests: %d", len(s.journalOf(*s.reused)))
}

// mark stores the current time under a name: mark NAME.
func (s *system) mark(d *datadriven.TestData) string {
	s.marks[d.CmdArgs[0].Key] = time.Now()
	return "ok"
}

// lastNew checks that the last request that isn't of a session reached a backend server at
// most the given time after a mark, and with some after it: last-new VM since=MARK
// within=seconds [some].
func (s *system) lastNew(d *datadriven.TestData) string {
	var mark string
	var within float64
	d.ScanArgs(s.t, "since", &mark)
	d.ScanArgs(s.t, "within", &within)
	latest := time.Time{}
	for _, r := range s.journalOf(s.plan.Endpoint(d.CmdArgs[0].Key)) {
		if at := time.UnixMicro(r.UnixMicros); at.After(latest) && r.Kind != string(request.Session) {
			latest = at
		}
	}
	delay := latest.Sub(s.marks[mark]).Seconds()
	s.t.Logf("last new request at %s %.2f s after %s", d.CmdArgs[0].Key, delay, mark)
	if delay > within {
		return fmt.Sprintf("%.1f s late", delay)
	}
	if d.HasArg("some") && delay <= 0 {
		return "none"
	}
	return "ok"
}
