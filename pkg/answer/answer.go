// Package answer defines the preface that opens every answer.
package answer

// Reason names why a request was refused.
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

// Preface is the first message of an answer, encoded as length-prefixed CBOR.
// It is sent before the first byte of the request goes to a backend server if
// Granted is true, and proves that none will if Granted is false.
type Preface struct {
	// Granted is true if the request is being handed to a backend server.
	Granted bool `cbor:"1,keyasint"`
	// Reason is empty if Granted is true.
	Reason Reason `cbor:"2,keyasint,omitempty"`
	// VM names the backend server VM that serves the request, or that refused it.
	VM string `cbor:"3,keyasint,omitempty"`
}
