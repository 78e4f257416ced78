package catalog

import (
	"fmt"
	"net/netip"
	"testing"
)

// TestRouteWithManyShares checks that a route with 1,000 shares distributes flows by weight,
// and that shares of weight 0 receive none.
func TestRouteWithManyShares(t *testing.T) {
	const shares, flows = 1000, 200_000
	r := Route{Address: netip.MustParseAddrPort("198.18.0.1:443")}
	for n := range shares {
		r.Shares = append(r.Shares, Share{Service: fmt.Sprint(n), Weight: float64(n % 2)})
	}
	counts := make(map[string]int)
	for n := range uint64(flows) {
		counts[r.Select(n*0x9e3779b97f4a7c15)]++
	}
	const mean = flows / (shares / 2)
	for n, s := range r.Shares {
		got := counts[s.Service]
		if n%2 == 0 && got != 0 || n%2 == 1 && (got < mean/2 || got > 2*mean) {
			t.Errorf("share %d of weight %v got %d flows, mean %d", n, s.Weight, got, mean)
		}
	}
	if n := len(r.Services(1)); n != shares {
		t.Errorf("%d services may hold a flow, want %d", n, shares)
	}
}
