// Package documentcheck checks the operators' document beyond the faults for which processes
// refuse it: work that no endpoint may get, limits that contradict each other, and differences
// from the document in force.
package documentcheck

import (
	"encoding/json"
	"fmt"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/document"
	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/finding"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
)

// part is a section of a document, with the lines of its fields.
type part struct {
	section section.Section
	raw     json.RawMessage
	lines   strictjson.Lines
	// offset is the number of lines above the section.
	offset int
}

// Check returns the faults of a document, and warnings of zones without endpoints.
func Check(raw []byte) finding.List {
	_, list := check(raw)
	return list
}

// Against returns the errors and warnings of a document, and its differences from the one in
// force. Sections of the document in force that have faults are not compared.
func Against(force, next []byte) finding.List {
	parts, list := check(next)
	former, formerList := check(force)
	if n := formerList.Errors(); n > 0 {
		list.Add(finding.Error, fault.Fault{Field: "(in force)", Reason: fmt.Sprintf("the document in force has %d faults; its sections with faults are not compared", n)})
	}
	c := comparison{former: lo.KeyBy(former, func(p part) string { return p.section.Service }), findings: list}
	c.compare(parts)
	return c.findings
}

// check returns the sections without faults, and the errors and warnings.
func check(raw []byte) ([]part, finding.List) {
	var list finding.List
	entries, faults := document.Parse(raw)
	list.Add(finding.Error, faults...)
	d, lines, faults := strictjson.Decode[document.Document](raw)
	if len(faults) > 0 {
		return nil, list
	}
	accepted := lo.SliceToMap(entries, func(e entry.Entry) (string, bool) { return string(e.Raw), true })
	var parts []part
	for i, text := range d.Sections {
		if !accepted[string(text)] {
			continue
		}
		s, own, _ := strictjson.Decode[section.Section](text)
		p := part{section: s, raw: text, lines: own, offset: lines.Fault(fmt.Sprintf("sections[%d]", i), "").Line - 1}
		p.zones(&list)
		parts = append(parts, p)
	}
	return parts, list
}

// at returns a fault at a field of the section.
func (p part) at(field, format string, args ...any) fault.Fault {
	return p.lines.Fault(field, format, args...).WithSection(p.section.Service).WithLineOffset(p.offset)
}

// zones warns of evacuated zones without endpoints: the name may be misspelt.
func (p part) zones(list *finding.List) {
	zones := lo.SliceToMap(p.section.Endpoints, func(e section.Endpoint) (string, bool) { return e.Zone, true })
	for i, z := range p.section.Evacuate {
		if !zones[z] {
			list.Add(finding.Warning, p.at(fmt.Sprintf("evacuate[%d]", i), "zone %q has no endpoints", z))
		}
	}
}

// use adds what can never be used, and limits that contradict each other.
func (p part) use(list *finding.List) {
	for i, k := range p.section.Kinds {
		if lo.IndexOf(p.section.Kinds, k) < i {
			list.Add(finding.Error, p.at(fmt.Sprintf("kinds[%d]", i), "%q is listed twice", string(k)))
		}
	}
	for i, e := range p.section.Endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		if e.Weight == 0 {
			list.Add(finding.Warning, p.at(field+".weight", "0: %q gets no new flows", e.VM))
		}
		if e.Connections < e.Slots {
			list.Add(finding.Warning, p.at(field+".connections", "%d is below slots, %d", e.Connections, e.Slots))
		}
	}
	p.reachable(list)
}

// reachable adds an error if no endpoint may get new flows. The evacuation of all endpoints is
// a request of the operator, and therefore only a warning.
func (p part) reachable(list *finding.List) {
	weighted := lo.Filter(p.section.Endpoints, func(e section.Endpoint, _ int) bool { return e.Weight > 0 })
	switch {
	case len(weighted) == 0:
		list.Add(finding.Error, p.at("endpoints", "no endpoint has a weight above 0: the addresses lead nowhere"))
	case lo.EveryBy(weighted, func(e section.Endpoint) bool { return p.section.Evacuates(e.Zone) }):
		list.Add(finding.Warning, p.at("evacuate", "all endpoints are evacuated: new flows are refused"))
	}
}
