// Package packet defines flows and the decoded packets of their transport protocol, which
// runs between caller and backend server. Balancers and agents forward these packets
// unchanged, but for the marks that a Codec writes and removes.
package packet

import (
	"encoding/binary"
	"net/netip"
)

// Flow identifies a flow by its two endpoints. All addresses are IPv4.
type Flow struct {
	// CallerIP and CallerPort are the caller's address.
	CallerIP   [4]byte
	CallerPort uint16
	// ServiceIP and ServicePort are the service address that the caller uses.
	ServiceIP   [4]byte
	ServicePort uint16
}

// FlowLen is the length of an encoded flow, in bytes.
const FlowLen = 12

// Caller returns the caller's address.
func (f Flow) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.CallerIP), f.CallerPort)
}

// Service returns the service address.
func (f Flow) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.ServiceIP), f.ServicePort)
}

// String returns the flow as CALLER>SERVICE, the form in which all logs name it.
func (f Flow) String() string {
	return f.Caller().String() + ">" + f.Service().String()
}

// Put writes the flow into the first FlowLen bytes of b.
func (f Flow) Put(b []byte) {
	copy(b, f.CallerIP[:])
	copy(b[4:], f.ServiceIP[:])
	binary.BigEndian.PutUint16(b[8:], f.CallerPort)
	binary.BigEndian.PutUint16(b[10:], f.ServicePort)
}

// ParseFlow decodes a flow that Put wrote. b holds at least FlowLen bytes.
func ParseFlow(b []byte) Flow {
	return Flow{
		CallerIP:    [4]byte(b[:4]),
		ServiceIP:   [4]byte(b[4:8]),
		CallerPort:  binary.BigEndian.Uint16(b[8:]),
		ServicePort: binary.BigEndian.Uint16(b[10:]),
	}
}

// Packet is the decoded header of a datagram.
type Packet struct {
	// SourceIP and SourcePort are the sender's address.
	SourceIP   [4]byte
	SourcePort uint16
	// DestinationIP and DestinationPort are the receiver's address.
	DestinationIP   [4]byte
	DestinationPort uint16
	// Syn, Ack, Fin and Reset are the flags of the transport protocol.
	Syn, Ack, Fin, Reset bool
	// Bounced is set by a backend server on a packet that it returns because it does not hold
	// the flow.
	Bounced bool
	// Tag is a number that the agent writes, to recognise the packet if it is bounced.
	Tag uint32
	// Seq is the sequence number of the first byte of the data, or of the SYN or FIN itself.
	Seq uint32
	// AckSeq is the sequence number that the sender expects next. On a SYN it is the number
	// of copies sent before.
	AckSeq uint32
	// Data is the payload; it shares memory with the datagram.
	Data []byte
}

// FlowFromCaller returns the flow of a packet that a caller sent.
func (p Packet) FlowFromCaller() Flow {
	return Flow{CallerIP: p.SourceIP, CallerPort: p.SourcePort, ServiceIP: p.DestinationIP, ServicePort: p.DestinationPort}
}

// FlowFromServer returns the flow of a packet that a backend server sent.
func (p Packet) FlowFromServer() Flow {
	return Flow{CallerIP: p.DestinationIP, CallerPort: p.DestinationPort, ServiceIP: p.SourceIP, ServicePort: p.SourcePort}
}

// NextSeq returns the sequence number that follows the packet; a SYN or FIN takes one.
func (p Packet) NextSeq() uint32 {
	next := p.Seq + uint32(len(p.Data))
	if p.Syn || p.Fin {
		next++
	}
	return next
}

// Codec decodes, marks and encodes datagrams of one wire format.
type Codec struct {
	// Parse decodes a datagram; it returns false if the datagram is not of this format.
	Parse func(raw []byte) (Packet, bool)
	// PutTag writes the tag into a datagram that Parse accepted.
	PutTag func(raw []byte, tag uint32)
	// ClearMarks removes the tag and the mark of a bounce, which restores the datagram as its
	// sender wrote it.
	ClearMarks func(raw []byte)
	// PutReset writes a reset from the service address to the caller into buf, with the given
	// sequence number, and returns its length. buf holds at least ResetLen bytes.
	PutReset func(buf []byte, f Flow, seq uint32) int
}

// ResetLen is an upper bound of the length of a reset in any format, in bytes.
const ResetLen = 64

// SeqAfter reports whether sequence number a comes after b, modulo 2^32.
func SeqAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
