// Package document parses the operators' document: the file from which the sections of all
// services are published.
package document

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
)

// Document is the content of the file.
type Document struct {
	// Sections are the texts of the sections; each is published as an entry of its own.
	Sections []json.RawMessage `json:"sections"`
}

// Parse decodes the document and checks each section separately. It returns the entries of
// the sections without faults, whatever the faults of the others.
func Parse(raw []byte) ([]entry.Entry, []fault.Fault) {
	d, lines, faults := strictjson.Decode[Document](raw)
	if len(faults) > 0 {
		return nil, faults
	}
	x := &checker{owners: make(map[netip.AddrPort]string), names: make(map[string]bool)}
	for i, text := range d.Sections {
		x.section(text, lines.Fault(fmt.Sprintf("sections[%d]", i), "").Line-1)
	}
	return x.entries, x.faults
}

// checker collects entries and faults.
type checker struct {
	entries []entry.Entry
	faults  []fault.Fault
	// owners holds the first section that lists each address.
	owners map[netip.AddrPort]string
	names  map[string]bool
}

// section checks a section whose text starts offset lines below the first line.
func (x *checker) section(text []byte, offset int) {
	s, faults := section.Parse(text)
	faults = append(faults, x.checkUnique(s)...)
	for _, f := range faults {
		x.faults = append(x.faults, f.WithLineOffset(offset))
	}
	if len(faults) == 0 {
		x.entries = append(x.entries, entry.Entry{Key: entry.SectionPrefix + s.Service, Revision: s.Revision, Raw: text})
	}
}

// checkUnique returns the faults that only a comparison of sections shows: a name or an
// address that an earlier section has.
func (x *checker) checkUnique(s section.Section) []fault.Fault {
	var faults []fault.Fault
	if s.Service != "" && x.names[s.Service] {
		faults = append(faults, fault.Fault{Section: s.Service, Line: 1, Field: "service", Reason: "the section appears twice"})
	}
	x.names[s.Service] = true
	for i, a := range s.Addresses {
		if owner, ok := x.owners[a]; ok && owner != s.Service {
			faults = append(faults, fault.Fault{Section: s.Service, Line: 1, Field: fmt.Sprintf("addresses[%d]", i),
				Reason: fmt.Sprintf("%s belongs to section %s", a, owner)})
			continue
		}
		x.owners[a] = s.Service
	}
	return faults
}
