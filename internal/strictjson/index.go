package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxDepth is the deepest nesting that is accepted.
const maxDepth = 32

// indexer reads the tokens of a JSON text and records the line of each field.
type indexer struct {
	decoder *json.Decoder
	raw     []byte
	lines   Lines
	// repeated is the path of the first field that appears twice; empty if there is none.
	repeated string
	// offset is the byte up to which newlines have been counted, line the line there, from 1.
	offset int64
	line   int
}

// index returns the lines of all fields, and the path of the first repeated one. On an error it
// returns the lines of the fields before it.
func index(raw []byte) (Lines, string, error) {
	x := &indexer{
		decoder: json.NewDecoder(bytes.NewReader(raw)),
		raw:     raw,
		lines:   Lines{"": 1},
		line:    1,
	}
	if err := x.value("", 0); err != nil {
		return x.lines, "", err
	}
	if _, err := x.decoder.Token(); err != io.EOF {
		return x.lines, "", merry.New("text after the end of the value")
	}
	return x.lines, x.repeated, nil
}

func (x *indexer) value(path string, depth int) error {
	if depth > maxDepth {
		return merry.Errorf("nested deeper than %d levels", maxDepth)
	}
	t, err := x.decoder.Token()
	if err != nil {
		return err
	}
	x.recordLine(path)
	switch t {
	case json.Delim('{'):
		return x.object(path, depth)
	case json.Delim('['):
		return x.array(path, depth)
	}
	return nil
}

func (x *indexer) object(path string, depth int) error {
	for x.decoder.More() {
		t, err := x.decoder.Token()
		if err != nil {
			return err
		}
		field := fmt.Sprint(t)
		if path != "" {
			field = path + "." + field
		}
		if _, ok := x.lines[field]; ok && x.repeated == "" {
			x.repeated = field
		}
		if err := x.value(field, depth+1); err != nil {
			return err
		}
	}
	_, err := x.decoder.Token()
	return err
}

func (x *indexer) array(path string, depth int) error {
	for i := 0; x.decoder.More(); i++ {
		if err := x.value(fmt.Sprintf("%s[%d]", path, i), depth+1); err != nil {
			return err
		}
	}
	_, err := x.decoder.Token()
	return err
}

func (x *indexer) recordLine(path string) {
	end := x.decoder.InputOffset()
	x.line += bytes.Count(x.raw[x.offset:end], []byte{'\n'})
	x.offset = end
	x.lines[path] = x.line
}
