// Package handover moves one request from the agent that holds the flow to a
// peer agent of the same service. The peer reserves a slot first and gets no
// byte of the request before both sides committed, so a lost or expired
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
	// ClientLease is how long the holder of the flow may commit; it is shorter
	// by more than the longest way between the two.
	ClientLease = 1500 * time.Millisecond
	// connectTimeout bounds the TCP handshake with a peer.
	connectTimeout = 500 * time.Millisecond
	// answerMargin is added to the wait for a slot to bound the wait for the answer.
	answerMargin = time.Second
)

// Bytes that settle a granted reservation.
const (
	// commitByte starts the request.
	commitByte = 'C'
	// startedByte confirms the commit and precedes the answer.
	startedByte = 'S'
	// expiredByte refuses a commit that came after the lease; the request was not run.
	expiredByte = 'X'
)

// Offer asks a peer to reserve a slot.
type Offer struct {
	// Preface is the caller's request preface.
	Preface request.Preface `cbor:"1,keyasint"`
	// Caller is the caller's address, as text.
	Caller netip.AddrPort `cbor:"2,keyasint"`
	// Address is the service address, as text.
	Address netip.AddrPort `cbor:"3,keyasint"`
	// Load is the load of the agent that asks.
	Load load.Report `cbor:"5,keyasint"`
	// WaitMs is how long the request may wait for a slot, in milliseconds.
	WaitMs uint32 `cbor:"4,keyasint"`
}

// Reply answers an offer.
type Reply struct {
	// Answer tells whether a slot is reserved.
	Answer answer.Preface `cbor:"1,keyasint"`
	// Load is the load of the agent that answers.
	Load load.Report `cbor:"2,keyasint"`
}
