// Package checkedjson reads JSON settings files, checks their fields, and reports every fault
// with its line.
package checkedjson

import (
	"net/netip"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/strictjson"
)

// Checker collects the faults of one file.
type Checker struct {
	lines  strictjson.Lines
	faults []fault.Fault
}

// Load reads and checks a file. The error lists every fault on a line of its own.
func Load[T any](path string, check func(value T, c *Checker)) (T, error) {
	var none T
	raw, err := os.ReadFile(path)
	if err != nil {
		return none, merry.Prepend(err, "read settings")
	}
	value, faults := Parse(raw, check)
	if len(faults) == 0 {
		return value, nil
	}
	list := lo.Map(faults, func(f fault.Fault, _ int) string { return path + ": " + f.String() })
	return none, merry.New(strings.Join(list, "\n"))
}

// Parse decodes and checks the text of a file. check runs only if the text can be decoded.
func Parse[T any](raw []byte, check func(value T, c *Checker)) (T, []fault.Fault) {
	value, lines, faults := strictjson.Decode[T](raw)
	if len(faults) > 0 {
		return value, faults
	}
	c := &Checker{lines: lines}
	check(value, c)
	return value, c.faults
}

// Require records a fault of a field if ok is false.
func (c *Checker) Require(ok bool, field, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, c.lines.Fault(field, format, args...))
	}
}

// Text requires that a value is not empty.
func (c *Checker) Text(value, field string) {
	c.Require(value != "", field, "missing")
}

// Address requires that a is an IPv4 address with a port other than 0.
func (c *Checker) Address(a netip.AddrPort, field string) {
	c.Require(a.IsValid(), field, "missing")
	c.Require(!a.IsValid() || a.Addr().Is4() && a.Port() != 0, field, "%s is not an IPv4 address with a port", a)
}
