package ledger

import (
	"flag"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/bergamotgw/bergamotgw/internal/entry"
)

// init makes runs repeatable; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// TestLedgersConverge offers the same entries to three ledgers in different orders and
// with repetitions. The revision in force of a key must never decrease, and all ledgers
// must have the same content at the end.
func TestLedgersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 12).Draw(t, "published")
		var roots []uint64
		for i := range 3 {
			l := NewLedger(clockwork.NewFakeClock())
			order := rapid.Permutation(published).Draw(t, fmt.Sprintf("order %d", i))
			again := rapid.SliceOf(rapid.SampledFrom(published)).Draw(t, fmt.Sprintf("again %d", i))
			offerAll(t, l, append(order, again...))
			roots = append(roots, l.Root())
		}
		if roots[0] != roots[1] || roots[1] != roots[2] {
			t.Fatalf("ledgers differ: %x", roots)
		}
	})
}

func offerAll(t *rapid.T, l *Ledger, entries []entry.Entry) {
	highest := make(map[string]entry.Ref)
	for _, e := range entries {
		outcome := l.Offer(e)
		now, ok := l.Get(e.Key)
		if !ok {
			continue
		}
		if before, had := highest[e.Key]; had && before.Supersedes(now.Ref()) {
			t.Fatalf("%s went back from revision %d to %d", e.Key, before.Revision, now.Revision)
		}
		if outcome == Accepted && now.Ref() != e.Ref() {
			t.Fatalf("accepted revision %d, in force is %d", e.Revision, now.Revision)
		}
		if l.IsNew(e.Ref()) {
			t.Fatalf("%s revision %d is still new after it was offered", e.Key, e.Revision)
		}
		highest[e.Key] = now.Ref()
	}
}

// drawEntry draws valid sections, invalid ones, and different texts with the same revision.
func drawEntry(t *rapid.T) entry.Entry {
	service := rapid.SampledFrom([]string{"pass", "portal"}).Draw(t, "service")
	revision := rapid.Uint64Range(1, 4).Draw(t, "revision")
	owner := rapid.SampledFrom([]string{"left", "right", ""}).Draw(t, "owner")
	e := sectionOf(service, owner, revision)
	e.Epoch = rapid.Uint64Range(0, 2).Draw(t, "epoch")
	return e
}

// sectionOf returns a section, which is invalid without an owner.
func sectionOf(service, owner string, revision uint64) entry.Entry {
	raw := fmt.Sprintf(`{"service":%q,"owner":%q,"revision":%d,"addresses":["10.0.0.1:1"],"kinds":["once"],"limits":{}}`, service, owner, revision)
	return entry.Entry{Key: entry.SectionPrefix + service, Revision: revision, Raw: []byte(raw)}
}

// TestRevisionIssuedAgain guards against a change that is never in force because it has the
// revision of another text, which the platform has lost in a return from a backup.
func TestRevisionIssuedAgain(t *testing.T) {
	for _, owners := range [][2]string{{"left", "right"}, {"right", "left"}} {
		l := NewLedger(clockwork.NewFakeClock())
		for i, owner := range owners {
			e := sectionOf("pass", owner, 5)
			e.Epoch = uint64(i + 1)
			l.Offer(e)
		}
		if s, _ := l.Section("pass"); s.Owner != owners[1] {
			t.Errorf("owner %s of epoch 1 is in force, want %s of epoch 2", s.Owner, owners[1])
		}
	}
}
