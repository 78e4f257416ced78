// Package wire defines the protocol between the load generator and the stand-in for
// backend servers. A request or an answer is a line of JSON and a payload. The receiver
// checks the payload, so that truncated or changed ones are detected.
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

// RecordLen is the length of one record of a session's status stream, in bytes. A record
// consists of its number, in big-endian order.
const RecordLen = 8

// Request is the first line of a request, encoded as JSON. Body bytes follow it.
type Request struct {
	// ID is unique for each request.
	ID string `json:"id"`
	// Service is the service that the caller addresses.
	Service string `json:"service"`
	// WorkMicros is the time for which a server of nominal speed works on the request, in
	// microseconds.
	WorkMicros int64 `json:"workMicros"`
	// Body is the length of the body that follows the line, in bytes.
	Body int `json:"body"`
	// Answer is the length of the payload of the answer, in bytes.
	Answer int `json:"answer"`
	// IntervalMs is the time between two records of a session, in milliseconds; 0 for
	// requests of other kinds.
	IntervalMs int `json:"intervalMs,omitempty"`
}

// answerHeader is the first line of an answer, encoded as JSON. The payload follows it.
type answerHeader struct {
	ID     string `json:"id"`
	Length int    `json:"length"`
	Sum    string `json:"sum"`
}

// Encode returns the encoded request, including its body.
func (r Request) Encode() []byte {
	line, _ := json.Marshal(r)
	b := append(line, '\n')
	return append(b, payload(r.ID, r.Body)...)
}

// Read reads a complete request. It returns an error if the request is truncated, if its
// line is not valid JSON, or if its body is not the one that Encode generates.
func Read(reader *bufio.Reader) (Request, error) {
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return Request{}, merry.Prepend(err, "read request line")
	}
	var r Request
	if err := json.Unmarshal(line, &r); err != nil {
		return r, merry.Prepend(err, "decode request line")
	}
	body := make([]byte, r.Body)
	if _, err := io.ReadFull(reader, body); err != nil {
		return r, merry.Prepend(err, "read request body")
	}
	if !bytes.Equal(body, payload(r.ID, r.Body)) {
		return r, merry.New("request body differs from the one that the caller sent")
	}
	return r, nil
}

// EncodeAnswer returns the complete answer to the request.
func (r Request) EncodeAnswer() []byte {
	p := payload(r.ID, r.Answer)
	sum := sha256.Sum256(p)
	line, _ := json.Marshal(answerHeader{ID: r.ID, Length: len(p), Sum: hex.EncodeToString(sum[:8])})
	return append(append(line, '\n'), p...)
}

// Whole reports whether b is the complete answer to any request.
func Whole(b []byte) bool {
	_, ok := parseAnswer(b)
	return ok
}

// AnsweredBy reports whether b is the complete answer to this request.
func (r Request) AnsweredBy(b []byte) bool {
	id, ok := parseAnswer(b)
	return ok && id == r.ID
}

// parseAnswer returns the identifier of the request that b answers, and whether b is a
// complete answer with a correct checksum.
func parseAnswer(b []byte) (string, bool) {
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

// payload returns a number of bytes that are derived from the identifier of the request
// and differ between requests.
func payload(id string, length int) []byte {
	b := make([]byte, 0, length+sha256.Size)
	seed := sha256.Sum256([]byte(id))
	for len(b) < length {
		b = append(b, seed[:]...)
		seed = sha256.Sum256(seed[:])
	}
	return b[:length]
}
