// Package strictjson decodes JSON, rejects unknown, repeated and misplaced fields, and reports
// the line of every fault.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/bergamotgw/bergamotgw/internal/fault"
)

// Lines maps the path of every field of a JSON text to its line, from 1.
type Lines map[string]int

var unknownField = regexp.MustCompile(`unknown field "(.*)"`)

// Decode decodes one JSON value. The returned lines locate faults that the caller finds later
// in the decoded value.
func Decode[T any](raw []byte) (T, Lines, []fault.Fault) {
	return decode[T](raw, true)
}

// DecodeKnown decodes one JSON value like Decode, and ignores unknown fields.
func DecodeKnown[T any](raw []byte) (T, Lines, []fault.Fault) {
	return decode[T](raw, false)
}

func decode[T any](raw []byte, strict bool) (T, Lines, []fault.Fault) {
	var value T
	lines, repeated, err := index(raw)
	if err != nil {
		return value, lines, []fault.Fault{syntaxFault(raw, err)}
	}
	if repeated != "" {
		return value, lines, []fault.Fault{lines.Fault(repeated, "the field appears twice")}
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(&value); err != nil {
		return value, lines, []fault.Fault{lines.decodeFault(raw, err)}
	}
	return value, lines, nil
}

// Fault returns a fault of a field, with its line.
func (l Lines) Fault(field, format string, args ...any) fault.Fault {
	return fault.Fault{Line: l.line(field), Field: field, Reason: fmt.Sprintf(format, args...)}
}

// line returns the line of the field, or of its nearest enclosing field.
func (l Lines) line(field string) int {
	for {
		if n, ok := l[field]; ok {
			return n
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return l[""]
		}
		field = field[:i]
	}
}

func (l Lines) decodeFault(raw []byte, err error) fault.Fault {
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return l.Fault(l.firstPath(m[1]), "unknown field")
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		f := l.Fault(mismatch.Field, "want %s, found %s", mismatch.Type, mismatch.Value)
		f.Line = lineAt(raw, mismatch.Offset)
		return f
	}
	return l.Fault("", "%s", err)
}

// firstPath returns the path of the first field with the given name, or the name itself if there
// is none.
func (l Lines) firstPath(name string) string {
	best := name
	bestLine := 0
	for path, n := range l {
		last := path[strings.LastIndex(path, ".")+1:]
		if last == name && (bestLine == 0 || n < bestLine) {
			best, bestLine = path, n
		}
	}
	return best
}

func syntaxFault(raw []byte, err error) fault.Fault {
	f := fault.Fault{Line: lineAt(raw, int64(len(raw))), Field: "(syntax)", Reason: err.Error()}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		f.Line = lineAt(raw, syntax.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		f.Reason = "the text ends too early"
	}
	return f
}

func lineAt(raw []byte, offset int64) int {
	return 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte{'\n'})
}
