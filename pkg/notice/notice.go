// Package notice defines what an agent tells a caller about the flow itself.
package notice

// Kind names what a notice is about.
type Kind string

// Moved asks the caller to open a successor flow before it leaves this one.
// Requests in progress end on this flow.
const Moved Kind = "moved"

// Notice is the only message of a unidirectional stream from agent to caller,
// encoded as length-prefixed CBOR.
type Notice struct {
	// Kind tells what the caller should do; unknown kinds are ignored.
	Kind Kind `cbor:"1,keyasint"`
	// GraceMs is how long the flow stays open for work in progress, in milliseconds.
	GraceMs uint64 `cbor:"2,keyasint,omitempty"`
}
