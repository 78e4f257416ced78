// Package absence holds the rule by which a balancer may state that no backend server holds a
// flow. The statement resets the flow at its caller, so any doubt forbids it: a caller that
// receives nothing repeats its packet, and an open flow survives.
package absence

import "time"

// Evidence is what a balancer knows about a flow for which it has found no holder.
type Evidence struct {
	// OpenSince is when the first packet arrived that only an open flow sends. A server that
	// holds the flow was registered at the platform before.
	OpenSince time.Time
	// ListReadSince is a time by this balancer's own clock after which the list of the queried agents
	// was read from the platform for certain; zero if there is none. The age that another balancer
	// states is no such time: its message may have waited.
	ListReadSince time.Time
	// ListConfirmed is true if the list, together with the entries that expired recently, holds
	// every server that ran at ListReadSince.
	ListConfirmed bool
	// Interrupted is true if entries of live servers may be missing from the list because the
	// platform was unavailable, or returned from a backup, a moment ago.
	Interrupted bool
	// AllDenied is true if every agent that answers has denied the flow, of all services to which
	// its route has led for as long as a flow may last, or of any if that is unknown.
	AllDenied bool
	// SilentMayHold is true if one of these agents does not answer although its server may live.
	SilentMayHold bool
}

// Doubt is a reason why a server may hold a flow although none was found.
type Doubt string

// Doubts, in the order in which Doubt returns them.
const (
	// None means that no server holds the flow.
	None Doubt = ""
	// UnaskedAgent means that an agent has not denied the flow, or cannot tell.
	UnaskedAgent Doubt = "unaskedAgent"
	// SilentAgent means that an agent which does not answer may hold the flow.
	SilentAgent Doubt = "silentAgent"
	// UnconfirmedList means that the list may lack servers which run.
	UnconfirmedList Doubt = "unconfirmedList"
	// InterruptedList means that the list may lack entries which are about to return.
	InterruptedList Doubt = "interruptedList"
	// StaleList means that the list may be older than the server of the flow.
	StaleList Doubt = "staleList"
)

// Doubt returns the first reason why a server may hold the flow, or None.
func (e Evidence) Doubt() Doubt {
	switch {
	case !e.AllDenied:
		return UnaskedAgent
	case e.SilentMayHold:
		return SilentAgent
	case !e.ListConfirmed:
		return UnconfirmedList
	case e.Interrupted:
		return InterruptedList
	case e.OpenSince.IsZero() || !e.ListReadSince.After(e.OpenSince):
		return StaleList
	default:
		return None
	}
}
