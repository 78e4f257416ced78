// Package frame reads and writes length-prefixed CBOR messages.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// MaxLen is the longest encoded message, in bytes.
const MaxLen = 4096

// lengthLen is the size of the length prefix, in bytes.
const lengthLen = 2

// decoder rejects duplicate keys, indefinite lengths and deep nesting. It ignores unknown
// fields, so that later versions can add fields.
var decoder = mustDecMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	MaxNestedLevels:  4,
	MaxArrayElements: 64,
	MaxMapPairs:      32,
})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Write encodes the message and writes it with its length prefix in one call of w.Write. It
// returns an error if the encoded message is longer than MaxLen.
func Write[T any](w io.Writer, message T) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return merry.Prepend(err, "encode message")
	}
	if len(body) > MaxLen {
		return merry.Errorf("message has %d bytes, want at most %d", len(body), MaxLen)
	}
	b := binary.BigEndian.AppendUint16(make([]byte, 0, lengthLen+len(body)), uint16(len(body)))
	_, err = w.Write(append(b, body...))
	return merry.Wrap(err)
}

// Read reads one message. It returns io.EOF if the stream ends before the first byte, and another
// error if the message is truncated, longer than MaxLen or invalid.
func Read[T any](r io.Reader) (T, error) {
	var message T
	var prefix [lengthLen]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return message, err
	}
	n := binary.BigEndian.Uint16(prefix[:])
	if n > MaxLen {
		return message, merry.Errorf("message has %d bytes, want at most %d", n, MaxLen)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return message, err
	}
	if err := decoder.Unmarshal(body, &message); err != nil {
		return message, merry.Prepend(err, "decode message")
	}
	return message, nil
}
