package peers

import (
	"net/netip"
	"slices"
	"testing"
)

// TestNearest checks that every agent has at most MaxPeers peers, is never its own peer, and
// that being a peer is mutual.
func TestNearest(t *testing.T) {
	for _, count := range []int{1, 2, 7, 8, 50} {
		var agents []netip.AddrPort
		for i := range count {
			agents = append(agents, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 4600))
		}
		for _, a := range agents {
			peers := nearest(a, agents)
			if want := min(count-1, MaxPeers); len(peers) != want || slices.Contains(peers, a) {
				t.Fatalf("%v of %d has peers %v, want %d others", a, count, peers, want)
			}
			for _, p := range peers {
				if !slices.Contains(nearest(p, agents), a) {
					t.Fatalf("%v is a peer of %v, but not vice versa", p, a)
				}
			}
		}
	}
}
