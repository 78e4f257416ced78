package documentcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/finding"
	"github.com/bergamotgw/bergamotgw/internal/section"
)

// comparison collects the differences between two documents.
type comparison struct {
	// former holds the sections in force by service.
	former   map[string]part
	findings finding.List
}

func (c *comparison) compare(parts []part) {
	for _, p := range parts {
		p.use(&c.findings)
		former, ok := c.former[p.section.Service]
		if !ok {
			c.change(p.at("service", "new section"))
			continue
		}
		c.revision(former, p)
		c.section(former, p)
	}
	kept := lo.SliceToMap(parts, func(p part) (string, bool) { return p.section.Service, true })
	gone := lo.Reject(lo.Keys(c.former), func(name string, _ int) bool { return kept[name] })
	slices.Sort(gone)
	for _, name := range gone {
		c.overlaps(parts, c.former[name].section)
		c.change(fault.Fault{Section: name, Field: "service", Reason: "section is missing or has faults; processes keep the one in force"})
	}
}

// overlaps reports addresses that belong to a section which the new document lacks, and which
// therefore stays in force.
func (c *comparison) overlaps(parts []part, stays section.Section) {
	for _, p := range parts {
		for _, a := range lo.Intersect(p.section.Addresses, stays.Addresses) {
			field := fmt.Sprintf("addresses[%d]", lo.IndexOf(p.section.Addresses, a))
			c.findings.Add(finding.Error, p.at(field, "%s belongs to section %s, which stays in force", a, stays.Service))
		}
	}
}

func (c *comparison) change(f fault.Fault) {
	c.findings.Add(finding.Change, f)
}

// revision reports a text that processes would not put in force: they keep the highest revision,
// and of two texts with one revision the one with the higher hash.
func (c *comparison) revision(former, p part) {
	was, is := former.section.Revision, p.section.Revision
	switch {
	case is < was:
		c.findings.Add(finding.Error, p.at("revision", "%d is below %d, which is in force", is, was))
	case is == was && !sameText(former.raw, p.raw):
		c.findings.Add(finding.Error, p.at("revision", "%d is in force with another text", is))
	case is == was && !bytes.Equal(former.raw, p.raw):
		c.findings.Add(finding.Warning, p.at("revision", "%d is in force with other white space, which counts as a conflict", is))
	case is > was:
		c.change(p.at("revision", "%d, was %d", is, was))
	}
}

// sameText reports whether two texts differ in white space at most.
func sameText(a, b []byte) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

func (c *comparison) section(former, p part) {
	was, is := former.section, p.section
	c.value(p, "owner", was.Owner, is.Owner)
	c.names(p, "addresses", texts(was.Addresses), texts(is.Addresses))
	c.names(p, "kinds", texts(was.Kinds), texts(is.Kinds))
	c.names(p, "evacuate", was.Evacuate, is.Evacuate)
	c.endpoints(p, was.Endpoints, is.Endpoints)
	c.fields(p, "limits", was.Limits, is.Limits)
}

// endpoints compares endpoints by their VM.
func (c *comparison) endpoints(p part, was, is []section.Endpoint) {
	name := func(e section.Endpoint) string { return e.VM }
	c.names(p, "endpoints", lo.Map(was, func(e section.Endpoint, _ int) string { return e.VM }), lo.Map(is, func(e section.Endpoint, _ int) string { return e.VM }))
	former := lo.KeyBy(was, name)
	for i, e := range is {
		if f, ok := former[e.VM]; ok {
			c.fields(p, fmt.Sprintf("endpoints[%d]", i), f, e)
		}
	}
}

// fields compares the fields of two values of one type of struct.
func (c *comparison) fields(p part, path string, was, is any) {
	x, y := reflect.ValueOf(was), reflect.ValueOf(is)
	for i := range x.NumField() {
		name, _, _ := strings.Cut(x.Type().Field(i).Tag.Get("json"), ",")
		c.value(p, path+"."+name, x.Field(i).Interface(), y.Field(i).Interface())
	}
}

func (c *comparison) value(p part, field string, was, is any) {
	if was != is {
		c.change(p.at(field, "%v, was %v", is, was))
	}
}

// names compares two lists whose order has no meaning.
func (c *comparison) names(p part, field string, was, is []string) {
	removed, added := lo.Difference(was, is)
	for _, name := range added {
		c.change(p.at(fmt.Sprintf("%s[%d]", field, lo.IndexOf(is, name)), "%s added", name))
	}
	for _, name := range removed {
		c.change(p.at(field, "%s removed", name))
	}
}

func texts[T ~string | netip.AddrPort](list []T) []string {
	return lo.Map(list, func(v T, _ int) string { return fmt.Sprint(v) })
}
