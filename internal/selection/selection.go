// Package selection chooses the candidate agents of a new flow by their load,
// orders the agents that are searched for the holder of an unknown flow, and detects
// agents that do not answer.
package selection

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/coldshare"
	"github.com/bergamotgw/bergamotgw/internal/evacuation"
	"github.com/bergamotgw/bergamotgw/internal/flowplacement"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Parameters of the selection.
const (
	// MaxChoices is the largest number of agents that a new flow is offered to.
	MaxChoices = 5
	// comparedAgents is how many agents, those that rank highest for the flow, are
	// compared by load.
	comparedAgents = 8
	// comparedOwnZone is how many of them are in the balancer's own zone, if it has as
	// many; those of other zones take the load that exceeds the zone's capacity.
	comparedOwnZone = 5
	// otherZoneCost is added to the delay of agents in other zones, as a share of the
	// response-time objective: so much longer a delay is accepted to stay in the
	// caller's zone.
	otherZoneCost = 0.04
	// failureCost is the delay added for a share of failures of 1, in response-time
	// objectives: after a failure the answer is late because of a retry, or lost if
	// the request must not run twice.
	failureCost = 2
	// defaultServiceTime is used until the agent reports a service time.
	defaultServiceTime = 20 * time.Millisecond
	// warmupFactor multiplies the service time of a server that is warming up.
	warmupFactor = 1.6
	// removedAfter is how long a server that does not answer must be missing from the
	// list to count as removed, with all its flows: after an outage of the platform,
	// entries of live servers return within 2 s.
	removedAfter = 2500 * time.Millisecond
	// goneAfter is how long the entry of a server must have been missing for another balancer that
	// names the server, to count it as gone: entries that expired in an outage return sooner.
	goneAfter = 5 * time.Second
	// readGapMargin is how much longer than the greatest age of a list the interval between two
	// readings may be; after a longer one the platform counts as having been unavailable.
	readGapMargin = 500 * time.Millisecond
	// suspectTimeout is how long an agent may leave a message unanswered before it counts
	// as silent: time for several round trips between zones, and for several scheduling
	// delays of a small processor.
	suspectTimeout = 150 * time.Millisecond
	// runInterval is the longest time between two calls of RecordRun in a balancer that runs, and
	// runDelay how much later the second one may be because the processor is busy.
	runInterval = 100 * time.Millisecond
	runDelay    = 100 * time.Millisecond
	// maxStartSkew is how much earlier than this balancer a server may have started if
	// both lost power together: VMs start within 0.3 s of each other, and their clocks
	// differ slightly.
	maxStartSkew = time.Second
)

// Agent is the state that a balancer stores for one agent and its backend server.
type Agent struct {
	// Address is where the agent receives packets.
	Address netip.AddrPort
	// Server is the entry of its server in the list.
	Server catalog.Server
	// Load is the latest report; the zero value before the first one.
	Load steer.Load
	// LastReportAt is when the latest report was received; zero if never.
	LastReportAt time.Time
	// UnansweredSince is when the first message since the latest report was sent; zero if no
	// message is unanswered.
	UnansweredSince time.Time
	// RecoveredAt is when the agent last answered after it had been silent.
	RecoveredAt time.Time
	// PlacedFlows is the number of flows offered to the agent since its latest report.
	PlacedFlows int
	// LastUsedAt is when the balancer last sent the agent a packet of a caller; zero if never.
	LastUsedAt time.Time
	// LastSearchedAt is when the agent was last among those that were searched for the holder
	// of a flow; zero if never.
	LastSearchedAt time.Time
	// WarmUntil is when the server stops being cold; a server that has never been has a time in the
	// past.
	WarmUntil time.Time
	// UnlistedSince is when the server was first missing from the list; zero if it is listed.
	UnlistedSince time.Time

	// countsAsGone is true if another balancer has named the server, whose entry had been missing for
	// longer than goneAfter. The server is offered no new flow.
	countsAsGone bool
	// earlierListed is true while only a server with an earlier start is listed at the place.
	earlierListed bool

	hash uint64
	// changed is the number of the latest change of the agent, as Selection.changes counts them.
	changed uint64
	// unsure is true after the agent could not tell whether its server holds a flow.
	unsure bool
	// coldShare limits the new flows that are offered to the server while it is cold.
	coldShare coldshare.Share
	// recentlyStarted is true if the server had recently started when it was first
	// listed: it was still warming up, or has started together with this balancer.
	recentlyStarted bool
	// startedTogether is true if the server has started together with this balancer, or later.
	startedTogether bool
	// wasSuspect is whether the agent was suspect at the latest call of NotifyChanges.
	wasSuspect bool
	// wasStopped is whether the agent had stated at the latest call of NotifyStopped that the listed
	// server has stopped.
	wasStopped bool
	// monitored is true if the agent is pinged even while it is not used.
	monitored bool
	// sampled is true if the agent is in the sample from which CutOff infers whether
	// the balancer reaches the other agents.
	sampled bool
	// lastPingAt is when the agent was last pinged; zero if never. toldEvacuated is whether that
	// ping stated that its zone is evacuated.
	lastPingAt    time.Time
	toldEvacuated bool
}

// Selection stores the agents of all services. It is not safe for concurrent use.
type Selection struct {
	zone    string
	port    uint16
	retain  time.Duration
	bounds  bounds.Bounds
	started time.Time
	ranker  rendezvous.Ranker
	// key is the hash by which this balancer ranks agents for its sample.
	key uint64
	// agents holds the agents of listed servers, and those of unlisted ones for the
	// retention period. Entries of several services may name the same address, because one of
	// them is of another writer or its server has left: then each has an agent here.
	agents map[place]*Agent
	// tracked holds the agents that may be due for a ping; each agent that has a message
	// unanswered is among them.
	tracked map[place]*Agent
	// byAddress and byService index agents.
	byAddress map[netip.AddrPort][]*Agent
	byService map[string][]*Agent
	// named holds the services that a version of the routes has named; empty before the first.
	named map[string]bool
	// coldRates is how many new flows a second a cold server can accept, by service.
	coldRates map[string]float64
	// lastReadAt is when the list of servers was last read, and readsResumedAt when it was
	// first read after an interval in which the platform was unavailable.
	lastReadAt, readsResumedAt time.Time
	// readSince is a time of this balancer's own clock after which the list was read for certain;
	// what other balancers state of their readings may have waited. It is never after lastReadAt.
	readSince time.Time
	// ranAt is when the balancer last recorded that it runs; zero before.
	ranAt time.Time
	// interruptedUntil is when the entries of live servers that are missing because of the
	// latest interruption of the platform have returned; zero if there was none.
	interruptedUntil time.Time
	// epoch is that of the latest list of servers.
	epoch uint64
	// evacuations holds the zones whose servers get no new flows.
	evacuations evacuation.Zones
	// changes counts how often an agent was added or replaced, has answered after it had been
	// silent, or can tell which flows its server holds after it could not.
	changes uint64
	// listVersion is incremented whenever an agent is added, replaced or removed.
	listVersion uint16
	// unavailableSince holds, for each service without usable servers, since when it has
	// had none.
	unavailableSince map[string]time.Time
	// scored is scratch space, valid until the next call of any method.
	scored []scored
	// near and far are scratch space for the agents of the own zone and of the others
	// that are compared for a flow.
	near, far topScored
	// listedAt is when the first server was listed; zero before.
	listedAt time.Time
	// order sorts the agents that are compared for a new flow. candidates is scratch space for
	// it.
	order      func([]flowplacement.Candidate)
	candidates []flowplacement.Candidate
	// lastCutOffAt is when CutOff was last true.
	lastCutOffAt time.Time
}

// scored is an agent with the score by which a list is sorted.
type scored struct {
	agent *Agent
	score float64
}

// NewSelection returns an empty selection for a balancer in a zone. Agents listen on
// agentPort, and are kept for the period retain after their server was last listed.
// started is when the balancer started.
func NewSelection(zone string, agentPort uint16, retain time.Duration, b bounds.Bounds, started time.Time) *Selection {
	ranker := rendezvous.NewRanker(nil)
	return &Selection{
		key:              ranker.Hash(started.AppendFormat([]byte(zone), time.RFC3339Nano)),
		unavailableSince: make(map[string]time.Time),
		zone:             zone,
		port:             agentPort,
		order:            flowplacement.Best,
		retain:           retain,
		bounds:           b,
		started:          started,
		ranker:           ranker,
		agents:           make(map[place]*Agent),
		tracked:          make(map[place]*Agent),
		named:            make(map[string]bool),
		byAddress:        make(map[netip.AddrPort][]*Agent),
		byService:        make(map[string][]*Agent),
	}
}

// SetOrder replaces the order of the agents that are compared for a new flow, which is by
// expected delay.
func (s *Selection) SetOrder(order func([]flowplacement.Candidate)) {
	s.order = order
}

// RecordReport stores a report. Reports from unknown agents are ignored.
func (s *Selection) RecordReport(address netip.AddrPort, l steer.Load, now time.Time) {
	for _, a := range s.byAddress[address] {
		s.recordAnswer(a, now)
		if a.unsure && l.TableComplete {
			a.unsure = false
			s.countChange(a)
		}
		a.Load, a.LastReportAt, a.PlacedFlows = l, now, 0
		s.track(a)
	}
}

// RecordUnsure records that an agent could not tell whether its server holds a flow.
func (s *Selection) RecordUnsure(address netip.AddrPort) {
	for _, a := range s.byAddress[address] {
		a.unsure = true
	}
}

// RecordPing records that a ping was sent to an agent, which answers it with a report.
func (s *Selection) RecordPing(address netip.AddrPort, now time.Time) {
	for _, a := range s.byAddress[address] {
		a.lastPingAt, a.toldEvacuated = now, s.evacuated(a)
		s.awaitReport(a, now)
	}
}

// awaitReport records that an agent was sent a message that it answers with a report.
func (s *Selection) awaitReport(a *Agent, now time.Time) {
	s.track(a)
	if a.UnansweredSince.IsZero() {
		a.UnansweredSince = now
	}
}

func (s *Selection) track(a *Agent) {
	s.tracked[a.place()] = a
}

// RecordPlacement records that a new flow was offered to an agent.
func (s *Selection) RecordPlacement(address netip.AddrPort, now time.Time) {
	for _, a := range s.byAddress[address] {
		a.PlacedFlows++
		if rate := s.coldRate(a, now); rate > 0 {
			a.coldShare.RecordSent(rate, now)
		}
		a.LastUsedAt = now
		s.awaitReport(a, now)
	}
}

// RecordPassedOn records that an agent has passed on a new flow that was offered to it, which
// shows that it answers although it sends no report.
func (s *Selection) RecordPassedOn(address netip.AddrPort, now time.Time) {
	for _, a := range s.byAddress[address] {
		s.recordAnswer(a, now)
	}
}

// recordAnswer records that an agent answers.
func (s *Selection) recordAnswer(a *Agent, now time.Time) {
	if a.suspect(now) || s.foreign(a) || a.unheard() {
		a.RecoveredAt = now
		s.countChange(a)
	}
	a.UnansweredSince = time.Time{}
}

// RecordUse records that packets of known flows were sent to an agent.
func (s *Selection) RecordUse(address netip.AddrPort, now time.Time) {
	for _, a := range s.byAddress[address] {
		a.LastUsedAt = now
		s.track(a)
	}
}

// Agent returns a copy of an agent's state, or an agent with only its address if it is
// unknown. Of several servers at the address it has the one that the agent reports for, or the
// one that started last.
func (s *Selection) Agent(address netip.AddrPort) Agent {
	found := Agent{Address: address}
	for _, a := range s.byAddress[address] {
		if s.reportsFor(a) && (found.hash == 0 || a.Server.Born > found.Server.Born) {
			found = *a
		}
	}
	return found
}

// reportsFor reports whether an agent is beside the server of its entry, as far as its reports
// show: an entry of another service may name its address.
func (s *Selection) reportsFor(a *Agent) bool {
	return a.Load.Service == 0 || a.Load.Service == catalog.ServiceID(a.Server.Service)
}

// Suspect reports whether an agent has left a message unanswered for longer than the
// suspect timeout.
func (s *Selection) Suspect(address netip.AddrPort, now time.Time) bool {
	return slices.ContainsFunc(s.byAddress[address], func(a *Agent) bool { return a.suspect(now) })
}

func (a *Agent) suspect(now time.Time) bool {
	return !a.UnansweredSince.IsZero() && now.Sub(a.UnansweredSince) > suspectTimeout
}

// usable reports whether an agent may be offered new flows, unless its zone is evacuated. One whose
// server is no longer listed may be, for the grace period of expired entries.
func (s *Selection) usable(a *Agent) bool {
	if a.Server.State != catalog.Ready || a.Load.State == steer.Leaving || a.serverStopped() || a.countsAsGone || !s.reportsFor(a) {
		return false
	}
	return s.unlistedFor(a) < s.bounds.ExpiryGrace()
}

// NotifyChanges calls changed for each agent that has stopped or resumed answering since the
// previous call.
func (s *Selection) NotifyChanges(now time.Time, changed func(a Agent, silent bool)) {
	for _, a := range s.tracked {
		if silent := a.suspect(now) && !s.foreign(a); silent != a.wasSuspect {
			a.wasSuspect = silent
			changed(*a, silent)
		}
	}
}

// Hash returns the hash of a flow. It ranks agents for the flow and selects its share of
// a route.
func (s *Selection) Hash(f packet.Flow) uint64 {
	var b [packet.FlowLen]byte
	f.Put(b[:])
	return s.ranker.Hash(b[:])
}

func (s *Selection) sort(compare func(a, b scored) int) {
	slices.SortStableFunc(s.scored, compare)
}

// candidate returns the entry for an agent in the list of candidates of an envelope.
func candidate(a *Agent) steer.Candidate {
	return steer.Candidate{Agent: a.Address, Slots: a.Server.Slots}
}
