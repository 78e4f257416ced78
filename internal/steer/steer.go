// Package steer encodes the datagrams that balancers and agents exchange about packet
// flows: packets of callers that are forwarded to agents, queries and answers about flows,
// reports of load, and digests of catalogs. Integers are big-endian, addresses IPv4.
package steer

import (
	"encoding/binary"
	"net/netip"
)

// magic is the first byte of every datagram of this protocol.
const magic = 0xb7

// Kind is the type of a datagram, encoded as its second byte.
type Kind uint8

// Kinds of datagrams.
const (
	// Forward carries a caller's packet to an agent.
	Forward Kind = iota + 1
	// Return carries a packet back to its balancer: the agent, or every agent of a
	// page of the search, does not hold the flow.
	Return
	// NotFound reports to a balancer that no candidate holds, or admits, the flow of a packet.
	NotFound
	// Report carries the load of an agent to a balancer, and optionally a flow that the
	// agent holds.
	Report
	// Ping requests a report from an agent.
	Ping
	// Digest reports to another balancer or to an agent how recent the sender's catalog is.
	Digest
	// Query requests from an agent which of some flows it holds; Answer is the reply.
	Query
	Answer
	// ReadingRequest requests a reading of the platform from another balancer; ReadingDone is the
	// reply after one that began later.
	ReadingRequest
	ReadingDone
)

// Limits of an envelope; lengths are in bytes.
const (
	// MaxCandidates is the maximum number of candidates.
	MaxCandidates = 32
	// HeaderLen is the length of an envelope without candidates.
	HeaderLen = 27
	// MaxLen is the length of an envelope with a full list of candidates.
	MaxLen = HeaderLen + MaxCandidates*candidateLen

	candidateLen = addrLen + 1
	addrLen      = 6
)

// Offsets of the fixed fields of an envelope, in bytes.
const (
	kindOffset        = 1
	flagsOffset       = 2
	hopOffset         = 3
	countOffset       = 4
	priorityOffset    = 5
	targetOffset      = 6
	timeoutOffset     = 8
	serviceOffset     = 10
	balancerOffset    = 14
	bestOffset        = 20
	bestDelayOffset   = 21
	pageOffset        = 23
	attemptOffset     = 24
	listVersionOffset = 25
)

// Flags of an envelope. Former programs set bits 2 and 32 for searches whose last agent resets
// the flow.
const (
	cachedFlag    = 1
	mustAdmitFlag = 4
	onceFlag      = 8
	moreFlag      = 16
	directFlag    = 64
	freeSlotFlag  = 128
)

// Candidate is an agent that may hold or admit a flow.
type Candidate struct {
	// Agent is the address of the agent.
	Agent netip.AddrPort
	// Slots is the number of requests that its backend server runs concurrently; 0 if unknown.
	Slots uint8
}

// Class holds the properties that the route of a flow gives to its requests.
type Class struct {
	// Priority orders requests; 0 is the highest.
	Priority uint8
	// TargetMillis is the response-time objective, in milliseconds.
	TargetMillis uint16
	// TimeoutMillis is the time after which an answer is past its deadline, in milliseconds.
	TimeoutMillis uint16
	// Once is true if a request must not run twice.
	Once bool
}

// NoBest is the value of Envelope.Best while no candidate has written its expected delay.
const NoBest = 0xff

// Envelope is the header that precedes a caller's packet between balancers and agents.
type Envelope struct {
	// Kind is Forward, Return or NotFound.
	Kind Kind
	// Cached is true if the first candidate comes from the balancer's cache of flows. That
	// agent returns a packet, other than a SYN, whose flow it does not hold.
	Cached bool
	// Direct is true for a copy to one agent that the search path skipped.
	Direct bool
	// More is true if agents that are not on this page may hold the flow.
	More bool
	// Page is 0 for the search of the likely holders, and 1 for that of the agents which
	// answered Unknown to a query.
	Page uint8
	// Attempt is the number of the search for the flow, from 0.
	Attempt uint8
	// MustAdmit is true if the agent has to admit a new flow whatever its load.
	MustAdmit bool
	// FreeSlot is true if an agent without a free slot passes a new flow on, unless MustAdmit is
	// set. Agents of older programs admit one more flow than they have slots.
	FreeSlot bool
	// Hop is the index of the candidate that the datagram is addressed to; below Count.
	Hop uint8
	// Count is the number of valid candidates.
	Count uint8
	// ListVersion is the version of the balancer's list of agents from which the candidates
	// were chosen.
	ListVersion uint16
	// Class holds the properties of the requests of the flow.
	Class Class
	// Service is the numeric identifier of the service.
	Service uint32
	// Balancer is the address that receives reports and returned packets.
	Balancer netip.AddrPort
	// Best is the index of the candidate with the shortest delay so far, or NoBest.
	Best uint8
	// BestDelayMillis is the expected delay at that candidate, in milliseconds.
	BestDelayMillis uint16
	// Candidates are in order of preference.
	Candidates [MaxCandidates]Candidate
}

// Len returns the encoded length, in bytes.
func (e *Envelope) Len() int {
	return HeaderLen + int(e.Count)*candidateLen
}

// Clear resets the envelope to its zero value. It clears only the valid candidates, which
// is cheaper than a new envelope.
func (e *Envelope) Clear() {
	clear(e.Candidates[:e.Count])
	e.Kind, e.Cached, e.Direct, e.More, e.MustAdmit, e.FreeSlot = 0, false, false, false, false, false
	e.Page, e.Attempt, e.ListVersion, e.Hop, e.Count = 0, 0, 0, 0, 0
	e.Class, e.Service, e.Balancer, e.Best, e.BestDelayMillis = Class{}, 0, netip.AddrPort{}, 0, 0
}

// Append adds a candidate. It does nothing if the list is full.
func (e *Envelope) Append(c Candidate) {
	if int(e.Count) < MaxCandidates {
		e.Candidates[e.Count] = c
		e.Count++
	}
}

// Self returns the candidate that the datagram is addressed to.
func (e *Envelope) Self() Candidate {
	return e.Candidates[e.Hop]
}

// Put writes the envelope into b, which holds at least Len bytes.
func (e *Envelope) Put(b []byte) {
	b[0] = magic
	b[kindOffset] = byte(e.Kind)
	b[flagsOffset] = flag(e.Cached, cachedFlag) | flag(e.MustAdmit, mustAdmitFlag) | flag(e.Class.Once, onceFlag) | flag(e.More, moreFlag) |
		flag(e.Direct, directFlag) | flag(e.FreeSlot, freeSlotFlag)
	b[pageOffset], b[attemptOffset] = e.Page, e.Attempt
	binary.BigEndian.PutUint16(b[listVersionOffset:], e.ListVersion)
	b[hopOffset] = e.Hop
	b[countOffset] = e.Count
	b[priorityOffset] = e.Class.Priority
	binary.BigEndian.PutUint16(b[targetOffset:], e.Class.TargetMillis)
	binary.BigEndian.PutUint16(b[timeoutOffset:], e.Class.TimeoutMillis)
	binary.BigEndian.PutUint32(b[serviceOffset:], e.Service)
	putAddr(b[balancerOffset:], e.Balancer)
	b[bestOffset] = e.Best
	binary.BigEndian.PutUint16(b[bestDelayOffset:], e.BestDelayMillis)
	for i, c := range e.Candidates[:e.Count] {
		at := b[HeaderLen+i*candidateLen:]
		putAddr(at, c.Agent)
		at[addrLen] = c.Slots
	}
}

// Parse decodes an envelope into e and returns the packet that follows it. It returns false
// if the datagram is of another kind, truncated or invalid; e may then be partly overwritten.
func (e *Envelope) Parse(b []byte) (rest []byte, ok bool) {
	kind, ok := KindOf(b)
	if !ok || kind > NotFound || len(b) < HeaderLen {
		return nil, false
	}
	e.Kind = kind
	e.Cached = b[flagsOffset]&cachedFlag != 0
	e.MustAdmit = b[flagsOffset]&mustAdmitFlag != 0
	e.More = b[flagsOffset]&moreFlag != 0
	e.Direct = b[flagsOffset]&directFlag != 0
	e.FreeSlot = b[flagsOffset]&freeSlotFlag != 0
	e.Page, e.Attempt = b[pageOffset], b[attemptOffset]
	e.ListVersion = binary.BigEndian.Uint16(b[listVersionOffset:])
	e.Hop, e.Count = b[hopOffset], b[countOffset]
	if e.Count > MaxCandidates || e.Hop >= e.Count || len(b) < e.Len() {
		return nil, false
	}
	e.Class = Class{
		Priority:      b[priorityOffset],
		TargetMillis:  binary.BigEndian.Uint16(b[targetOffset:]),
		TimeoutMillis: binary.BigEndian.Uint16(b[timeoutOffset:]),
		Once:          b[flagsOffset]&onceFlag != 0,
	}
	e.Service = binary.BigEndian.Uint32(b[serviceOffset:])
	e.Balancer = addr(b[balancerOffset:])
	e.Best = b[bestOffset]
	if e.Best != NoBest && e.Best >= e.Count {
		return nil, false
	}
	e.BestDelayMillis = binary.BigEndian.Uint16(b[bestDelayOffset:])
	for i := range e.Candidates[:e.Count] {
		at := b[HeaderLen+i*candidateLen:]
		e.Candidates[i] = Candidate{Agent: addr(at), Slots: at[addrLen]}
	}
	return b[e.Len():], true
}

// KindOf returns the kind of a datagram; false if it is none of this protocol.
func KindOf(b []byte) (Kind, bool) {
	if len(b) < 2 || b[0] != magic || b[kindOffset] < byte(Forward) || b[kindOffset] > byte(ReadingDone) {
		return 0, false
	}
	return Kind(b[kindOffset]), true
}

func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func putAddr(b []byte, a netip.AddrPort) {
	if a.Addr().Is4() {
		ip := a.Addr().As4()
		copy(b, ip[:])
	} else {
		clear(b[:4])
	}
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func addr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
