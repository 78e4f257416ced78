package ondemand

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestReadings runs the scripts in testdata: "reads" prints how many readings begin within a time in
// which one is always requested, "requests" when a balancer requests one, and from which reader, if
// those in "silent" do not answer.
func TestReadings(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var text string
			d.ScanArgs(t, "for", &text)
			length, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			switch d.Cmd {
			case "reads":
				var r Reader
				n := 0
				for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
					if !now.Before(r.Due()) {
						r.Record(now)
						n++
					}
				}
				return fmt.Sprint(n)
			case "requests":
				readers, balancers, silent := 3, 0, -1
				d.ScanArgs(t, "balancers", &balancers)
				d.MaybeScanArgs(t, "silent", &silent)
				var q Requester
				var sent []string
				for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
					reader, number, ok := q.Next(readers, balancers, now)
					if !ok {
						continue
					}
					sent = append(sent, fmt.Sprintf("%v to %d", now.Sub(start), reader))
					if reader != silent {
						_, _ = q.Answered(number)
					}
				}
				return strings.Join(sent, ", ")
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}
