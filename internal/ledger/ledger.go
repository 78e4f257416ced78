// Package ledger keeps the highest accepted revision of every published entry.
package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// Outcome tells what became of an offered entry.
type Outcome uint8

// Outcomes of an offer.
const (
	// Stale entries are older than, or the same as, the one in force.
	Stale Outcome = iota
	// Accepted entries are in force.
	Accepted
	// Refused entries have faults; the one before stays in force.
	Refused
)

// Ledger keeps the highest accepted revision of every entry. A revision in
// force is never replaced by a lower one. It is safe for concurrent use.
type Ledger struct {
	clock clockwork.Clock

	mu sync.RWMutex
	// accepted holds the entry in force for each key.
	accepted map[string]accepted
	// refused holds, for each key, the highest refused entry above the accepted one.
	refused map[string]refused
	// buckets hold the exclusive or of the sums of all refs, accepted and
	// refused, by key hash.
	buckets [Buckets]uint64
	// conflicts counts offers of another text under the revision in force.
	conflicts uint64
	// lowered counts offers below the revision in force.
	lowered uint64
	// changed is closed and replaced at every change.
	changed chan struct{}
	// index grows with every accepted or refused entry.
	index uint64
}

type accepted struct {
	entry entry.Entry
	value entry.Value
	ref   entry.Ref
	since time.Time
	// index is the ledger's index after acceptance.
	index uint64
}

type refused struct {
	refusal Refusal
	ref     entry.Ref
	index   uint64
}

// Refusal is an entry that was refused.
type Refusal struct {
	// Entry is the refused entry.
	Entry entry.Entry
	// Faults is never empty.
	Faults []fault.Fault
	// Since is when the entry was first refused here.
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
