package documentcheck

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/finding"
)

// TestFindings guards against configurations that are sent although part of them could never
// take effect. The command force sets the document in force; against compares the input with
// it, and check does not compare. In both, PASS stands for the fields that no case changes.
func TestFindings(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var force []byte
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			raw := []byte(strings.ReplaceAll(d.Input, "PASS", `"service": "pass", "owner": "a", "kinds": ["once"]`))
			var list finding.List
			switch d.Cmd {
			case "force":
				force = raw
				return ""
			case "against":
				list = Against(force, raw)
			case "check":
				list = Check(raw)
			}
			return strings.Join(lo.Map(list, func(f finding.Finding, _ int) string { return f.String() }), "\n")
		})
	})
}
