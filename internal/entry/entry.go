// Package entry defines the unit in which published configuration is fetched from the
// platform and exchanged between processes.
package entry

import (
	"encoding/binary"
	"strings"

	"github.com/dchest/siphash"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Prefixes of keys.
const (
	SectionPrefix = "section/"
	VMPrefix      = "vm/"
)

// Entry is one published value: a section of the document, or a VM.
type Entry struct {
	// Key starts with SectionPrefix or VMPrefix.
	Key string `json:"key"`
	// Revision is the revision under which the text is published; the text states it too.
	Revision uint64 `json:"revision"`
	// Raw is the text as published, byte for byte.
	Raw []byte `json:"raw"`
	// Epoch is the epoch of the platform in which the entry was last read; 0 if unknown.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Ref identifies the content of an entry without including its text.
type Ref struct {
	// Key is the key of the entry.
	Key string `json:"k"`
	// Revision is the revision of the entry.
	Revision uint64 `json:"r"`
	// Hash is the hash of the text.
	Hash uint64 `json:"h"`
	// Epoch is the epoch of the platform in which the entry was last read; 0 if unknown.
	Epoch uint64 `json:"e,omitempty"`
}

// Ref returns the ref of the entry.
func (e Entry) Ref() Ref {
	return Ref{Key: e.Key, Revision: e.Revision, Hash: siphash.Hash(0, 0, e.Raw), Epoch: e.Epoch}
}

// WithEpoch returns the ref as read in another epoch.
func (r Ref) WithEpoch(epoch uint64) Ref {
	r.Epoch = epoch
	return r
}

// SameText reports whether both refs identify the same text, read in whatever epoch.
func (r Ref) SameText(o Ref) bool {
	return r.WithEpoch(0) == o.WithEpoch(0)
}

// Supersedes reports whether r replaces o. Of two texts with the same revision the one that
// was read in a later epoch takes precedence: the platform had lost the other when the revision
// was issued again. Within an epoch it is the one with the higher hash, so that all processes
// choose the same.
func (r Ref) Supersedes(o Ref) bool {
	switch {
	case r.Revision != o.Revision:
		return r.Revision > o.Revision
	case r.Hash != o.Hash && r.Epoch != o.Epoch:
		return r.Epoch > o.Epoch
	default:
		return r.Hash > o.Hash
	}
}

// Sum returns a hash that can be combined with others by exclusive or. It covers all fields
// except the epoch, in which processes with the same text may differ.
func (r Ref) Sum() uint64 {
	b := binary.BigEndian.AppendUint64([]byte(r.Key), r.Revision)
	return siphash.Hash(1, 1, binary.BigEndian.AppendUint64(b, r.Hash))
}

// Section returns the name of the section, and false if the entry is no section.
func (e Entry) Section() (string, bool) {
	return strings.CutPrefix(e.Key, SectionPrefix)
}

// Value is the parsed text of an entry. At most one field is set.
type Value struct {
	// Section is set for sections.
	Section *section.Section
	// VM is set for VMs.
	VM *vm.VM
}

// Parse parses the text and checks that it states the name and the revision of the entry.
// The result depends on the entry alone. The value is valid only if there are no faults.
func (e Entry) Parse() (Value, []fault.Fault) {
	if name, ok := e.Section(); ok {
		s, faults := section.Parse(e.Raw)
		return Value{Section: &s}, append(faults, e.checkStated(name, "service", s.Service, s.Revision, faults)...)
	}
	if name, ok := strings.CutPrefix(e.Key, VMPrefix); ok {
		v, faults := vm.Parse(e.Raw)
		return Value{VM: &v}, append(faults, e.checkStated(name, "vm", v.Name, v.Revision, faults)...)
	}
	return Value{}, []fault.Fault{{Field: "(key)", Reason: "the key " + e.Key + " has no known prefix"}}
}

// checkStated returns a fault if the text states another name or revision than the entry
// has. It checks nothing if the text has faults already.
func (e Entry) checkStated(name, field, stated string, revision uint64, parseFaults []fault.Fault) []fault.Fault {
	if len(parseFaults) > 0 {
		return nil
	}
	if stated != name {
		return []fault.Fault{{Section: name, Line: 1, Field: field, Reason: "published under the name " + name + " but states " + stated}}
	}
	if revision != e.Revision {
		return []fault.Fault{{Section: name, Line: 1, Field: "revision", Reason: "published under a revision other than the one that it states"}}
	}
	return nil
}
