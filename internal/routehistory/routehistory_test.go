package routehistory

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// TestHistory records versions of a route, given as "version=N services...", and prints its former
// services, and whether the history covers the 60 s for which a flow may last. The version in force is
// read all the while, except during "pause". "other" is the history of another process: "fetch" records
// its latest version as that process returns it, "name" the former version that its digests name, or a given
// one.
func TestHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		own, other := NewHistory(time.Minute, 2500*time.Millisecond), NewHistory(time.Minute, 2500*time.Millisecond)
		var latest catalog.Routes
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h := lo.Ternary(d.HasArg("other"), other, own)
			switch d.Cmd {
			case "fetch":
				return fmt.Sprintf("new %t", own.RecordFrom(latest, other.Snapshot(now), now))
			case "name":
				version := other.FormerVersion(now)
				d.MaybeScanArgs(t, "version", &version)
				unknown, _ := own.RecordNamed(version, now)
				return fmt.Sprintf("unknown %t", unknown)
			case "pause":
				now = now.Add(lo.Must(time.ParseDuration(d.CmdArgs[0].Key)))
				other.Confirm(now)
				return ""
			case "routes":
				r := catalog.Routes{}
				d.ScanArgs(t, "version", &r.Version)
				for _, a := range d.CmdArgs[1:] {
					if a.Key == "other" {
						continue
					}
					if len(r.List) == 0 {
						r.List = []catalog.Route{{Address: address}}
					}
					r.List[0].Shares = append(r.List[0].Shares, catalog.Share{Service: a.Key, Weight: 1})
				}
				if h == other {
					latest = r
				}
				return fmt.Sprintf("new %t", h.Record(r, now))
			case "wait":
				now = now.Add(lo.Must(time.ParseDuration(d.CmdArgs[0].Key)))
				own.Confirm(now)
				other.Confirm(now)
				return ""
			case "former":
				former := h.Former(address, now)
				slices.Sort(former)
				return fmt.Sprintf("%s; complete %t", strings.Join(former, " "), h.Complete(now))
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}
