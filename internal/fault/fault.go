// Package fault describes errors in configuration documents and settings files, with their
// line and field.
package fault

import "fmt"

// Fault is one reason to reject a document or a settings file.
type Fault struct {
	// Section is the name of the section; empty outside sections.
	Section string `json:"section,omitempty"`
	// Line is the line number, from 1; 0 if it is unknown.
	Line int `json:"line"`
	// Field is the path of the field, such as endpoints[2].slots.
	Field string `json:"field"`
	// Reason is a sentence without a full stop at its end.
	Reason string `json:"reason"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Section == "" {
		return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Reason)
	}
	return fmt.Sprintf("line %d: section %s: %s: %s", f.Line, f.Section, f.Field, f.Reason)
}

// WithSection returns a copy with the given section.
func (f Fault) WithSection(name string) Fault {
	f.Section = name
	return f
}

// WithLineOffset returns a copy whose line number, if it is known, is increased by offset.
func (f Fault) WithLineOffset(offset int) Fault {
	if f.Line > 0 {
		f.Line += offset
	}
	return f
}
