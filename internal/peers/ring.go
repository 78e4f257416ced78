package peers

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// MaxPeers is the maximum number of peers of an agent, which limits its heartbeats. It is even.
const MaxPeers = 6

// nearest returns the agents nearest to self on the ring of all agents. It returns as many
// before self as after it, so that being a peer is mutual: if a is a peer of b, b is a peer
// of a.
func nearest(self netip.AddrPort, agents []netip.AddrPort, evacuated map[netip.AddrPort]bool) []netip.AddrPort {
	ring := newRing(lo.Uniq(append(slices.Clone(agents), self)), evacuated)
	if len(ring) <= MaxPeers+1 {
		return lo.Without(ring, self)
	}
	i := slices.Index(ring, self)
	var list []netip.AddrPort
	for distance := 1; distance <= MaxPeers/2; distance++ {
		list = append(list, ring[(i+distance)%len(ring)], ring[(i-distance+len(ring))%len(ring)])
	}
	return list
}

// newRing orders the agents by address, and spreads those in evacuated zones evenly among the
// others. The addresses of a zone often follow each other, so that an evacuated agent would
// otherwise have only peers that accept no requests either.
func newRing(agents []netip.AddrPort, evacuated map[netip.AddrPort]bool) []netip.AddrPort {
	slices.SortFunc(agents, netip.AddrPort.Compare)
	out, in := lo.FilterReject(agents, func(a netip.AddrPort, _ int) bool { return evacuated[a] })
	position := make(map[netip.AddrPort]float64, len(agents))
	for _, list := range [][]netip.AddrPort{out, in} {
		for i, a := range list {
			position[a] = (float64(i) + 0.5) / float64(len(list))
		}
	}
	slices.SortStableFunc(agents, func(a, b netip.AddrPort) int { return cmp.Compare(position[a], position[b]) })
	return agents
}
