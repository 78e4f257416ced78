package completeness

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTable guards against packets that are denied by an agent whose server holds their flow, and
// against queries to servers that cannot hold it. Times are those of the VM's time of day in
// milliseconds: "process" starts an agent, "down" records that no server runs, and "server"
// passes a statement of a balancer that arrives at the given time. With "steady" the agent notices
// before how long it has run by the steady clock. Each prints the reason why the table is complete.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var table *Table
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, born int64
			d.ScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "born", &born)
			now := time.UnixMilli(at)
			if steady := int64(0); d.MaybeScanArgs(t, "steady", &steady) {
				table.RecordElapsed(now.Sub(table.ComparedFrom()), time.Duration(steady)*time.Millisecond, now)
			}
			switch d.Cmd {
			case "process":
				table = NewTable(now, time.Minute)
			case "down":
				table.RecordServerDown()
			case "server":
				table.RecordServer(Server{Born: born, CommonStart: d.HasArg("commonStart")}, now)
			case "wait":
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			if table.Reason(now) == None {
				return "incomplete"
			}
			return string(table.Reason(now))
		})
	})
}
