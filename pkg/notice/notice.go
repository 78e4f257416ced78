// Package notice defines the messages that an agent sends to a caller about the flow itself.
package notice

// Kind is the kind of a notice.
type Kind string

// Moved requests that the caller opens a successor flow before it leaves this one. Requests in
// progress end on this flow.
const Moved Kind = "moved"

// Notice is the only message of a unidirectional stream from agent to caller,
// encoded as length-prefixed CBOR.
type Notice struct {
	// Kind determines what the caller should do; callers ignore unknown kinds.
	Kind Kind `cbor:"1,keyasint"`
	// GraceMs is how long the flow stays open for work in progress, in milliseconds.
	GraceMs uint64 `cbor:"2,keyasint,omitempty"`
}
