// Package envelope encodes and decodes the header that precedes every QUIC datagram between the
// fabric, the balancers and the agents.
package envelope

import (
	"encoding/binary"
	"net/netip"
)

// version is the first byte of every envelope.
const version = 0xb1

// Sizes, in bytes.
const (
	// MaxCandidates is the largest number of agents listed in the envelope of a new flow.
	MaxCandidates = 6
	// MinLen is the length of an envelope without candidates.
	MinLen = 1 + 3*addrLen + 4 + 3
	// MaxLen is the length of an envelope with a full list of candidates.
	MaxLen = MinLen + MaxCandidates*addrLen

	addrLen = 6
)

// Offsets of the fixed fields, in bytes.
const (
	callerOffset  = 1
	addressOffset = callerOffset + addrLen
	viaOffset     = addressOffset + addrLen
	serviceOffset = viaOffset + addrLen
	hopsOffset    = serviceOffset + 4
	countOffset   = hopsOffset + 1
	flagsOffset   = countOffset + 1
)

// newFlowFlag is the flag of datagrams that may open a flow.
const newFlowFlag = 1

// Envelope identifies the caller and the service of the datagram that follows it and, for a new
// flow, lists the agents that may accept it. All addresses are IPv4.
type Envelope struct {
	// Caller is the address of the caller's socket.
	Caller netip.AddrPort
	// Address is the service address that the caller uses.
	Address netip.AddrPort
	// Via is the balancer that received the datagram, or through which an answer is sent;
	// unset between fabric and balancer.
	Via netip.AddrPort
	// Service is the numeric ID of the service; 0 between fabric and balancer.
	Service uint32
	// Hops is the number of agents that forwarded a new flow to the next candidate; at most
	// Count.
	Hops uint8
	// Count is the number of valid entries in Candidates.
	Count uint8
	// NewFlow is true if the datagram carries no connection ID of an agent.
	NewFlow bool
	// Candidates lists the agents in order of preference.
	Candidates [MaxCandidates]netip.AddrPort
}

// WithHop returns a copy with one more hop.
func (e Envelope) WithHop() Envelope {
	e.Hops++
	return e
}

// WithCandidate returns a copy with one more candidate, or an unchanged copy if the list is
// full.
func (e Envelope) WithCandidate(agent netip.AddrPort) Envelope {
	if e.Count < MaxCandidates {
		e.Candidates[e.Count] = agent
		e.Count++
	}
	return e
}

// Next returns the candidate after the present one, and false if there is none.
func (e Envelope) Next() (netip.AddrPort, bool) {
	if e.Hops+1 >= e.Count {
		return netip.AddrPort{}, false
	}
	return e.Candidates[e.Hops+1], true
}

// Len returns the encoded length, in bytes.
func (e *Envelope) Len() int {
	return MinLen + int(e.Count)*addrLen
}

// Put encodes the envelope into b, which must hold Len bytes.
func (e *Envelope) Put(b []byte) {
	b[0] = version
	putAddr(b[callerOffset:], e.Caller)
	putAddr(b[addressOffset:], e.Address)
	putAddr(b[viaOffset:], e.Via)
	binary.BigEndian.PutUint32(b[serviceOffset:], e.Service)
	b[hopsOffset] = e.Hops
	b[countOffset] = e.Count
	b[flagsOffset] = 0
	if e.NewFlow {
		b[flagsOffset] = newFlowFlag
	}
	for i := range int(e.Count) {
		putAddr(b[MinLen+i*addrLen:], e.Candidates[i])
	}
}

// Parse decodes an envelope and returns the datagram behind it, which aliases b.
// It returns false for bytes that Put cannot have produced.
func Parse(b []byte) (e Envelope, datagram []byte, ok bool) {
	if len(b) < MinLen || b[0] != version || b[flagsOffset] > newFlowFlag {
		return Envelope{}, nil, false
	}
	e = Envelope{
		Caller:  getAddr(b[callerOffset:]),
		Address: getAddr(b[addressOffset:]),
		Via:     getAddr(b[viaOffset:]),
		Service: binary.BigEndian.Uint32(b[serviceOffset:]),
		Hops:    b[hopsOffset],
		Count:   b[countOffset],
		NewFlow: b[flagsOffset] == newFlowFlag,
	}
	if e.Count > MaxCandidates || e.Hops > e.Count || len(b) < e.Len() {
		return Envelope{}, nil, false
	}
	for i := range int(e.Count) {
		e.Candidates[i] = getAddr(b[MinLen+i*addrLen:])
	}
	return e, b[e.Len():], true
}

func putAddr(b []byte, a netip.AddrPort) {
	var ip [4]byte
	if a.IsValid() {
		ip = a.Addr().As4()
	}
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func getAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
