// Package finding describes what the check of a configuration has found, with line and field.
package finding

import "github.com/bergamotgw/bergamotgw/internal/fault"

// Severity is how much a finding matters.
type Severity string

// Severities.
const (
	// Error findings forbid that the configuration is sent: it would be refused, or part of it
	// could never take effect.
	Error Severity = "error"
	// Warning findings may be intended.
	Warning Severity = "warning"
	// Change findings are differences from the configuration in force.
	Change Severity = "change"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Fault holds line, field and text. Its line is 0 for what the new configuration lacks.
	fault.Fault
}

// String returns the finding on one line.
func (f Finding) String() string {
	return string(f.Severity) + ": " + f.Fault.String()
}

// List collects findings.
type List []Finding

// Add adds faults as findings of the given severity.
func (l *List) Add(s Severity, faults ...fault.Fault) {
	for _, f := range faults {
		*l = append(*l, Finding{Severity: s, Fault: f})
	}
}

// Errors returns the number of errors.
func (l List) Errors() int {
	n := 0
	for _, f := range l {
		if f.Severity == Error {
			n++
		}
	}
	return n
}
