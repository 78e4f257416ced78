// Package answer defines the preface that begins every answer of an agent to a request.
package answer

// Reason is the reason for which an agent refuses a request.
type Reason string

// Reasons for a refusal.
const (
	WrongService Reason = "wrongService"
	BadPreface   Reason = "badPreface"
	Full         Reason = "full"
	Late         Reason = "late"
	Unreachable  Reason = "unreachable"
	Draining     Reason = "draining"
	Shed         Reason = "shed"
)

// Preface is the first message of an answer, encoded as length-prefixed CBOR. If Granted is
// true, it is sent before the first byte of the request is sent to a backend server. If Granted
// is false, it proves that no byte ever will be.
type Preface struct {
	// Granted is true if the agent is about to send the request to a backend server.
	Granted bool `cbor:"1,keyasint"`
	// Reason is empty if Granted is true.
	Reason Reason `cbor:"2,keyasint,omitempty"`
	// VM is the name of the backend server VM that serves the request, or that refused it.
	VM string `cbor:"3,keyasint,omitempty"`
}
