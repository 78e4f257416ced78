package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// TestCheck prints the faults of settings files. In their text, DIR is replaced by a directory
// with valid and invalid key files.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"good.key":  "00112233445566778899aabbccddeeff",
		"reset.key": strings.Repeat("00112233445566778899aabbccddeeff", 2),
		"weak.key":  strings.Repeat("00", 16),
		"short.key": "0011",
		"text.key":  "not hexadecimal",
		"cert.pem":  "any",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	datadriven.RunTest(t, "testdata/check.txt", func(t *testing.T, d *datadriven.TestData) string {
		raw := []byte(strings.ReplaceAll(d.Input, "DIR", dir))
		var faults []fault.Fault
		switch d.Cmd {
		case "balancer":
			_, faults = Parse[Balancer](raw)
		case "agent":
			_, faults = Parse[Agent](raw)
		case "connect":
			_, faults = Parse[OnRamp](raw)
		default:
			d.Fatalf(t, "unknown role")
		}
		if len(faults) == 0 {
			return "no faults"
		}
		var out strings.Builder
		for _, f := range faults {
			_, _ = fmt.Fprintln(&out, strings.ReplaceAll(f.String(), dir, "DIR"))
		}
		return out.String()
	})
}
