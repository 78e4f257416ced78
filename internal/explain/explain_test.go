package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestHistories checks the printed history of flows and requests in sample logs.
func TestHistories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var lines []Line
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "logs":
				var err error
				if lines, err = Read(strings.NewReader(d.Input)); err != nil {
					t.Fatal(err)
				}
				return ""
			case "explain":
				var out strings.Builder
				if err := NewHistory(lines, d.CmdArgs[0].Key).Write(&out); err != nil {
					t.Fatal(err)
				}
				return out.String()
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}
