package directory

import (
	"context"
	"encoding/binary"
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
		Send: func([]byte, netip.AddrPort) {},
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
		d.mu.Lock()
		d.advanceReading(clock.Now())
		d.mu.Unlock()
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

// TestOlderProgramsConfirmNothing guards against a balancer that takes over the list of a program
// which does not know epochs, and never reads the platform itself: that program's readings confirm
// the list, also after the platform has returned from a backup.
func TestOlderProgramsConfirmNothing(t *testing.T) {
	for _, statesEpoch := range []bool{true, false} {
		d, clock := newQuietDirectory(false)
		d.applyRoutes(catalog.Routes{Version: 1}, "platform")
		d.applyServers(catalog.NewServers(position.Position{Revision: 7}, nil), 0, "platform")
		clock.Advance(time.Second)
		var raw [steer.DigestMaxLen]byte
		n := steer.PutDigest(raw[:], d.freshness(), nil)
		if !statesEpoch {
			n -= epochLen
		}
		from := netip.MustParseAddrPort("127.0.0.1:1")
		binary.BigEndian.PutUint32(raw[ageOffset:], 0)
		d.HandleDigest(t.Context(), raw[:n], from)
		age, _ := d.Age()
		if rank, _ := d.rank(member.reads); (age == 0) != statesEpoch || (rank == 1) != statesEpoch {
			t.Errorf("epoch stated %t: the list is %v old, rank %d after the sender's", statesEpoch, age, rank)
		}
	}
}

// TestAgeOfAppliedList guards against a list that counts as read in the future, after which a
// balancer neither reads nor fetches: another directory has the list in force, but has not
// recorded when it was read, or states an age out of bounds.
func TestAgeOfAppliedList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	passing, passed := make(chan struct{}), make(chan struct{})
	newDirectory := func(changed func(*catalog.Catalog, []Expired)) *Directory {
		return NewDirectory(Config{
			Send: func([]byte, netip.AddrPort) {},
			Self: netip.MustParseAddrPort("127.0.0.1:1"), PeerPort: 1, Bounds: bounds.Default(), Clock: clock,
			Changed: changed, Log: eventlog.NewDirectLog(zerolog.Nop(), clock),
		})
	}
	d := newDirectory(func(*catalog.Catalog, []Expired) {
		passing <- struct{}{}
		<-passed
	})
	list := catalog.NewServers(position.Position{Epoch: 1, Revision: 7}, nil)
	go d.applyServers(list, 0, "platform")
	<-passing
	if at := d.ReadAt(); !at.IsZero() {
		t.Errorf("the list counts as read at %v before it has reached the data plane", at)
	}
	r, err := d.serveCatalog(context.Background(), nil, catalogParams{})
	if err != nil || r.Servers == nil || r.AgeMillis != 0 {
		t.Errorf("a list that was just read is served as %d ms old, error %v", r.AgeMillis, err)
	}
	close(passed)

	for _, age := range []int64{-1, -1 << 62, 9_223_372_036_854, 1<<63 - 1} {
		d := newDirectory(func(*catalog.Catalog, []Expired) {})
		requestedAt := clock.Now()
		clock.Advance(time.Millisecond)
		d.applyResult(catalogResult{Servers: &list, AgeMillis: age}, d.Catalog(), requestedAt, "other")
		d.addExpired([]expiredEntry{{Server: catalog.Server{ID: "a", Service: "pass", Zone: "a", State: catalog.Ready, Slots: 1, Address: netip.MustParseAddr("10.0.0.1")}, MissingMillis: age}})
		if at := d.ReadAt(); at.After(requestedAt) || at.IsZero() {
			t.Errorf("stated age %d ms: read at %v, requested at %v", age, at, requestedAt)
		}
		if since := d.expired["a"].Since; since.After(clock.Now()) || since.IsZero() {
			t.Errorf("stated age %d ms: missing since %v, now %v", age, since, clock.Now())
		}
	}
}
