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
// services, and whether the history covers the 60 s for which a flow may last.
func TestHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	h := NewHistory(time.Minute)
	datadriven.RunTest(t, "testdata/history.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "routes":
			r := catalog.Routes{}
			d.ScanArgs(t, "version", &r.Version)
			for _, a := range d.CmdArgs[1:] {
				if len(r.List) == 0 {
					r.List = []catalog.Route{{Address: address}}
				}
				r.List[0].Shares = append(r.List[0].Shares, catalog.Share{Service: a.Key, Weight: 1})
			}
			return fmt.Sprintf("new %t", h.Record(r, now))
		case "wait":
			now = now.Add(lo.Must(time.ParseDuration(d.CmdArgs[0].Key)))
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
}
