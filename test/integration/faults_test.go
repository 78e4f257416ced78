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

// setFaults changes the fabric: fabric [use=(n,...)] [silent=(n,...)] [loss=x]
// [duplicate=x] [delay=ms] [jitter=ms]. What is not named is without fault.
func (s *system) setFaults(d *datadriven.TestData) string {
	f := &s.fabric
	f.Silent, f.Loss, f.Duplicate, f.DelayMs, f.JitterMs = nil, 0, 0, 0, 0
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "use":
			f.Balancers = s.fronts(a.Vals)
		case "silent":
			f.Silent = s.fronts(a.Vals)
		}
	}
	d.MaybeScanArgs(s.t, "loss", &f.Loss)
	d.MaybeScanArgs(s.t, "duplicate", &f.Duplicate)
	d.MaybeScanArgs(s.t, "delay", &f.DelayMs)
	d.MaybeScanArgs(s.t, "jitter", &f.JitterMs)
	s.setFabric()
	return "ok"
}

func (s *system) fronts(numbers []string) []netip.AddrPort {
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

// platformFaults changes the platform: platform [down] [stale] [alternate] [delay=ms].
func (s *system) platformFaults(d *datadriven.TestData) string {
	f := platform.Faults{Down: d.HasArg("down"), Stale: d.HasArg("stale"), Alternate: d.HasArg("alternate")}
	d.MaybeScanArgs(s.t, "delay", &f.DelayMs)
	s.setPlatform(f)
	return "ok"
}

// setBehaviour changes a backend server: backend VM [speed=x] [draining]
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

// publish publishes the next revision of a section: publish SERVICE
// [revision=n] [owner=x] [without=(vm,...)] [address-of=SERVICE] [broken].
func (s *system) publish(d *datadriven.TestData) string {
	e := s.edited(d)
	if err := post(s.plan.Platform().String(), "/admin/publish", []entry.Entry{e}); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s revision %d", e.Key, e.Revision)
}

func (s *system) edited(d *datadriven.TestData) entry.Entry {
	name := d.CmdArgs[0].Key
	x := s.plan.Section(s.planned(name), s.nextRevision(entry.SectionPrefix+name))
	d.MaybeScanArgs(s.t, "revision", &x.Revision)
	d.MaybeScanArgs(s.t, "owner", &x.Owner)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "without":
			x.Endpoints = slices.DeleteFunc(x.Endpoints, func(e section.Endpoint) bool { return slices.Contains(a.Vals, e.VM) })
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

func (s *system) planned(name string) fleet.Service {
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

// restart starts processes that have exited again, empty: restart NAME...
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

// reuse kills an agent with its backend server, and starts those of another
// service on the same address, which the document does not list:
// reuse VM SERVICE.
func (s *system) reuse(d *datadriven.TestData) string {
	e := s.plan.Endpoint(d.CmdArgs[0].Key)
	service := s.planned(d.CmdArgs[1].Key)
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

// reusedJournal prints how many requests reached the backend server on the
// reused address.
func (s *system) reusedJournal(*datadriven.TestData) string {
	return fmt.Sprintf("requests: %d", len(s.journalOf(*s.reused)))
}

// mark remembers the present time: mark NAME.
func (s *system) mark(d *datadriven.TestData) string {
	s.marks[d.CmdArgs[0].Key] = time.Now()
	return "ok"
}

// lastNew checks when the last new request reached a backend server:
// last-new VM since=MARK within=seconds.
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
	late := latest.Sub(s.marks[mark]).Seconds()
	s.t.Logf("last new request at %s %.2f s after %s", d.CmdArgs[0].Key, late, mark)
	if late > within {
		return fmt.Sprintf("%.1f s late", late)
	}
	return "ok"
}
