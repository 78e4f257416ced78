package absence

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestDoubt prints the doubt that remains with the given evidence. "readAfter" is the time from
// the first packet of the flow to the reading of the list, "allDenied", "confirmed", "silent"
// and "interrupted" set the fields of the evidence.
func TestDoubt(t *testing.T) {
	datadriven.RunTest(t, "testdata/doubts.txt", func(t *testing.T, d *datadriven.TestData) string {
		e := Evidence{
			OpenSince: time.Unix(1000, 0), AllDenied: d.HasArg("allDenied"), ListConfirmed: d.HasArg("confirmed"),
			SilentMayHold: d.HasArg("silent"), Interrupted: d.HasArg("interrupted"),
		}
		after := ""
		if d.MaybeScanArgs(t, "readAfter", &after); after != "" {
			wait, err := time.ParseDuration(strings.TrimPrefix(after, "+"))
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			e.ListReadSince = e.OpenSince.Add(wait)
		}
		if e.Doubt() == None {
			return "no server holds the flow"
		}
		return string(e.Doubt())
	})
}
