package packetsettings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// TestCheck checks the faults that are reported for settings.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check.txt", func(t *testing.T, d *datadriven.TestData) string {
		var faults []fault.Fault
		switch d.Cmd {
		case "balancer":
			_, faults = Parse[Balancer]([]byte(d.Input))
		case "agent":
			_, faults = Parse[Agent]([]byte(d.Input))
		default:
			d.Fatalf(t, "unknown role")
		}
		if len(faults) == 0 {
			return "no faults"
		}
		var out strings.Builder
		for _, f := range faults {
			_, _ = fmt.Fprintln(&out, f)
		}
		return out.String()
	})
}
