package peers

import (
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// MaxPeers bounds the peers of an agent, and so its heartbeats. It is even.
const MaxPeers = 6

// nearest returns the agents next to self on the ring of all agents, as many
// before as after it, so that two agents are peers of each other or not at all.
func nearest(self netip.AddrPort, agents []netip.AddrPort) []netip.AddrPort {
	ring := lo.Uniq(append(slices.Clone(agents), self))
	slices.SortFunc(ring, netip.AddrPort.Compare)
	if len(ring) <= MaxPeers+1 {
		return lo.Without(ring, self)
	}
	at := slices.Index(ring, self)
	var list []netip.AddrPort
	for distance := 1; distance <= MaxPeers/2; distance++ {
		list = append(list, ring[(at+distance)%len(ring)], ring[(at-distance+len(ring))%len(ring)])
	}
	return list
}
