package paths

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
)

// TestSelect runs a script: heard CALLER VIA records a datagram, select CALLER prints the
// balancer for an answer, advance ms=N moves the clock. Callers and balancers are port numbers.
func TestSelect(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := NewPaths(clock, time.Minute)
	address := func(port string) netip.AddrPort { return netip.MustParseAddrPort("10.0.0.1:" + port) }
	datadriven.RunTest(t, "testdata/select.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "heard":
			p.Record(address(d.CmdArgs[0].Key), Path{Via: address(d.CmdArgs[1].Key)})
		case "select":
			path, ok := p.Select(address(d.CmdArgs[0].Key))
			if !ok {
				return "unknown"
			}
			return path.Via.String()[len("10.0.0.1:"):]
		case "advance":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			clock.Advance(time.Duration(ms) * time.Millisecond)
		}
		return "ok"
	})
}
