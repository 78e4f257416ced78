// Package fault describes what is wrong with a document or a settings file.
package fault

import "fmt"

// Fault is one reason to refuse a document or a settings file.
type Fault struct {
	// Section is the name of the section, or empty outside sections.
	Section string `json:"section,omitempty"`
	// Line counts from 1; 0 where no line can be told.
	Line int `json:"line"`
	// Field is the path of the field, such as endpoints[2].slots.
	Field string `json:"field"`
	// Reason is a sentence without a final stop.
	Reason string `json:"reason"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Section == "" {
		return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Reason)
	}
	return fmt.Sprintf("line %d: section %s: %s: %s", f.Line, f.Section, f.Field, f.Reason)
}

// WithSection returns a copy that names the section.
func (f Fault) WithSection(name string) Fault {
	f.Section = name
	return f
}

// WithLineOffset returns a copy whose line is moved down by offset lines.
func (f Fault) WithLineOffset(offset int) Fault {
	if f.Line > 0 {
		f.Line += offset
	}
	return f
}
