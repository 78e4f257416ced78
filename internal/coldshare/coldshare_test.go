package coldshare

import (
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/coldstart"
)

// TestSeveralBalancers guards against a cold server that several balancers together overload, which
// costs hops, or leave idle: each of them has more flows than the server can accept.
func TestSeveralBalancers(t *testing.T) {
	const perSecond, seconds = 20, 10
	limit := coldstart.Limit(perSecond, 1.5, 5)
	for _, balancers := range []int{1, 3, 15} {
		shares := make([]Share, balancers)
		var l coldstart.Limiter
		start := time.Unix(1000, 0)
		sent, admitted := 0, 0
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
			for i := range shares {
				if !shares[i].Due(now) {
					continue
				}
				shares[i].RecordSent(perSecond, now)
				sent++
				if l.Take(now, limit) {
					admitted++
					shares[i].RecordAdmitted()
				} else {
					shares[i].RecordPassedOn(now)
				}
			}
		}
		t.Logf("%d balancers: %d sent, %d admitted, rate %d/s", balancers, sent, admitted, perSecond)
		if admitted < perSecond*seconds*3/4 || sent > admitted*3/2 {
			t.Errorf("%d balancers: %d sent and %d admitted, want %d or more admitted and few passed on", balancers, sent, admitted, perSecond*seconds*3/4)
		}
	}
}
