package routes

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
)

// TestCandidates prints which agents get 1,000 new flows to 10.0.0.9:4433 while the section of
// the input is in force.
func TestCandidates(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			l := ledger.NewLedger(clockwork.NewFakeClock())
			if o := l.Offer(entry.Entry{Key: entry.SectionPrefix + "pass", Revision: 1, Raw: []byte(d.Input)}); o != ledger.Accepted {
				return fmt.Sprint(l.Refusals()[0].Faults)
			}
			table := NewTable(l, rendezvous.NewRanker(nil))
			first, offered, refused := make(map[string]int), make(map[string]int), 0
			for i := range 1000 {
				var list [6]netip.AddrPort
				_, n, _ := table.Candidates(netip.MustParseAddrPort("10.0.0.9:4433"), []byte(fmt.Sprint(i)), list[:])
				for j, a := range list[:n] {
					offered[a.String()]++
					if j == 0 {
						first[a.String()]++
					}
				}
				if n == 0 {
					refused++
				}
			}
			return fmt.Sprintf("first %v\noffered %v\nrefused %d, evacuated endpoints %d\n", first, offered, refused, table.Evacuated())
		})
	})
}
