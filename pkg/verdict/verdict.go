// Package verdict defines whether a request was executed, may have been or was not, and encodes
// this in QUIC stream error codes.
package verdict

import "github.com/quic-go/quic-go"

// Verdict states whether a request may have been executed by a backend server.
type Verdict uint8

// Verdicts. Their numbers are part of the stream error codes.
const (
	// MayHaveRun means that execution cannot be excluded. It is the zero value: everything else
	// needs proof.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached a backend server and none ever will.
	NotRun
	// Ran means that a backend server answered the request.
	Ran
)

// streamCodeBase is the first QUIC application error code that carries a verdict.
const streamCodeBase quic.StreamErrorCode = 0x100

// String returns the name used in logs, metrics and reports.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "mayHaveRun"
	}
}

// StreamCode returns the QUIC stream error code that carries the verdict.
func (v Verdict) StreamCode() quic.StreamErrorCode {
	return streamCodeBase + quic.StreamErrorCode(v)
}

// FromStreamCode returns the verdict that a stream error code carries. Unknown codes prove
// nothing and give MayHaveRun.
func FromStreamCode(code quic.StreamErrorCode) Verdict {
	v := code - streamCodeBase
	if code < streamCodeBase || v > quic.StreamErrorCode(Ran) {
		return MayHaveRun
	}
	return Verdict(v)
}

// SafeToRepeat reports whether a request that must run at most once may be sent again.
func (v Verdict) SafeToRepeat() bool {
	return v == NotRun
}
