// Package census collects the answers of agents to a query that was sent to all of them
// concurrently: which of some flows do their backend servers hold?
package census

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// QueryResult is the result, so far, of one query to a set of agents. It is not safe for
// concurrent use.
type QueryResult struct {
	// SentAt is when the query was sent.
	SentAt time.Time

	// flows is the number of flows in the query.
	flows int
	// unanswered holds the agents that have not answered.
	unanswered map[netip.AddrPort]bool
	// agents holds the queried agents in the order in which they were given.
	agents []netip.AddrPort
	// holders holds, by the index of each flow that was found, the first agent that
	// answered that it holds the flow.
	holders map[int]netip.AddrPort
	// unknown holds, by the index of each flow, the agents that cannot determine whether
	// their server holds it: they started after the server, and only the server can.
	unknown map[int]map[netip.AddrPort]bool
}

// NewQueryResult returns the result, still empty, of a query for the given number of flows
// that is sent to agents now, the likeliest holders first.
func NewQueryResult(flows int, agents []netip.AddrPort, now time.Time) *QueryResult {
	c := &QueryResult{
		SentAt: now, flows: flows, agents: agents,
		unanswered: make(map[netip.AddrPort]bool, len(agents)),
		holders:    make(map[int]netip.AddrPort),
		unknown:    make(map[int]map[netip.AddrPort]bool),
	}
	for _, a := range agents {
		c.unanswered[a] = true
	}
	return c
}

// AddAnswer adds the answer of an agent: one holding for each flow, in the order of the query.
// An answer of another length, from an agent that was not queried, or a repeated one is
// ignored. found is called for each flow that the agent is the first to hold.
func (c *QueryResult) AddAnswer(from netip.AddrPort, holdings []steer.Holding, found func(flow int)) {
	if !c.unanswered[from] || len(holdings) != c.flows {
		return
	}
	delete(c.unanswered, from)
	for i, h := range holdings {
		switch h {
		case steer.Held:
			if _, known := c.holders[i]; !known {
				c.holders[i] = from
				found(i)
			}
		case steer.Unknown:
			if c.unknown[i] == nil {
				c.unknown[i] = make(map[netip.AddrPort]bool)
			}
			c.unknown[i][from] = true
		case steer.NotHeld:
		}
	}
}

// Agents returns the queried agents.
func (c *QueryResult) Agents() []netip.AddrPort {
	return c.agents
}

// Complete reports whether every agent has answered.
func (c *QueryResult) Complete() bool {
	return len(c.unanswered) == 0
}

// Found reports whether an agent has answered that it holds a flow.
func (c *QueryResult) Found(flow int) bool {
	_, ok := c.holders[flow]
	return ok
}

// PossibleHolders returns the agents that may hold a flow as far as the answers show, in the
// order of the query: those that have not answered, and those whose answer was unknown.
func (c *QueryResult) PossibleHolders(flow int) []netip.AddrPort {
	var possible []netip.AddrPort
	for _, a := range c.agents {
		if c.unanswered[a] || c.unknown[flow][a] {
			possible = append(possible, a)
		}
	}
	return possible
}
