// Package wire is the protocol between the load generator and the stand-in for
// backend servers.
package wire

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"
)

// RecordLen is the length of one record of a session's status stream, in bytes:
// its number, big-endian.
const RecordLen = 8

// Request is the first line of a request, as JSON, followed by Body bytes.
type Request struct {
	// ID is unique for each request.
	ID string `json:"id"`
	// Service is the service that the caller means.
	Service string `json:"service"`
	// WorkMicros is how long a server of nominal speed works, in microseconds.
	WorkMicros int64 `json:"workMicros"`
	// Body is the length of the bytes that follow the line.
	Body int `json:"body"`
	// Answer is the length of the answer's payload.
	Answer int `json:"answer"`
	// IntervalMs is the time between records of a session, in milliseconds; 0 for other kinds.
	IntervalMs int `json:"intervalMs,omitempty"`
}

// answerHeader is the first line of an answer, as JSON, followed by the payload.
type answerHeader struct {
	ID     string `json:"id"`
	Length int    `json:"length"`
	Sum    string `json:"sum"`
}

// Encode returns the request with its body.
func (r Request) Encode() []byte {
	line, _ := json.Marshal(r)
	b := append(line, '\n')
	return append(b, payload(r.ID, r.Body)...)
}

// Read reads a whole request. The body must be the one that Encode makes.
func Read(reader *bufio.Reader) (Request, error) {
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return Request{}, merry.Prepend(err, "request line")
	}
	var r Request
	if err := json.Unmarshal(line, &r); err != nil {
		return r, merry.Prepend(err, "request line")
	}
	body := make([]byte, r.Body)
	if _, err := io.ReadFull(reader, body); err != nil {
		return r, merry.Prepend(err, "request body")
	}
	if !bytes.Equal(body, payload(r.ID, r.Body)) {
		return r, merry.New("request body differs from what was sent")
	}
	return r, nil
}

// EncodeAnswer returns the whole answer to the request.
func (r Request) EncodeAnswer() []byte {
	p := payload(r.ID, r.Answer)
	sum := sha256.Sum256(p)
	line, _ := json.Marshal(answerHeader{ID: r.ID, Length: len(p), Sum: hex.EncodeToString(sum[:8])})
	return append(append(line, '\n'), p...)
}

// Whole reports whether b is the whole answer to some request.
func Whole(b []byte) bool {
	_, ok := answerID(b)
	return ok
}

// Answers reports whether b is the whole answer to this request.
func (r Request) Answers(b []byte) bool {
	id, ok := answerID(b)
	return ok && id == r.ID
}

func answerID(b []byte) (string, bool) {
	line, p, ok := bytes.Cut(b, []byte{'\n'})
	var h answerHeader
	if !ok || json.Unmarshal(line, &h) != nil || len(p) != h.Length {
		return "", false
	}
	sum := sha256.Sum256(p)
	return h.ID, h.Sum == hex.EncodeToString(sum[:8])
}

// Record returns the record with the given number.
func Record(number uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, number)
}

// payload returns bytes that differ from request to request.
func payload(id string, length int) []byte {
	b := make([]byte, 0, length+sha256.Size)
	seed := sha256.Sum256([]byte(id))
	for len(b) < length {
		b = append(b, seed[:]...)
		seed = sha256.Sum256(seed[:])
	}
	return b[:length]
}
