package bounds

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPeriodsRespectBounds checks that every derived period is within its bound, or above
// it where it has to be, for all bounds that settings may have.
func TestPeriodsRespectBounds(t *testing.T) {
	draw := func(t *rapid.T, name string, least time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(least), int64(time.Minute)).Draw(t, name))
	}
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Contact: draw(t, "contact", MinContact), Change: draw(t, "change", MinChange),
			AddressReuse: draw(t, "reuse", MinAddressReuse),
		}
		if b.LostTimeout() <= b.Contact {
			t.Errorf("an agent is lost after %v, within the contact bound of %v", b.LostTimeout(), b.Contact)
		}
		if b.ExpiryGrace() >= b.AddressReuse || b.ExpiryGrace() > 2*time.Second {
			t.Errorf("a server that is not listed stays in use for %v; its address may be reused after %v", b.ExpiryGrace(), b.AddressReuse)
		}
		period := time.Duration(rapid.Int64Range(1, int64(DefaultChange)).Draw(t, "period"))
		if paced := b.ScalePeriod(period); paced > period || paced > b.Change {
			t.Errorf("a period of %v was scaled to %v with a change bound of %v", period, paced, b.Change)
		}
	})
}
