// Package entry defines the unit in which published configuration is fetched
// and exchanged.
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

// Entry is one published value: a section of the document or one VM.
type Entry struct {
	// Key starts with SectionPrefix or VMPrefix.
	Key string `json:"key"`
	// Revision is the one that the text states.
	Revision uint64 `json:"revision"`
	// Raw is the text as published, byte for byte.
	Raw []byte `json:"raw"`
}

// Ref identifies the content of an entry without carrying it.
type Ref struct {
	// Key is the key of the entry.
	Key string `json:"k"`
	// Revision is the revision of the entry.
	Revision uint64 `json:"r"`
	// Hash is the hash of the text.
	Hash uint64 `json:"h"`
}

// Ref returns the identity of the entry.
func (e Entry) Ref() Ref {
	return Ref{Key: e.Key, Revision: e.Revision, Hash: siphash.Hash(0, 0, e.Raw)}
}

// Supersedes reports whether r replaces o. Of two texts with one revision the
// one with the higher hash wins on every process.
func (r Ref) Supersedes(o Ref) bool {
	if r.Revision != o.Revision {
		return r.Revision > o.Revision
	}
	return r.Hash > o.Hash
}

// Sum returns a hash over all fields, fit to be combined by exclusive or.
func (r Ref) Sum() uint64 {
	b := binary.BigEndian.AppendUint64([]byte(r.Key), r.Revision)
	return siphash.Hash(1, 1, binary.BigEndian.AppendUint64(b, r.Hash))
}

// Section returns the name of the section, and false for other entries.
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

// Parse parses the text and compares it with the key. The outcome depends on
// the entry alone; the value is valid only without faults.
func (e Entry) Parse() (Value, []fault.Fault) {
	if name, ok := e.Section(); ok {
		s, faults := section.Parse(e.Raw)
		return Value{Section: &s}, append(faults, e.compare(name, "service", s.Service, s.Revision, faults)...)
	}
	if name, ok := strings.CutPrefix(e.Key, VMPrefix); ok {
		v, faults := vm.Parse(e.Raw)
		return Value{VM: &v}, append(faults, e.compare(name, "vm", v.Name, v.Revision, faults)...)
	}
	return Value{}, []fault.Fault{{Field: "(key)", Reason: "the key " + e.Key + " has no known prefix"}}
}

func (e Entry) compare(name, field, stated string, revision uint64, earlier []fault.Fault) []fault.Fault {
	if len(earlier) > 0 {
		return nil
	}
	if stated != name {
		return []fault.Fault{{Section: name, Line: 1, Field: field, Reason: "published under the name " + name + " but states " + stated}}
	}
	if revision != e.Revision {
		return []fault.Fault{{Section: name, Line: 1, Field: "revision", Reason: "published under another revision than it states"}}
	}
	return nil
}
