package capacity

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/readers"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/routes"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/vm"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Sizes that the system is designed for.
const (
	targetSections  = 3600
	targetEndpoints = 12_000
	targetEntries   = targetSections + targetEndpoints + 2_100
)

// State measures the time and memory that a process needs for its configuration, for
// increasing numbers of sections, entries and endpoints.
func State() []Slope {
	check := Slope{Name: "section-check", Size: "sections", Cost: "ms to check and accept all", Target: targetSections}
	memory := Slope{Name: "ledger-memory", Size: "entries", Cost: "KB of heap", Target: targetEntries}
	table := Slope{Name: "route-table", Size: "endpoints", Cost: "ms to rebuild the table", Target: targetEndpoints}
	neighbours := Slope{Name: "fleet", Size: "entries", Cost: "ms to select readers and neighbours", Target: targetEntries}
	scan := Slope{Name: "change-scan", Size: "entries", Cost: "us to find what changed", Target: targetEntries}
	for _, sections := range []int{225, 450, 900, 1800, 3600} {
		entries := newEntries(sections)
		before := heapBytes()
		l := ledger.NewLedger(clockwork.NewRealClock())
		start := time.Now()
		for _, e := range entries {
			l.Offer(e)
		}
		acceptTime := time.Since(start)
		check.addPoint(float64(sections), milliseconds(acceptTime))
		memory.addPoint(float64(len(entries)), float64(heapBytes()-before)/1024)
		endpoints := float64(sections) * endpointsPerSection
		table.addPoint(endpoints, milliseconds(shortestRun(func() { routes.NewTable(l, rendezvous.NewRanker(nil)) })))
		neighbours.addPoint(float64(len(entries)), milliseconds(shortestRun(func() {
			f := readers.NewFleet(l)
			f.IsReader("service-0-0")
			f.Neighbours("service-0-0", 4)
		})))
		scan.addPoint(float64(len(entries)), 1000*milliseconds(shortestRun(func() { l.ChangedAfter(l.Index() - 1) })))
		runtime.KeepAlive(entries)
	}
	return []Slope{check, memory, table, neighbours, scan}
}

// Routing measures the time to choose the candidates for a new flow, for increasing
// numbers of endpoints of the service.
func Routing() []Slope {
	s := Slope{Name: "candidates", Size: "endpoints of a service", Cost: "us for a new flow", Target: 1024}
	for _, n := range []int{4, 16, 64, 256, 1024} {
		l := ledger.NewLedger(clockwork.NewRealClock())
		l.Offer(sectionEntry(0, n))
		t := routes.NewTable(l, rendezvous.NewRanker(nil))
		address := serviceAddress(0)
		const calls = 1000
		list := make([]netip.AddrPort, 6)
		d := shortestRun(func() {
			for range calls {
				t.Candidates(address, []byte("12345678"), list)
			}
		})
		s.addPoint(float64(n), 1000*milliseconds(d)/calls)
	}
	return []Slope{s}
}

// endpointsPerSection is the mean number of endpoints of a section in the size that
// the system is designed for.
const endpointsPerSection = float64(targetEndpoints) / targetSections

// newEntries returns the entries of the given number of sections and of the VMs of
// their endpoints.
func newEntries(sections int) []entry.Entry {
	var list []entry.Entry
	for i := range sections {
		n := int(endpointsPerSection*float64(i+1)) - int(endpointsPerSection*float64(i))
		list = append(list, sectionEntry(i, n))
		for j := range n {
			name := fmt.Sprintf("service-%d-%d", i, j)
			raw := fmt.Sprintf(`{"vm":%q,"revision":1,"role":"agent","address":"%s","zone":"zone-%d","state":"live"}`, name, agentAddress(i, j), i%7)
			list = append(list, entry.Entry{Key: entry.VMPrefix + name, Revision: 1, Raw: []byte(raw)})
		}
	}
	return list
}

func sectionEntry(i, endpoints int) entry.Entry {
	s := section.Section{
		Service: fmt.Sprintf("service-%d", i), Owner: "capacity", Revision: 1,
		Addresses: []netip.AddrPort{serviceAddress(i)}, Kinds: []request.Kind{request.Once},
	}
	for j := range endpoints {
		s.Endpoints = append(s.Endpoints, section.Endpoint{
			VM: fmt.Sprintf("service-%d-%d", i, j), Agent: agentAddress(i, j), Zone: "zone-1", Slots: 2, Connections: 2000, Weight: 1,
		})
	}
	return fleet.SectionEntry(s)
}

func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)}), 4433)
}

func agentAddress(i, j int) netip.AddrPort {
	n := i*8 + j
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), uint16(4600+j>>8))
}

func (s *Slope) addPoint(size, cost float64) {
	s.Points = append(s.Points, Point{Size: size, Cost: cost})
}

// shortestRun returns the duration of the shortest of 5 runs, which is the least
// affected by other load on the machine.
func shortestRun(f func()) time.Duration {
	best := time.Duration(1<<63 - 1)
	for range 5 {
		start := time.Now()
		f()
		best = min(best, time.Since(start))
	}
	return best
}

// heapBytes returns the size of the heap after a garbage collection, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// balancerEntry returns the VM entry of a node; the nodes of a cluster have the role of
// balancers.
func balancerEntry(v vm.VM) entry.Entry {
	raw := fmt.Sprintf(`{"vm":%q,"revision":%d,"role":"balancer","address":"%s","zone":%q,"state":%q}`, v.Name, v.Revision, v.Address, v.Zone, v.State)
	return entry.Entry{Key: entry.VMPrefix + v.Name, Revision: v.Revision, Raw: []byte(raw)}
}
