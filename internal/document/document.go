// Package document reads the operators' document as a whole: the file from
// which sections are published.
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

// Document is the file with all sections.
type Document struct {
	// Sections are the texts of the sections, each published alone.
	Sections []json.RawMessage `json:"sections"`
}

// Parse decodes the document and checks every section alone. Entries of
// sections without faults are returned, whatever is wrong with others.
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
	// owners holds the first section that claims each address.
	owners map[netip.AddrPort]string
	names  map[string]bool
}

func (x *checker) section(text []byte, offset int) {
	s, faults := section.Parse(text)
	faults = append(faults, x.compare(s)...)
	for _, f := range faults {
		x.faults = append(x.faults, f.WithLineOffset(offset))
	}
	if len(faults) == 0 {
		x.entries = append(x.entries, entry.Entry{Key: entry.SectionPrefix + s.Service, Revision: s.Revision, Raw: text})
	}
}

// compare finds what a section alone cannot tell: names and addresses that
// another section has.
func (x *checker) compare(s section.Section) []fault.Fault {
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
