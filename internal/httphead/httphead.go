// Package httphead reads single fields from the first bytes of HTTP/1.1 requests and answers. It
// neither parses nor changes the rest.
package httphead

import "bytes"

// maxIDLen is the length to which request IDs are cut, in bytes.
const maxIDLen = 64

// RequestID returns the value of a header field in the first bytes of a request, or an empty
// string if the field is absent. name is in lower case and ends with a colon, such as
// "x-request-id:".
func RequestID(data, name []byte) string {
	if len(name) == 0 {
		return ""
	}
	for line := range bytes.SplitSeq(data, []byte("\r\n")) {
		if len(line) == 0 {
			return ""
		}
		if len(line) > len(name) && bytes.EqualFold(line[:len(name)], name) {
			value := bytes.TrimSpace(line[len(name):])
			return string(value[:min(len(value), maxIDLen)])
		}
	}
	return ""
}

// statusPrefix is the text before the status code of an answer.
const statusPrefix = "HTTP/1.1 "

// Status returns the status code in the first bytes of an answer, or 0 if there is none.
func Status(data []byte) int {
	if len(data) < len(statusPrefix)+3 || string(data[:len(statusPrefix)]) != statusPrefix {
		return 0
	}
	code := 0
	for _, c := range data[len(statusPrefix) : len(statusPrefix)+3] {
		if c < '0' || c > '9' {
			return 0
		}
		code = code*10 + int(c-'0')
	}
	return code
}
