// Package census follows the question which of many agents hold some flows, asked of all
// of them at once.
package census

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Census is one question to a set of agents. It is not safe for concurrent use.
type Census struct {
	// Began is when the agents were asked.
	Began time.Time

	// flows is the number of flows asked about.
	flows int
	// waiting holds the agents that have not answered.
	waiting map[netip.AddrPort]bool
	// agents are in the order in which they were given.
	agents []netip.AddrPort
	// holders holds the agent of each flow that was found.
	holders map[int]netip.AddrPort
	// unsure holds, for each flow, the agents whose servers alone can tell.
	unsure map[int]map[netip.AddrPort]bool
}

// NewCensus returns a census of the given number of flows at some agents, the likeliest
// holders first.
func NewCensus(flows int, agents []netip.AddrPort, now time.Time) *Census {
	c := &Census{
		Began: now, flows: flows, agents: agents,
		waiting: make(map[netip.AddrPort]bool, len(agents)),
		holders: make(map[int]netip.AddrPort),
		unsure:  make(map[int]map[netip.AddrPort]bool),
	}
	for _, a := range agents {
		c.waiting[a] = true
	}
	return c
}

// Answer takes the answer of an agent. Flows beyond it, and answers that were not waited
// for, change nothing. found is called for each flow that the agent is the first to hold.
func (c *Census) Answer(from netip.AddrPort, holdings []steer.Holding, found func(flow int)) {
	if !c.waiting[from] || len(holdings) != c.flows {
		return
	}
	delete(c.waiting, from)
	for i, h := range holdings {
		switch h {
		case steer.Held:
			if _, known := c.holders[i]; !known {
				c.holders[i] = from
				found(i)
			}
		case steer.Unknown:
			if c.unsure[i] == nil {
				c.unsure[i] = make(map[netip.AddrPort]bool)
			}
			c.unsure[i][from] = true
		case steer.NotHeld:
		}
	}
}

// Complete reports whether every agent has answered.
func (c *Census) Complete() bool {
	return len(c.waiting) == 0
}

// Found reports whether an agent holds a flow.
func (c *Census) Found(flow int) bool {
	_, ok := c.holders[flow]
	return ok
}

// Rest returns the agents that have not excluded that they hold a flow, in their order.
func (c *Census) Rest(flow int) []netip.AddrPort {
	var rest []netip.AddrPort
	for _, a := range c.agents {
		if c.waiting[a] || c.unsure[flow][a] {
			rest = append(rest, a)
		}
	}
	return rest
}
