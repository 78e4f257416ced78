// Package handover moves one request from the agent that holds the flow to a
// peer agent of the same service. The peer first reserves a slot and receives no
// byte of the request before both sides have committed, so a lost or expired
// reservation proves that the request was not run.
package handover

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Timing of a reservation.
const (
	// ServerLease is how long a peer keeps a granted reservation without commit.
	ServerLease = 2 * time.Second
	// ClientLease is how long after the grant the agent that holds the flow may
	// commit. It is shorter than ServerLease by more than the longest network
	// delay between the two agents.
	ClientLease = 1500 * time.Millisecond
	// connectTimeout limits the TCP handshake with a peer.
	connectTimeout = 500 * time.Millisecond
	// answerMargin plus the wait for a slot limits the wait for the reply.
	answerMargin = time.Second
)

// Bytes that commit a granted reservation or refuse the commit.
const (
	// commitByte starts the request.
	commitByte = 'C'
	// startedByte confirms the commit and precedes the answer.
	startedByte = 'S'
	// expiredByte refuses a commit after the lease; the request was not run.
	expiredByte = 'X'
)

// Offer is the message that requests a slot of a peer.
type Offer struct {
	// Preface is the caller's request preface.
	Preface request.Preface `cbor:"1,keyasint"`
	// Caller is the caller's address, as text.
	Caller netip.AddrPort `cbor:"2,keyasint"`
	// Address is the service address, as text.
	Address netip.AddrPort `cbor:"3,keyasint"`
	// Load is the load report of the sender.
	Load load.Report `cbor:"5,keyasint"`
	// WaitMs is how long the request may wait for a slot, in milliseconds.
	WaitMs uint32 `cbor:"4,keyasint"`
}

// Reply is the reply to an offer.
type Reply struct {
	// Answer states whether a slot is reserved, or why not.
	Answer answer.Preface `cbor:"1,keyasint"`
	// Load is the load report of the sender.
	Load load.Report `cbor:"2,keyasint"`
}
