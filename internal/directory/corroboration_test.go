package directory

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// TestGapRestartsCorroboration guards against a balancer that takes its list for complete although the
// platform was unavailable again within 3 s of its first reading: entries that expired then, and
// that it has never read, return within 2 s. A list that was complete before a gap stays so.
func TestGapRestartsCorroboration(t *testing.T) {
	d, clock := newQuietDirectory(false)
	read := func(after time.Duration) {
		clock.Advance(after)
		d.applyServers(catalog.NewServers(position.Position{Epoch: 1, Revision: 7}, nil), 0, "platform")
		d.recordProvedNow()
	}
	expect := func(when string, want bool) {
		t.Helper()
		if got := d.Corroborated(); got != want {
			t.Errorf("%s: corroborated %t, want %t", when, got, want)
		}
	}
	readFor := func(span time.Duration) {
		for ; span > 0; span -= readInterval {
			read(readInterval)
		}
	}
	read(0)
	readFor(2100 * time.Millisecond)
	read(1400 * time.Millisecond)
	expect("3.5 s after the first reading, right after a gap", false)
	readFor(2100 * time.Millisecond)
	expect("2.1 s after the gap", false)
	readFor(1400 * time.Millisecond)
	expect("3.5 s after the gap", true)
	read(5 * time.Second)
	expect("after a gap in which the list was complete", true)
}

// TestServersMissingForLong guards against a balancer that resets the flows of servers which live, but do
// not reach the platform: it has started after their entries expired, and no other balancer names them.
func TestServersMissingForLong(t *testing.T) {
	d, clock := newQuietDirectory(false)
	list := func(servers ...catalog.Server) {
		d.applyServers(catalog.NewServers(position.Position{Epoch: 1, Revision: 7}, servers), 0, "platform")
	}
	server := func(id string, state catalog.State) catalog.Server {
		return catalog.Server{ID: id, Service: "pass", Zone: "a", State: state, Slots: 1, Address: netip.MustParseAddr("10.0.0.1")}
	}
	list(server("listed", catalog.Ready), server("missing", catalog.Ready), server("drained", catalog.Draining))
	for _, c := range []struct {
		after        time.Duration
		corroborated bool
		want         string
	}{
		{time.Second, true, "[drained missing]"},
		{30 * time.Second, false, "[missing]"},
		{0, true, "[]"},
		{31 * time.Second, false, "[]"},
	} {
		clock.Advance(c.after)
		list(server("listed", catalog.Ready))
		r, err := d.serveCatalog(t.Context(), nil, catalogParams{Corroborated: c.corroborated})
		if err != nil {
			t.Fatal(err)
		}
		named := lo.Map(r.Expired, func(e expiredEntry, _ int) string { return e.Server.ID })
		slices.Sort(named)
		if got := fmt.Sprint(named); got != c.want {
			t.Errorf("%v later, to a caller with a complete list %t: %s, want %s", c.after, c.corroborated, got, c.want)
		}
	}
}
