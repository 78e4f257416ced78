package peers

import (
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// MaxPeers is the maximum number of peers of an agent, which limits its heartbeats. It is even.
const MaxPeers = 6

// nearest returns the agents nearest to self on the ring of all agents, sorted by address. It
// returns as many before self as after it, so that being a peer is mutual: if a is a peer of b,
// b is a peer of a.
func nearest(self netip.AddrPort, agents []netip.AddrPort) []netip.AddrPort {
	ring := lo.Uniq(append(slices.Clone(agents), self))
	slices.SortFunc(ring, netip.AddrPort.Compare)
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
