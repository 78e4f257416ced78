package peers

import (
	"net/netip"
	"slices"
	"testing"
)

// TestNearest checks that every agent has at most MaxPeers peers, is never its own peer, and
// that being a peer is mutual, also while a zone with consecutive addresses is evacuated: its
// agents would otherwise have no peer that accepts their requests.
func TestNearest(t *testing.T) {
	for _, count := range []int{1, 2, 7, 8, 50} {
		evacuated := make(map[netip.AddrPort]bool)
		var agents []netip.AddrPort
		for i := range count {
			agents = append(agents, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 4600))
		}
		checkNearest(t, agents, nil)
		for _, a := range agents[:count/3] {
			evacuated[a] = true
		}
		checkNearest(t, agents, evacuated)
	}
}

func checkNearest(t *testing.T, agents []netip.AddrPort, evacuated map[netip.AddrPort]bool) {
	t.Helper()
	for _, a := range agents {
		peers := nearest(a, agents, evacuated)
		if want := min(len(agents)-1, MaxPeers); len(peers) != want || slices.Contains(peers, a) {
			t.Fatalf("%v of %d has peers %v, want %d others", a, len(agents), peers, want)
		}
		if len(peers) > 0 && !slices.ContainsFunc(peers, func(p netip.AddrPort) bool { return !evacuated[p] }) {
			t.Fatalf("%v of %d has only evacuated peers %v", a, len(agents), peers)
		}
		for _, p := range peers {
			if !slices.Contains(nearest(p, agents, evacuated), a) {
				t.Fatalf("%v is a peer of %v, but not vice versa", p, a)
			}
		}
	}
}
