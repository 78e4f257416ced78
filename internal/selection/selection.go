// Package selection decides which agents may take a new flow, and in which
// order agents are asked for the holder of an unknown one.
package selection

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Parameters of the selection.
const (
	// MaxChoices is how many agents a new flow is offered to at most.
	MaxChoices = 5
	// ranked is how many agents, by rank of the flow, are compared by load.
	ranked = 8
	// rankedNear is how many of them are of the balancer's own zone, if it has as many;
	// the others take what the zone cannot carry.
	rankedNear = 5
	// localShare is the part of the response-time objective that a place in the
	// caller's zone may cost.
	localShare = 0.04
	// failureCost is what a failure costs, in response-time objectives: the answer is
	// late after a retry, or lost if the request must not run twice.
	failureCost = 2
	// usualService stands for a service time that nobody knows yet.
	usualService = 20 * time.Millisecond
	// coldFactor is how much slower a server counts while it warms up.
	coldFactor = 1.6
	// goneAfter is how long a server that does not answer must be missing from the
	// list to count as gone, with all its flows: entries of live servers are back
	// within 2 s of an outage.
	goneAfter = 2500 * time.Millisecond
	// readGap is the pause between readings after which the platform counts as having
	// been away; readers take turns of at most 0.7 s, and 0.4 s more for a lost one.
	readGap = 1500 * time.Millisecond
	// suspectAfter is how long an agent may leave a message unanswered; several
	// round trips between zones and turns of a small processor.
	suspectAfter = 150 * time.Millisecond
	// startSpread is how much earlier than this balancer a server may have started if
	// both lost power together: VMs start within 0.3 s of each other, and their clocks
	// differ a little.
	startSpread = time.Second
	// maxUtilization bounds the queueing term of the score.
	maxUtilization = 0.97
)

// Agent is what a balancer knows of one agent and its backend server.
type Agent struct {
	// Address is where the agent takes packets.
	Address netip.AddrPort
	// Server is the entry of its server.
	Server catalog.Server
	// Load is the latest report; the zero value if none came.
	Load steer.Load
	// Heard is when the latest report came.
	Heard time.Time
	// Asked is when the first message since the latest report was sent.
	Asked time.Time
	// Returned is when it last answered after it had been silent.
	Returned time.Time
	// Placed counts the flows placed since the latest report.
	Placed int
	// Used is when the balancer last sent it a packet of a caller; zero if never.
	Used time.Time
	// Searched is when it was last searched for the holder of a flow; zero if never.
	Searched time.Time
	// Missing is when the server was first missing from the list; zero if listed.
	Missing time.Time

	hash uint64
	warm time.Time
	// fresh is whether the server had just started when first listed: it was still
	// slow, or has started with this balancer.
	fresh bool
	// wasSuspect is what Turned last returned.
	wasSuspect bool
	// watched is whether the agent is asked for reports although it is not used.
	watched bool
	// probe is whether the agent is in the sample that tells whether the balancer
	// reaches the others.
	probe bool
	// pinged is when it was last asked for a report.
	pinged time.Time
}

// Selection keeps the agents of all services. It is not safe for concurrent use.
type Selection struct {
	zone    string
	port    uint16
	retain  time.Duration
	bounds  bounds.Bounds
	started time.Time
	ranker  rendezvous.Ranker
	// key ranks the agents for this balancer.
	key uint64
	// agents holds listed servers, and unlisted ones for the retention period.
	agents map[netip.AddrPort]*Agent
	// tracked holds the agents that are asked, or may have to be soon; each agent that has
	// not answered is among them.
	tracked   map[netip.AddrPort]*Agent
	byService map[string][]*Agent
	// read is when the list of servers was last read, and resumed when it first was
	// after a time in which it could not be.
	read, resumed time.Time
	// listed grows whenever an agent is added or removed.
	listed uint16
	// emptySince holds when the last usable server of a service was lost.
	emptySince map[string]time.Time
	scored     []scored
	// near and far are scratch space for the agents that are compared for a flow.
	near, far best
	// cutOffAt is when CutOff was last true.
	cutOffAt time.Time
}

type scored struct {
	agent *Agent
	score float64
}

// NewSelection returns an empty selection for a balancer in a zone. Agents
// listen at the given port, and are remembered for the retention period after
// their server was last listed. started is when the balancer started.
func NewSelection(zone string, agentPort uint16, retain time.Duration, b bounds.Bounds, started time.Time) *Selection {
	ranker := rendezvous.NewRanker(nil)
	return &Selection{
		key:        ranker.Hash(started.AppendFormat([]byte(zone), time.RFC3339Nano)),
		emptySince: make(map[string]time.Time),
		zone:       zone,
		port:       agentPort,
		retain:     retain,
		bounds:     b,
		started:    started,
		ranker:     ranker,
		agents:     make(map[netip.AddrPort]*Agent),
		tracked:    make(map[netip.AddrPort]*Agent),
		byService:  make(map[string][]*Agent),
	}
}

// Update takes a new reading of the servers.
func (s *Selection) Update(servers catalog.Servers, now time.Time) {
	listed := s.newest(servers)
	for address, v := range listed {
		s.list(address, v, now)
	}
	for address, a := range s.agents {
		if _, ok := listed[address]; ok {
			continue
		}
		if a.Missing.IsZero() {
			a.Missing = now
		}
		if now.Sub(a.Missing) > s.retain {
			delete(s.agents, address)
			delete(s.tracked, address)
			s.listed++
		}
	}
	s.group()
}

// Lapse takes a server that is no longer listed since the given time, which this
// balancer may never have seen listed.
func (s *Selection) Lapse(v catalog.Server, since time.Time) {
	address := netip.AddrPortFrom(v.Address, s.port)
	if s.agents[address] != nil {
		return
	}
	s.list(address, v, since)
	s.agents[address].Missing = since
	s.group()
}

// newest returns the servers by the address of their agent. A server that
// restarted under another ID is listed twice until the former entry lapses.
func (s *Selection) newest(servers catalog.Servers) map[netip.AddrPort]catalog.Server {
	listed := make(map[netip.AddrPort]catalog.Server, len(servers.List))
	for _, v := range servers.List {
		address := netip.AddrPortFrom(v.Address, s.port)
		if other, ok := listed[address]; !ok || v.Born > other.Born {
			listed[address] = v
		}
	}
	return listed
}

func (s *Selection) list(address netip.AddrPort, v catalog.Server, now time.Time) {
	a := s.agents[address]
	if a == nil || a.Server.ID != v.ID || a.Server.Born != v.Born {
		a = &Agent{Address: address, hash: s.ranker.Hash([]byte(address.String())), fresh: s.justStarted(v)}
		s.agents[address], s.tracked[address] = a, a
		s.listed++
	}
	a.Server, a.Missing = v, time.Time{}
	a.warm = now.Add(v.Warmup)
}

// justStarted reports whether a server that is listed for the first time has
// started lately, or together with this balancer.
func (s *Selection) justStarted(v catalog.Server) bool {
	return v.Warmup > 0 || v.Born >= s.started.Add(-startSpread).UnixMilli()
}

func (s *Selection) group() {
	clear(s.byService)
	for _, a := range s.agents {
		s.byService[a.Server.Service] = append(s.byService[a.Server.Service], a)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Agent) int { return a.Address.Compare(b.Address) })
	}
	s.watch()
}

// Heard takes a report. Reports of unknown agents are ignored.
func (s *Selection) Heard(address netip.AddrPort, l steer.Load, now time.Time) {
	if a := s.agents[address]; a != nil {
		if a.suspect(now) {
			a.Returned = now
		}
		a.Load, a.Heard, a.Asked, a.Placed = l, now, time.Time{}, 0
		s.tracked[address] = a
	}
}

// Asked notes a message to an agent that it answers with a report.
func (s *Selection) Asked(address netip.AddrPort, now time.Time) {
	if a := s.agents[address]; a != nil {
		a.pinged = now
		s.awaitReport(a, now)
	}
}

// awaitReport notes that an agent has a message that it answers.
func (s *Selection) awaitReport(a *Agent, now time.Time) {
	s.tracked[a.Address] = a
	if a.Asked.IsZero() {
		a.Asked = now
	}
}

// Placed notes that a flow was offered to an agent.
func (s *Selection) Placed(address netip.AddrPort, now time.Time) {
	if a := s.agents[address]; a != nil {
		a.Placed++
		a.Used = now
		s.awaitReport(a, now)
	}
}

// Used notes that packets of known flows were sent to an agent.
func (s *Selection) Used(address netip.AddrPort, now time.Time) {
	if a := s.agents[address]; a != nil {
		a.Used = now
		s.tracked[address] = a
	}
}

// Agent returns what is known of an agent, or the zero value.
func (s *Selection) Agent(address netip.AddrPort) Agent {
	if a := s.agents[address]; a != nil {
		return *a
	}
	return Agent{Address: address}
}

// Suspect reports whether an agent leaves messages unanswered.
func (s *Selection) Suspect(address netip.AddrPort, now time.Time) bool {
	a := s.agents[address]
	return a != nil && a.suspect(now)
}

func (a *Agent) suspect(now time.Time) bool {
	return !a.Asked.IsZero() && now.Sub(a.Asked) > suspectAfter
}

// usable reports whether the agent may be offered new flows.
func (s *Selection) usable(a *Agent) bool {
	if a.Server.State != catalog.Ready || a.Load.State == steer.Leaving {
		return false
	}
	return s.missing(a) < s.bounds.ExpiryGrace()
}

// missing returns how long the platform has been seen not to list the server of
// an agent. While the platform cannot be read, nobody can tell, and entries that
// lapsed then return some time after.
func (s *Selection) missing(a *Agent) time.Duration {
	if a.Missing.IsZero() {
		return 0
	}
	since := a.Missing
	if s.resumed.After(since) {
		since = s.resumed
	}
	return s.read.Sub(since)
}

// Read notes when the list of servers was last read, here or elsewhere.
func (s *Selection) Read(at time.Time) {
	if at.Sub(s.read) > readGap {
		s.resumed = at
	}
	s.read = at
}

// Turned calls changed for each agent that has stopped or started to answer
// since the last call.
func (s *Selection) Turned(now time.Time, changed func(a Agent, silent bool)) {
	for _, a := range s.tracked {
		if silent := a.suspect(now); silent != a.wasSuspect {
			a.wasSuspect = silent
			changed(*a, silent)
		}
	}
}

// Hash returns the hash of a flow that ranks agents and selects shares of a route.
func (s *Selection) Hash(f packet.Flow) uint64 {
	var b [packet.FlowLen]byte
	f.Put(b[:])
	return s.ranker.Hash(b[:])
}

func (s *Selection) sort(compare func(a, b scored) int) {
	slices.SortStableFunc(s.scored, compare)
}

func candidate(a *Agent) steer.Candidate {
	return steer.Candidate{Agent: a.Address, Slots: a.Server.Slots}
}
