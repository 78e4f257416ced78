// Package steer encodes the datagrams that balancers and agents exchange about
// packet flows: packets on their way to an agent, and what agents tell of them.
package steer

import (
	"encoding/binary"
	"net/netip"
)

// magic is the first byte of every datagram.
const magic = 0xb7

// Kind tells what a datagram is.
type Kind uint8

// Kinds of datagrams.
const (
	// Forward carries a caller's packet to an agent.
	Forward Kind = iota + 1
	// Return carries a packet back to its balancer: the agent, or every agent of a
	// page, does not hold the flow.
	Return
	// Lost tells a balancer that no candidate holds the flow of a packet.
	Lost
	// Report tells a balancer the load of an agent, and that it holds a flow.
	Report
	// Ping asks an agent for a report.
	Ping
	// Digest tells another balancer how recent the sender's catalog is.
	Digest
	// Query asks an agent which of some flows it holds, and Answer tells.
	Query
	Answer
)

// Sizes, in bytes.
const (
	// MaxCandidates is the longest list of candidates.
	MaxCandidates = 32
	// HeaderLen is the length of an envelope without candidates.
	HeaderLen = 27
	// MaxLen is the length of an envelope with a full list of candidates.
	MaxLen = HeaderLen + MaxCandidates*candidateLen

	candidateLen = addrLen + 1
	addrLen      = 6
)

// Offsets of the fixed fields.
const (
	kindOffset      = 1
	flagsOffset     = 2
	hopOffset       = 3
	countOffset     = 4
	priorityOffset  = 5
	targetOffset    = 6
	timeoutOffset   = 8
	serviceOffset   = 10
	balancerOffset  = 14
	bestOffset      = 20
	bestDelayOffset = 21
	pageOffset      = 23
	attemptOffset   = 24
	listOffset      = 25
)

// Flags of an envelope.
const (
	cachedFlag = 1 << iota
	completeFlag
	takeFlag
	onceFlag
	moreFlag
	partialFlag
	asideFlag
)

// Candidate is an agent that may hold or take a flow.
type Candidate struct {
	// Agent is the address of the agent.
	Agent netip.AddrPort
	// Slots is how many requests its backend server runs at a time; 0 if unknown.
	Slots uint8
}

// Class is what the route of a flow says of its requests.
type Class struct {
	// Priority orders requests; 0 is the highest.
	Priority uint8
	// TargetMillis is the response-time objective, in milliseconds.
	TargetMillis uint16
	// TimeoutMillis is the time after which an answer is worthless, in milliseconds.
	TimeoutMillis uint16
	// Once is true if a request must not run twice.
	Once bool
}

// NoBest marks an envelope in which no agent has told its delay yet.
const NoBest = 0xff

// Envelope precedes a caller's packet between balancers and agents.
type Envelope struct {
	// Kind is Forward, Return or Lost.
	Kind Kind
	// Cached is true if the balancer remembers the agent for this flow.
	Cached bool
	// Complete is true if, with the candidates of this page, all agents of the
	// service have been asked.
	Complete bool
	// Partial is true if this page or one before passed over an agent whose server
	// may hold the flow.
	Partial bool
	// Aside is true for a copy to one agent beside a search along the others.
	Aside bool
	// More is true if further agents may hold the flow.
	More bool
	// Page is 0 while likely holders are searched, and 1 past agents that could not tell.
	Page uint8
	// Attempt numbers the searches for the flow, from 0.
	Attempt uint8
	// Take is true if the agent is to take a new flow whatever its load.
	Take bool
	// Hop is the index of the candidate that the datagram is addressed to; below Count.
	Hop uint8
	// Count is the number of valid candidates.
	Count uint8
	// List tells which list of agents the candidates belong to.
	List uint16
	// Class describes the requests of the flow.
	Class Class
	// Service is the numeric identity of the service.
	Service uint32
	// Balancer is where reports and returned packets go.
	Balancer netip.AddrPort
	// Best is the index of the candidate with the shortest delay so far, or NoBest.
	Best uint8
	// BestDelayMillis is the delay that it told, in milliseconds.
	BestDelayMillis uint16
	// Candidates are in order of preference.
	Candidates [MaxCandidates]Candidate
}

// Len returns the encoded length.
func (e *Envelope) Len() int {
	return HeaderLen + int(e.Count)*candidateLen
}

// Clear empties the envelope. It leaves what lies behind the list of candidates
// as it is, which is cheaper than a new envelope.
func (e *Envelope) Clear() {
	clear(e.Candidates[:e.Count])
	e.Kind, e.Cached, e.Complete, e.Partial, e.Aside, e.More, e.Take = 0, false, false, false, false, false, false
	e.Page, e.Attempt, e.List, e.Hop, e.Count = 0, 0, 0, 0, 0
	e.Class, e.Service, e.Balancer, e.Best, e.BestDelayMillis = Class{}, 0, netip.AddrPort{}, 0, 0
}

// Append adds a candidate. A full list is left as it is.
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
	b[flagsOffset] = flag(e.Cached, cachedFlag) | flag(e.Complete, completeFlag) | flag(e.Take, takeFlag) | flag(e.Class.Once, onceFlag) | flag(e.More, moreFlag) |
		flag(e.Partial, partialFlag) | flag(e.Aside, asideFlag)
	b[pageOffset], b[attemptOffset] = e.Page, e.Attempt
	binary.BigEndian.PutUint16(b[listOffset:], e.List)
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

// Parse decodes an envelope into e and returns the packet that follows it.
func (e *Envelope) Parse(b []byte) (rest []byte, ok bool) {
	kind, ok := KindOf(b)
	if !ok || kind > Lost || len(b) < HeaderLen {
		return nil, false
	}
	e.Kind = kind
	e.Cached = b[flagsOffset]&cachedFlag != 0
	e.Complete = b[flagsOffset]&completeFlag != 0
	e.Take = b[flagsOffset]&takeFlag != 0
	e.More = b[flagsOffset]&moreFlag != 0
	e.Partial = b[flagsOffset]&partialFlag != 0
	e.Aside = b[flagsOffset]&asideFlag != 0
	e.Page, e.Attempt = b[pageOffset], b[attemptOffset]
	e.List = binary.BigEndian.Uint16(b[listOffset:])
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

// KindOf returns the kind of a datagram.
func KindOf(b []byte) (Kind, bool) {
	if len(b) < 2 || b[0] != magic || b[kindOffset] < byte(Forward) || b[kindOffset] > byte(Answer) {
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
