package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"
)

// shownFields are the fields that Write prints in columns of their own or omits.
var shownFields = []string{"time", "vm", "event", "level"}

// WriteJSON writes a history as indented JSON.
func (s History) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return merry.Wrap(e.Encode(s))
}

// Write writes a history as text, one log line per line; the last line is the cause.
func (s History) Write(w io.Writer) error {
	for _, l := range s.Lines {
		keys := lo.Without(lo.Keys(l.Fields), shownFields...)
		slices.Sort(keys)
		fields := lo.Map(keys, func(k string, _ int) string { return fmt.Sprintf("%s=%v", k, l.Fields[k]) })
		if _, err := fmt.Fprintf(w, "%s  %-18s %-18s %s\n", l.Time.Format("15:04:05.000000"), l.VM, l.Event, strings.Join(fields, " ")); err != nil {
			return merry.Wrap(err)
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s: %s\n", s.Cause.Name, s.Cause.Text)
	return merry.Wrap(err)
}
