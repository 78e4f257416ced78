package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestDigestsThatWaited guards against a balancer that never reads the platform because digests seem to
// state recent readings: they have waited in the sockets of balancers that stood still, which take old
// readings for new ones and state them in digests of their own.
func TestDigestsThatWaited(t *testing.T) {
	d, clock := newQuietDirectory(false)
	d.applyRoutes(catalog.Routes{Version: 1}, "platform")
	d.applyServers(catalog.NewServers(position.Position{Epoch: 1, Revision: 7}, nil), 0, "platform")
	waited := steer.Freshness{RoutesVersion: 1, Position: d.Catalog().Servers.Position, Sum: d.sum, Age: 100 * time.Millisecond}
	due := time.Duration(0)
	for ; due < 12*time.Second && d.untilDue() > 0; due += digestInterval {
		clock.Advance(digestInterval)
		var raw [steer.DigestMaxLen]byte
		n := steer.PutDigest(raw[:], waited, nil)
		d.HandleDigest(t.Context(), raw[:n], netip.MustParseAddrPort("127.0.0.1:1"))
	}
	if limit := d.config.Bounds.MaxReadingAge(); due > limit {
		t.Errorf("the platform is not read for %v, want at most %v", due, limit)
	}
}

// TestProofOfReading guards against a proof that is younger than the reading, whatever time a digest
// waits, and against a digest of a former process that seems to answer this one.
func TestProofOfReading(t *testing.T) {
	reader, clock := newQuietDirectory(false)
	d, _ := newQuietDirectory(false)
	d.config.Clock, reader.config.Self = clock, netip.MustParseAddrPort("127.0.0.1:1")
	for _, o := range []*Directory{reader, d} {
		o.applyRoutes(catalog.Routes{Version: 1}, "platform")
		o.applyServers(catalog.NewServers(position.Position{Epoch: 1, Revision: 7}, nil), 0, "platform")
	}
	var toReader, toOther []byte
	reader.config.Send = func(b []byte, _ netip.AddrPort) { toOther = append([]byte(nil), b...) }
	d.config.Send = func(b []byte, _ netip.AddrPort) { toReader = append([]byte(nil), b...) }
	clock.Advance(time.Second)
	d.sendDigestTo(reader.config.Self)
	reader.HandleDigest(t.Context(), toReader, d.config.Self)
	clock.Advance(200 * time.Millisecond)
	reader.recordProvedNow()
	clock.Advance(50 * time.Millisecond)
	reader.sendDigestTo(d.config.Self)
	for _, waits := range []time.Duration{0, 3500 * time.Millisecond} {
		clock.Advance(waits)
		d.HandleDigest(t.Context(), toOther, reader.config.Self)
		// The digest returns a number that was sent 200 ms before the reading, and the reading was 50 ms old.
		if age, ok := d.ProvedAge(); !ok || age != 300*time.Millisecond+waits {
			t.Errorf("digest that waited %v: proved age %v, %t", waits, age, ok)
		}
	}

	successor, _ := newQuietDirectory(false)
	successor.config.Clock = clock
	successor.applyRoutes(catalog.Routes{Version: 1}, "platform")
	successor.applyServers(catalog.NewServers(position.Position{Epoch: 1, Revision: 7}, nil), 0, "platform")
	successor.HandleDigest(t.Context(), toOther, reader.config.Self)
	if age, ok := successor.ProvedAge(); ok {
		t.Errorf("a digest to a former process proves a reading %v ago", age)
	}
}
