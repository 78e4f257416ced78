package directory

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestDigestsThatConfirmNothing guards against a balancer that does not read the platform because
// digests state recent readings, although it cannot fetch the newer routes of their sender, or
// the sender has been suspended and its reading is older than it states.
func TestDigestsThatConfirmNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := NewDirectory(Config{
		Self: netip.MustParseAddrPort("127.0.0.1:1"), PeerPort: 1, Bounds: bounds.Default(), Clock: clock,
		Changed: func(*catalog.Catalog, []Expired) {}, Log: eventlog.NewDirectLog(zerolog.Nop(), clock),
	})
	at := position.Position{Epoch: 1, Revision: 7}
	d.applyRoutes(catalog.Routes{Version: 4}, "platform")
	d.applyServers(catalog.NewServers(at, nil), 0, "platform")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name     string
		change   func(f *steer.Freshness)
		confirms bool
	}{
		{"sameCatalog", func(*steer.Freshness) {}, true},
		{"laterRevision", func(f *steer.Freshness) { f.Revision = 8 }, true},
		{"olderRoutes", func(f *steer.Freshness) { f.RoutesVersion = 3 }, true},
		{"newerRoutes", func(f *steer.Freshness) { f.RoutesVersion = 5 }, false},
		{"earlierRevision", func(f *steer.Freshness) { f.Revision = 6 }, false},
		{"earlierEpoch", func(f *steer.Freshness) { f.Epoch = 0 }, false},
	} {
		d.recordReading(clock.Now())
		clock.Advance(time.Second)
		digest := steer.Freshness{RoutesVersion: 4, Position: d.Catalog().Servers.Position, Sum: d.sum}
		c.change(&digest)
		var raw [steer.DigestMaxLen]byte
		n := steer.PutDigest(raw[:], digest, nil)
		d.HandleDigest(ctx, raw[:n], netip.MustParseAddrPort("127.0.0.2:1"))
		if age, _ := d.Age(); (age == 0) != c.confirms {
			t.Errorf("%s: the list is %v old after the digest, confirmed %t", c.name, age, c.confirms)
		}
	}
}
