// Package request defines the preface that opens every request stream.
package request

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind tells how a request may be scheduled and repeated.
type Kind string

// Kinds of requests.
const (
	// Session is a stream that lives for hours. It takes a connection but no slot.
	Session Kind = "session"
	// Once is a request that must not be repeated. It takes a slot.
	Once Kind = "once"
	// Repeatable is an idempotent request. It takes a slot.
	Repeatable Kind = "repeatable"
)

// Limits of the preface fields.
const (
	// MaxServiceLen is the longest service name, in bytes.
	MaxServiceLen = 64
	// MaxKeyLen is the longest idempotency key, in bytes.
	MaxKeyLen = 128
)

// Preface is the first message of a request stream, encoded as length-prefixed CBOR.
type Preface struct {
	// Service is the name of the section that must serve the request; never empty.
	Service string `cbor:"1,keyasint"`
	// Kind is one of the constants of this package.
	Kind Kind `cbor:"2,keyasint"`
	// Key is the idempotency key chosen by the caller; never empty for Once.
	Key string `cbor:"3,keyasint,omitempty"`
	// TimeoutMs is the time left before the answer is of no use, in milliseconds; 0 means none.
	TimeoutMs uint32 `cbor:"4,keyasint,omitempty"`
	// Offset is the count of answer bytes that a resumed session already holds.
	Offset uint64 `cbor:"5,keyasint,omitempty"`
}

// Valid reports whether the kind is one of the constants of this package.
func (k Kind) Valid() bool {
	return k == Session || k == Once || k == Repeatable
}

// TakesSlot reports whether requests of this kind occupy a slot of a backend server.
func (k Kind) TakesSlot() bool {
	return k != Session
}

// Check returns an error that names the first invalid field.
func (p Preface) Check() error {
	if p.Service == "" || len(p.Service) > MaxServiceLen {
		return merry.Errorf("service: length %d, want 1 to %d", len(p.Service), MaxServiceLen)
	}
	if !p.Kind.Valid() {
		return merry.Errorf("kind: %q is not session, once or repeatable", string(p.Kind))
	}
	if len(p.Key) > MaxKeyLen {
		return merry.Errorf("key: length %d, want at most %d", len(p.Key), MaxKeyLen)
	}
	if p.Kind == Once && p.Key == "" {
		return merry.New("key: missing, a once request needs one")
	}
	return nil
}

// Timeout returns the time left, and false if the request has no deadline.
func (p Preface) Timeout() (time.Duration, bool) {
	return time.Duration(p.TimeoutMs) * time.Millisecond, p.TimeoutMs > 0
}

// WithTimeout returns a copy whose time left is d, rounded up to a millisecond.
func (p Preface) WithTimeout(d time.Duration) Preface {
	p.TimeoutMs = uint32((d + time.Millisecond - 1) / time.Millisecond)
	return p
}
