// Package explain reconstructs the history of a flow or a request from the logs of many
// processes, and finds the event that decided its outcome.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"
)

// Limits of a log line and of the context of a history.
const (
	// maxLineBytes is the maximum length of a log line; reading a longer one fails.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter are how long before the first and after the last line
	// of a flow the lines of the same VMs about no flow, such as changes of a server's
	// state, belong to its history.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// Line is one parsed log line.
type Line struct {
	// Time is when the line was written, by the clock of its VM.
	Time time.Time `json:"time"`
	// VM is the name of the VM that wrote the line.
	VM string `json:"vm"`
	// Event names the event.
	Event string `json:"event"`
	// Flow and Request identify the subject of the line; empty if the line is about no flow.
	Flow    string `json:"flow,omitempty"`
	Request string `json:"request,omitempty"`
	// Fields holds all fields of the line, including those above.
	Fields map[string]any `json:"fields"`
}

// History is the history of one flow or request in the logs.
type History struct {
	// Lines are sorted by time.
	Lines []Line `json:"lines"`
	// Cause is what decided the outcome.
	Cause Cause `json:"cause"`
}

// Read parses log lines until the end of r. It ignores text that precedes the JSON object of
// a line, and lines without a JSON object or an event. It returns an error if r fails or a
// line is longer than 1 MiB.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l Line
		raw := s.Bytes()[start:]
		if json.Unmarshal(raw, &l) != nil || l.Event == "" || json.Unmarshal(raw, &l.Fields) != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, merry.Wrap(s.Err())
}

// NewHistory returns the history of a flow or a request from the given lines. id is the name
// of a flow as the logs write it, or the ID of a request. The history of a request contains
// the lines of its flow, but not those of other requests on that flow.
func NewHistory(lines []Line, id string) History {
	flows := lo.Uniq(lo.FilterMap(lines, func(l Line, _ int) (string, bool) { return l.Flow, l.Request == id && l.Flow != "" }))
	own := lo.Filter(lines, func(l Line, _ int) bool {
		return l.Flow == id || l.Request == id || slices.Contains(flows, l.Flow) && l.Request == ""
	})
	if len(own) == 0 {
		return History{Cause: Cause{Name: "unknown", Text: "no line contains the ID; its lines may have been suppressed (linesSuppressed)"}}
	}
	all := append(own, contextLines(lines, own)...)
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM)) })
	return History{Lines: all, Cause: findCause(all)}
}

// contextLines returns the lines about no flow that the VMs of a history wrote shortly
// before, during or after it.
func contextLines(lines, own []Line) []Line {
	vms := lo.Uniq(lo.Map(own, func(l Line, _ int) string { return l.VM }))
	first := lo.MinBy(own, func(a, b Line) bool { return a.Time.Before(b.Time) }).Time.Add(-contextBefore)
	last := lo.MaxBy(own, func(a, b Line) bool { return a.Time.After(b.Time) }).Time.Add(contextAfter)
	return lo.Filter(lines, func(l Line, _ int) bool {
		return l.Flow == "" && slices.Contains(vms, l.VM) && !l.Time.Before(first) && !l.Time.After(last)
	})
}
