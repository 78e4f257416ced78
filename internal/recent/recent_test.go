package recent

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestRefresh checks that a refreshed value is kept longer than one that is not refreshed.
func TestRefresh(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewMap[string, int](clock, time.Minute, 100)
	m.Put("used", 1)
	m.Put("idle", 2)
	for range 3 {
		clock.Advance(time.Minute)
		m.Put("other", 3)
		if v, ok := m.Refresh("used"); !ok || v != 1 {
			t.Fatalf("used: %d %t, want 1", v, ok)
		}
	}
	if _, ok := m.Refresh("idle"); ok {
		t.Error("idle is still stored")
	}
}

// TestUpdate checks that stored values are changed, and that no value is added.
func TestUpdate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := NewMap[string, int](clock, time.Minute, 100)
	m.Put("stored", 1)
	clock.Advance(time.Minute)
	for _, key := range []string{"stored", "other"} {
		m.Update(key, func(v int) int { return v + 1 })
	}
	if v, ok := m.Get("stored"); !ok || v != 2 {
		t.Errorf("stored: %d %t, want 2", v, ok)
	}
	if _, ok := m.Get("other"); ok {
		t.Error("a value was stored")
	}
}
