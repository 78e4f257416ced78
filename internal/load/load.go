// Package load defines the heartbeat that agents of one service exchange.
package load

import (
	"net/netip"
	"time"
)

// State tells whether an agent takes work.
type State string

// States of agents.
const (
	Up       State = "up"
	Draining State = "draining"
	Down     State = "down"
)

// Report is the load of one backend server as its agent sees it.
type Report struct {
	// Agent is the address of the agent.
	Agent netip.AddrPort `json:"a" cbor:"1,keyasint"`
	// State tells whether the agent takes work.
	State State `json:"s" cbor:"2,keyasint"`
	// Slots is how many requests may run at once.
	Slots int `json:"n" cbor:"3,keyasint"`
	// Used is how many run.
	Used int `json:"u" cbor:"4,keyasint"`
	// Queued is how many wait.
	Queued int `json:"q" cbor:"5,keyasint"`
	// MeanServiceMicros is the mean service time, in microseconds; 0 if unknown.
	MeanServiceMicros int64 `json:"t" cbor:"6,keyasint"`
	// Utilisation is the mean share of used slots over the last seconds, from 0 to 1.
	Utilisation float64 `json:"z" cbor:"7,keyasint"`
	// Queue is how many requests may wait.
	Queue int `json:"l" cbor:"8,keyasint"`
	// Age is the time since the report arrived; 0 for the own load.
	Age time.Duration `json:"-" cbor:"-"`
}

// MeanService returns the mean service time.
func (r Report) MeanService() time.Duration {
	return time.Duration(r.MeanServiceMicros) * time.Microsecond
}

// ExpectedWait returns how long one more request would wait for a slot.
func (r Report) ExpectedWait() time.Duration {
	if r.Used < r.Slots && r.Queued == 0 {
		return 0
	}
	return r.MeanService() * time.Duration(r.Queued+1) / time.Duration(max(r.Slots, 1))
}

// Bounds of the time after which a full server is worth asking again.
const (
	minAskAgain = 5 * time.Millisecond
	maxAskAgain = 250 * time.Millisecond
)

// MayHaveSlot reports whether a slot may be free: one was at the time of the
// report, or the report is old. This bounds how often a full server is asked,
// whatever the load.
func (r Report) MayHaveSlot() bool {
	return r.Used < r.Slots && r.Queued == 0 || r.old()
}

// MayQueue reports whether one more request may wait: there was room at the
// time of the report, or the report is old.
func (r Report) MayQueue() bool {
	return r.Queued < r.Queue || r.old()
}

// old reports whether a slot has probably come free since the report.
func (r Report) old() bool {
	between := r.MeanService() / time.Duration(max(r.Slots, 1))
	return r.Age > min(max(between, minAskAgain), maxAskAgain)
}
