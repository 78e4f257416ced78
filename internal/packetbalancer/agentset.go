package packetbalancer

import (
	"net/netip"
	"sync"
)

// agentSet collects the agents that packets were sent to between two rounds of pings.
type agentSet struct {
	mu   sync.Mutex
	list map[netip.AddrPort]struct{}
}

func (s *agentSet) add(a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		s.list = make(map[netip.AddrPort]struct{})
	}
	s.list[a] = struct{}{}
}

// take calls use for each agent in the set, and empties the set.
func (s *agentSet) take(use func(a netip.AddrPort)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.list {
		use(a)
	}
	clear(s.list)
}
