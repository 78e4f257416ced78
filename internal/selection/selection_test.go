package selection

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

const (
	testPort   = 7001
	testRetain = 60 * time.Second
	// testReadInterval is the interval between readings while a script waits.
	testReadInterval = 500 * time.Millisecond
)

// TestSelection runs scripts of lists, reports and pauses, and prints what is selected.
// "servers" reads a list, one "NUMBER [born=N] [zone=Z] [slots=N] [draining]
// [warmup=DURATION] [service=S]" on a line; server N has the address 10.0.0.N. "expired" adds
// such servers as expired now or, with age=DURATION, before. With "unread" no list is read before a command.
// "changed" prints the agents that were not covered by the latest
// "holders".
func TestSelection(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		now := start
		s := NewSelection("a", testPort, testRetain, testBounds(path), start)
		revision := uint64(0)
		var previous steer.Envelope
		var denied uint64
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "outage" && !d.HasArg("unread") {
				s.RecordRead(now, now)
			}
			switch d.Cmd {
			case "servers":
				revision++
				list := catalog.NewServers(position.Position{Revision: revision}, readServers(t, d))
				s.Update(list.WithEvacuations(readEvacuations(t, d, revision)), now)
				return ""
			case "evacuated":
				return strconv.FormatBool(s.Evacuated("pass"))
			case "expired":
				age := "0s"
				d.MaybeScanArgs(t, "age", &age)
				missing, err := time.ParseDuration(age)
				if err != nil {
					t.Fatal(err)
				}
				for _, v := range readServers(t, d) {
					s.Expire(v, now.Add(-missing), now)
				}
				return ""
			case "named":
				s.NameServices(lo.Map(d.CmdArgs, func(a datadriven.CmdArg, _ int) string { return a.Key }))
				return ""
			case "report":
				s.RecordReport(serverAddress(d.CmdArgs[0].Key), readLoad(t, d), now)
				return ""
			case "asked":
				s.RecordPing(serverAddress(d.CmdArgs[0].Key), now)
				return ""
			case "wait":
				wait, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				for ; wait > 0; wait -= testReadInterval {
					now = now.Add(min(wait, testReadInterval))
					s.RecordRead(now, now)
				}
				return ""
			case "outage":
				length, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(length)
				return ""
			case "used":
				s.RecordUse(serverAddress(d.CmdArgs[0].Key), now)
				return ""
			case "due":
				return due(t, d, s, now)
			case "choices":
				return choices(s, now)
			case "cutOff":
				return strconv.FormatBool(s.CutOff(now))
			case "lost":
				lost := lo.Map(lo.Keys(s.LostAgents(now)), func(a netip.AddrPort, _ int) string { return number(steer.Candidate{Agent: a}) })
				slices.Sort(lost)
				return strings.Join(lost, " ")
			case "spread":
				return spread(t, d, s, now)
			case "utilization":
				u := s.Utilization(now)
				return fmt.Sprintf("max %.2f, imbalance %.2f, reports %v old", u.Max, u.Imbalance, u.ReportAge)
			case "walk":
				return searchPath(t, d, s, &previous, now)
			case "holders":
				denied = s.changes
				return holders(s, now)
			case "changed":
				h := s.Holders(1, []string{"pass"}, d.HasArg("all"), denied, now)
				return strings.Join(lo.Map(h.Agents, func(a netip.AddrPort, _ int) string { return number(steer.Candidate{Agent: a}) }), " ")
			case "unsure":
				s.RecordUnsure(serverAddress(d.CmdArgs[0].Key))
				return ""
			case "walkZones":
				_ = searchPath(t, d, s, &previous, now)
				return strings.Join(lo.Map(previous.Candidates[:previous.Count], func(c steer.Candidate, _ int) string {
					return s.Agent(c.Agent).Server.Zone
				}), "")
			case "allFresh":
				return strconv.FormatBool(s.AllRecentlyStarted())
			case "stopped":
				var changes []string
				s.NotifyStopped(func(a Agent, stopped bool) {
					changes = append(changes, fmt.Sprintf("%s %t", number(steer.Candidate{Agent: a.Address}), stopped))
				})
				return fmt.Sprintf("%d stopped, changes: %s", s.AllStoppedServers(), strings.Join(changes, ", "))
			case "hopeless":
				var e steer.Envelope
				s.Choices(&e, 1, "pass", now)
				return strconv.FormatBool(s.Unavailable("pass", now))
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}

// testBounds returns the bounds of a script: half or twice the default if the name of its
// file says so.
func testBounds(path string) bounds.Bounds {
	b := bounds.Default()
	switch {
	case strings.HasSuffix(path, "HalvedBounds.txt"):
		b.Contact, b.Change, b.AddressReuse = b.Contact/2, b.Change/2, b.AddressReuse/2
	case strings.HasSuffix(path, "DoubledBounds.txt"):
		b.Contact, b.Change, b.AddressReuse = 2*b.Contact, 2*b.Change, 2*b.AddressReuse
	}
	return b
}

func serverAddress(number string) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%s:%d", number, testPort))
}

func number(c steer.Candidate) string {
	return strconv.Itoa(int(c.Agent.Addr().As4()[3]))
}

func readServers(t *testing.T, d *datadriven.TestData) []catalog.Server {
	var list []catalog.Server
	for i, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		v := catalog.Server{
			ID: fmt.Sprintf("i-%s-%d", words[0], i), Service: "pass", Zone: "a", Slots: 2, State: catalog.Ready,
			Address: serverAddress(words[0]).Addr(),
		}
		for _, w := range words[1:] {
			key, value, _ := strings.Cut(w, "=")
			switch key {
			case "born":
				v.Born, _ = strconv.ParseInt(value, 10, 64)
				v.ID = "i-" + words[0] + "-" + value
			case "zone":
				v.Zone = value
			case "slots":
				n, _ := strconv.Atoi(value)
				v.Slots = uint8(n)
			case "warmup":
				v.Warmup, _ = time.ParseDuration(value)
			case "draining":
				v.State = catalog.Draining
			case "service":
				v.Service = value
			default:
				t.Fatalf("unknown word %q", w)
			}
		}
		if v.Born == 0 {
			v.ID = "i-" + words[0]
		}
		list = append(list, v)
	}
	return list
}

// readEvacuations returns the set of the zones in evacuated=(Z, ...), read in the epoch=E; none if
// that is absent.
func readEvacuations(t *testing.T, d *datadriven.TestData, revision uint64) catalog.Evacuations {
	var at position.Position
	var zones []string
	if d.MaybeScanArgs(t, "epoch", &at.Epoch); at.Epoch > 0 {
		at.Revision = revision
	}
	d.MaybeScanArgs(t, "evacuated", &zones)
	e, _ := catalog.NewEvacuations(at, zones)
	return e
}

func readLoad(t *testing.T, d *datadriven.TestData) steer.Load {
	outstanding, flows, rate, service := 0, 0, 0, 20
	d.MaybeScanArgs(t, "outstanding", &outstanding)
	d.MaybeScanArgs(t, "flows", &flows)
	d.MaybeScanArgs(t, "rate", &rate)
	d.MaybeScanArgs(t, "serviceMillis", &service)
	failures := 0
	d.MaybeScanArgs(t, "failures", &failures)
	l := steer.Load{
		Failures:    float32(failures) / 100,
		Outstanding: uint16(outstanding), Flows: uint16(flows), RequestsPerSecond: float32(rate),
		ServiceTime: time.Duration(service) * time.Millisecond, TableComplete: d.HasArg("complete"),
	}
	name := ""
	if d.MaybeScanArgs(t, "service", &name); name != "" {
		l.Service = catalog.ServiceID(name)
	}
	stopped := 0
	d.MaybeScanArgs(t, "stopped", &stopped)
	l.StoppedServer = uint32(stopped)
	if d.HasArg("silent") {
		l.State = steer.Silent
	}
	if d.HasArg("leaving") {
		l.State = steer.Leaving
	}
	return l
}

// due prints how many agents are pinged in a round, or whether a given one is. With
// "answer" they all report immediately.
func due(t *testing.T, d *datadriven.TestData, s *Selection, now time.Time) string {
	list := s.DueForPing(now)
	for _, a := range list {
		s.RecordPing(a, now)
		if d.HasArg("answer") {
			s.RecordReport(a, steer.Load{}, now)
		}
	}
	one := ""
	if d.MaybeScanArgs(t, "server", &one); one != "" {
		return strconv.FormatBool(slices.Contains(list, serverAddress(one)))
	}
	return fmt.Sprintf("%d agents", len(list))
}

// choices prints how many agents of each zone are compared for a flow.
func choices(s *Selection, now time.Time) string {
	var e steer.Envelope
	s.Choices(&e, s.Hash(packet.Flow{CallerPort: 1}), "pass", now)
	zones := lo.CountValuesBy(s.scored, func(c scored) string { return c.agent.Server.Zone })
	keys := lo.Keys(zones)
	slices.Sort(keys)
	return strings.Join(lo.Map(keys, func(z string, _ int) string { return fmt.Sprintf("%s:%d", z, zones[z]) }), " ")
}

// spread places flows and prints how many are offered to each server first.
func spread(t *testing.T, d *datadriven.TestData, s *Selection, now time.Time) string {
	flows := 100
	d.MaybeScanArgs(t, "flows", &flows)
	counts := map[string]int{}
	for i := range flows {
		e := steer.Envelope{Class: steer.Class{TargetMillis: 100}}
		s.Choices(&e, s.Hash(packet.Flow{CallerPort: uint16(i)}), "pass", now)
		if e.Count == 0 {
			return "no server"
		}
		s.RecordPlacement(e.Candidates[0].Agent, now)
		counts[number(e.Candidates[0])]++
	}
	keys := lo.Keys(counts)
	slices.Sort(keys)
	return strings.Join(lo.Map(keys, func(k string, _ int) string { return fmt.Sprintf("%s:%d", k, counts[k]) }), " ")
}

// holders prints how many agents of the service are queried concurrently, and which of them are
// silent.
func holders(s *Selection, now time.Time) string {
	h := s.Holders(s.Hash(packet.Flow{CallerPort: 1}), []string{"pass"}, true, 0, now)
	queried := lo.CountBy(s.byService["pass"], func(a *Agent) bool { return slices.Contains(h.Agents, a.Address) })
	silent := lo.Map(h.Silent, func(c steer.Candidate, _ int) string { return number(c) })
	slices.Sort(silent)
	return fmt.Sprintf("%d agents; silent %s; hidden %t", queried, strings.Join(silent, " "), s.SilentMayHold(nil, true, now))
}

// searchPath prints the agents of a search path and those skipped, and whether the path visits
// every agent that may hold the flow. With asked=DURATION there was a search that long ago.
func searchPath(t *testing.T, d *datadriven.TestData, s *Selection, previous *steer.Envelope, now time.Time) string {
	attempt, previousAge := 0, ""
	var previousStart time.Time
	d.MaybeScanArgs(t, "attempt", &attempt)
	if d.MaybeScanArgs(t, "asked", &previousAge); previousAge != "" {
		ago, err := time.ParseDuration(previousAge)
		if err != nil {
			t.Fatal(err)
		}
		previousStart = now.Add(-ago)
	}
	e := steer.Envelope{Attempt: uint8(attempt)}
	if !previousStart.IsZero() {
		e.ListVersion = previous.ListVersion
	}
	skipped := s.SearchPath(&e, nil, s.Hash(packet.Flow{CallerPort: 1}), []string{"pass"}, s.PreviousSearch(previousStart, e.ListVersion, []string{"pass"}, now), now)
	*previous = e
	complete := !e.More && (!fansOut(e.Attempt) || len(skipped) == 0) && !s.SilentMayHold(nil, true, now)
	list := lo.Map(e.Candidates[:e.Count], func(c steer.Candidate, _ int) string { return number(c) })
	out := fmt.Sprintf("agents %s", strings.Join(list, " "))
	if len(list) > 12 {
		out = fmt.Sprintf("%d agents", len(list))
	}
	return fmt.Sprintf("%s; aside %s; complete %t, more %t", out,
		strings.Join(lo.Map(skipped, func(c steer.Candidate, _ int) string { return number(c) }), " "), complete, e.More)
}
