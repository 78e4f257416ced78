// Package explain tells, from the logs of many processes, what became of a flow
// or a request, and which decision cost it its answer.
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

// Bounds of a story.
const (
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
	// contextBefore and contextAfter are how far around a flow's own lines changes
	// of belief of the same VMs belong to its story.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// Line is one line of a log.
type Line struct {
	// Time is when the line was written, by the clock of its VM.
	Time time.Time `json:"time"`
	// VM is the name of the VM.
	VM string `json:"vm"`
	// Event names the event.
	Event string `json:"event"`
	// Flow and Request name what the line is about; empty for beliefs.
	Flow    string `json:"flow,omitempty"`
	Request string `json:"request,omitempty"`
	// Fields holds all fields of the line.
	Fields map[string]any `json:"fields"`
}

// Story is what the logs tell of one flow or request.
type Story struct {
	// Lines are in order of time.
	Lines []Line `json:"lines"`
	// Cause tells what decided the outcome.
	Cause Cause `json:"cause"`
}

// Read reads the lines of logs. What precedes the JSON of a line is ignored, and
// so are lines without any.
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

// NewStory returns the story of a flow, in the form of the logs, or of a request.
// The story of a request is that of its flow, and of no other request on it.
func NewStory(lines []Line, id string) Story {
	flows := lo.Uniq(lo.FilterMap(lines, func(l Line, _ int) (string, bool) { return l.Flow, l.Request == id && l.Flow != "" }))
	own := lo.Filter(lines, func(l Line, _ int) bool {
		return l.Flow == id || l.Request == id || slices.Contains(flows, l.Flow) && l.Request == ""
	})
	if len(own) == 0 {
		return Story{Cause: Cause{Name: "unknown", Text: "no line names it; was it among the lines left out (linesSuppressed)?"}}
	}
	all := append(own, beliefs(lines, own)...)
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM)) })
	return Story{Lines: all, Cause: findCause(all)}
}

// beliefs returns the lines about no flow that the VMs of a story wrote around it.
func beliefs(lines, own []Line) []Line {
	vms := lo.Uniq(lo.Map(own, func(l Line, _ int) string { return l.VM }))
	first := lo.MinBy(own, func(a, b Line) bool { return a.Time.Before(b.Time) }).Time.Add(-contextBefore)
	last := lo.MaxBy(own, func(a, b Line) bool { return a.Time.After(b.Time) }).Time.Add(contextAfter)
	return lo.Filter(lines, func(l Line, _ int) bool {
		return l.Flow == "" && slices.Contains(vms, l.VM) && !l.Time.Before(first) && !l.Time.After(last)
	})
}
