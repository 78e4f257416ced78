// Package load defines the load report that the agents of one service send each
// other periodically.
package load

import (
	"net/netip"
	"time"
)

// State is whether an agent accepts work.
type State string

// States of agents.
const (
	Up       State = "up"
	Draining State = "draining"
	Down     State = "down"
)

// Report is the load of one backend server, measured by its agent.
type Report struct {
	// Agent is the address of the agent.
	Agent netip.AddrPort `json:"a" cbor:"1,keyasint"`
	// State is whether the agent accepts work.
	State State `json:"s" cbor:"2,keyasint"`
	// Slots is how many requests may run concurrently.
	Slots int `json:"n" cbor:"3,keyasint"`
	// Used is how many requests run.
	Used int `json:"u" cbor:"4,keyasint"`
	// Queued is how many requests wait.
	Queued int `json:"q" cbor:"5,keyasint"`
	// MeanServiceMicros is the mean service time, in microseconds; 0 if unknown.
	MeanServiceMicros int64 `json:"t" cbor:"6,keyasint"`
	// Utilisation is the mean share of used slots, weighted to the last seconds,
	// from 0 to 1.
	Utilisation float64 `json:"z" cbor:"7,keyasint"`
	// Queue is how many requests may wait.
	Queue int `json:"l" cbor:"8,keyasint"`
	// Age is the time since the report was received; 0 for the agent's own load.
	Age time.Duration `json:"-" cbor:"-"`
}

// MeanService returns the mean service time.
func (r Report) MeanService() time.Duration {
	return time.Duration(r.MeanServiceMicros) * time.Microsecond
}

// ExpectedWait estimates how long one more request would wait for a slot.
func (r Report) ExpectedWait() time.Duration {
	if r.Used < r.Slots && r.Queued == 0 {
		return 0
	}
	return r.MeanService() * time.Duration(r.Queued+1) / time.Duration(max(r.Slots, 1))
}

// Limits of the age at which the report of a full backend server becomes stale.
const (
	minStaleAge = 5 * time.Millisecond
	maxStaleAge = 250 * time.Millisecond
)

// MayHaveSlot reports whether a slot may be free: one was free at the time of the
// report, or the report is stale. This limits how often a full backend server
// receives offers, at any load.
func (r Report) MayHaveSlot() bool {
	return r.Used < r.Slots && r.Queued == 0 || r.stale()
}

// MayQueue reports whether one more request may wait: the queue was not full at
// the time of the report, or the report is stale.
func (r Report) MayQueue() bool {
	return r.Queued < r.Queue || r.stale()
}

// stale reports whether a slot has probably become free since the report: the
// report is older than the mean interval between completed requests, within the
// limits above.
func (r Report) stale() bool {
	slotInterval := r.MeanService() / time.Duration(max(r.Slots, 1))
	return r.Age > min(max(slotInterval, minStaleAge), maxStaleAge)
}
