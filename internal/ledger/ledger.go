// Package ledger stores the highest accepted revision of every published entry, and sums
// by which two processes compare what they store.
package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// Outcome is the result of an offer.
type Outcome uint8

// Outcomes of an offer.
const (
	// Stale entries do not supersede the recorded one of their key and change nothing.
	Stale Outcome = iota
	// Accepted entries are in force.
	Accepted
	// Refused entries have faults; the former entry stays in force.
	Refused
)

// Ledger stores the highest accepted revision of every entry. A revision in force is
// never replaced by a lower one. It is safe for concurrent use.
type Ledger struct {
	clock clockwork.Clock

	mu sync.RWMutex
	// accepted holds the entry in force for each key.
	accepted map[string]accepted
	// refused holds, for each key, the highest refused entry above the accepted one.
	refused map[string]refused
	// buckets hold, by the hash of the key, the exclusive or of the sums of all refs,
	// accepted and refused.
	buckets [Buckets]uint64
	// conflicts counts offers with the revision in force but another text.
	conflicts uint64
	// lowered counts offers with a revision lower than the one in force.
	lowered uint64
	// changed is closed and replaced on every change.
	changed chan struct{}
	// index increases by 1 with every accepted or refused entry.
	index uint64
}

type accepted struct {
	entry entry.Entry
	value entry.Value
	ref   entry.Ref
	since time.Time
	// index is the index of the ledger after the entry was accepted.
	index uint64
}

type refused struct {
	refusal Refusal
	ref     entry.Ref
	index   uint64
}

// Refusal is a refused entry with the reasons.
type Refusal struct {
	// Entry is the refused entry.
	Entry entry.Entry
	// Faults holds at least one fault.
	Faults []fault.Fault
	// Since is the local time at which the entry was first refused.
	Since time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(clock clockwork.Clock) *Ledger {
	return &Ledger{
		clock:    clock,
		accepted: make(map[string]accepted),
		refused:  make(map[string]refused),
		changed:  make(chan struct{}),
	}
}
