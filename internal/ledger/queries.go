package ledger

import (
	"slices"
	"strings"
	"time"

	"github.com/dchest/siphash"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Buckets is the number of groups into which keys are hashed for comparison.
const Buckets = 64

// Bucket returns the bucket of a key.
func Bucket(key string) int {
	return int(siphash.Hash(2, 2, []byte(key)) % Buckets)
}

// InForce is an entry in force and the time at which this process accepted it.
type InForce struct {
	// Entry is the accepted entry.
	Entry entry.Entry
	// Value is the parsed text; it must not be modified.
	Value entry.Value
	// Since is the local time of acceptance.
	Since time.Time
}

// Counts are totals of unusual offers since the start.
type Counts struct {
	// Conflicts counts offers with the revision in force but another text.
	Conflicts uint64
	// Lowered counts offers with a revision lower than the one in force.
	Lowered uint64
}

// Get returns the entry in force under the key, and false if there is none.
func (l *Ledger) Get(key string) (entry.Entry, bool) {
	a, ok := l.find(key)
	return a.entry, ok
}

func (l *Ledger) find(key string) (accepted, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	a, ok := l.accepted[key]
	return a, ok
}

// Entries returns the entry in force under the key and the refused one that supersedes it,
// as far as they exist.
func (l *Ledger) Entries(key string) []entry.Entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []entry.Entry
	if a, ok := l.accepted[key]; ok {
		list = append(list, a.entry)
	}
	if r, ok := l.refused[key]; ok {
		list = append(list, r.refusal.Entry)
	}
	return list
}

// Section returns the section in force under the name, and false if there is none.
func (l *Ledger) Section(name string) (section.Section, bool) {
	a, ok := l.find(entry.SectionPrefix + name)
	if !ok {
		return section.Section{}, false
	}
	return *a.value.Section, true
}

// VM returns the VM in force under the name, and false if there is none.
func (l *Ledger) VM(name string) (vm.VM, bool) {
	a, ok := l.find(entry.VMPrefix + name)
	if !ok {
		return vm.VM{}, false
	}
	return *a.value.VM, true
}

// IsNew reports whether an entry with this ref supersedes those in force and refused under
// its key.
func (l *Ledger) IsNew(ref entry.Ref) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if a, ok := l.accepted[ref.Key]; ok && !ref.Supersedes(a.ref) {
		return false
	}
	r, ok := l.refused[ref.Key]
	return !ok || ref.Supersedes(r.ref)
}

// List returns the entries in force whose keys start with the prefix, sorted by key.
func (l *Ledger) List(prefix string) []InForce {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []InForce
	for key, a := range l.accepted {
		if strings.HasPrefix(key, prefix) {
			list = append(list, InForce{Entry: a.entry, Value: a.value, Since: a.since})
		}
	}
	slices.SortFunc(list, func(a, b InForce) int { return strings.Compare(a.Entry.Key, b.Entry.Key) })
	return list
}

// Refs returns the refs of the entries in the given bucket, in force and refused.
func (l *Ledger) Refs(bucket int) []entry.Ref {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var refs []entry.Ref
	for key, a := range l.accepted {
		if Bucket(key) == bucket {
			refs = append(refs, a.ref)
		}
	}
	for key, r := range l.refused {
		if Bucket(key) == bucket {
			refs = append(refs, r.ref)
		}
	}
	return refs
}

// Refusals returns the refused entries that supersede those in force, sorted by key.
func (l *Ledger) Refusals() []Refusal {
	l.mu.RLock()
	defer l.mu.RUnlock()
	list := make([]Refusal, 0, len(l.refused))
	for _, r := range l.refused {
		list = append(list, r.refusal)
	}
	slices.SortFunc(list, func(a, b Refusal) int { return strings.Compare(a.Entry.Key, b.Entry.Key) })
	return list
}

// Sums returns the sum of each bucket. Ledgers with equal content have equal sums.
func (l *Ledger) Sums() [Buckets]uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.buckets
}

// Root returns a hash of the sums of all buckets.
func (l *Ledger) Root() uint64 {
	var root uint64
	for i, s := range l.Sums() {
		root ^= siphash.Hash(uint64(i), 3, []byte{byte(s), byte(s >> 8), byte(s >> 16), byte(s >> 24), byte(s >> 32), byte(s >> 40), byte(s >> 48), byte(s >> 56)})
	}
	return root
}

// Counts returns the totals of unusual offers since the start.
func (l *Ledger) Counts() Counts {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return Counts{Conflicts: l.conflicts, Lowered: l.lowered}
}

// Changed returns a channel that is closed on the next change.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changed
}

// Index returns the index of the latest change. It starts at 0 and is local to the
// process.
func (l *Ledger) Index() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.index
}

// ChangedAfter returns the refs of the entries accepted or refused after the index, and
// the index of the latest change.
func (l *Ledger) ChangedAfter(index uint64) ([]entry.Ref, uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if index == l.index {
		return nil, index
	}
	var refs []entry.Ref
	for _, a := range l.accepted {
		if a.index > index {
			refs = append(refs, a.ref)
		}
	}
	for _, r := range l.refused {
		if r.index > index {
			refs = append(refs, r.ref)
		}
	}
	return refs, l.index
}

// Len returns the number of entries in force.
func (l *Ledger) Len() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.accepted)
}
