package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// TestZones runs the scripts in testdata. The command read passes a set that was read at a
// position to Update; each command prints the evacuated zones afterwards.
func TestZones(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var z Zones
		start := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var text string
			d.ScanArgs(t, "at", &text)
			elapsed, err := time.ParseDuration(text)
			if err != nil {
				t.Fatal(err)
			}
			now := start.Add(elapsed)
			if d.Cmd == "read" {
				var at position.Position
				var zones []string
				d.ScanArgs(t, "position", &at.Epoch, &at.Revision)
				if d.HasArg("zones") {
					d.ScanArgs(t, "zones", &zones)
				}
				set, _ := catalog.NewEvacuations(at, zones)
				z.Update(set, now)
			}
			all := z.All(now)
			for _, zone := range all {
				if !z.Has(zone, now) {
					t.Errorf("%s is not evacuated", zone)
				}
			}
			return fmt.Sprint(all)
		})
	})
}
