// Package request defines the preface that begins every request stream.
package request

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind determines how a request may be scheduled and repeated.
type Kind string

// Kinds of requests.
const (
	// Session is a stream that may stay open for hours. It takes a connection but no slot.
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
	// TimeoutMs is the time left until the deadline of the answer, in milliseconds; 0 means no
	// deadline.
	TimeoutMs uint32 `cbor:"4,keyasint,omitempty"`
	// Offset is the number of answer bytes that the caller of a resumed session already has.
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

// Check returns an error that names the first invalid field, or nil.
func (p Preface) Check() error {
	if p.Service == "" || len(p.Service) > MaxServiceLen {
		return merry.Errorf("service: %d bytes, want 1 to %d", len(p.Service), MaxServiceLen)
	}
	if !p.Kind.Valid() {
		return merry.Errorf("kind: %q is not session, once or repeatable", string(p.Kind))
	}
	if len(p.Key) > MaxKeyLen {
		return merry.Errorf("key: %d bytes, want at most %d", len(p.Key), MaxKeyLen)
	}
	if p.Kind == Once && p.Key == "" {
		return merry.New("key: missing, required for a once request")
	}
	return nil
}

// Timeout returns the time left until the deadline, and false if there is no deadline.
func (p Preface) Timeout() (time.Duration, bool) {
	return time.Duration(p.TimeoutMs) * time.Millisecond, p.TimeoutMs > 0
}

// WithTimeout returns a copy in which d is left until the deadline, rounded up to a whole
// millisecond.
func (p Preface) WithTimeout(d time.Duration) Preface {
	p.TimeoutMs = uint32((d + time.Millisecond - 1) / time.Millisecond)
	return p
}
