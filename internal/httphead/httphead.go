// Package httphead reads single fields from the first bytes of HTTP/1.1
// requests and answers, without parsing or changing them.
package httphead

import "bytes"

// maxID bounds the length of a request ID that is read.
const maxID = 64

// RequestID returns the value of a header field in the first bytes of a
// request, or an empty string. name is lower case with a colon, such as
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
			return string(value[:min(len(value), maxID)])
		}
	}
	return ""
}

// prefix is how answers begin.
const prefix = "HTTP/1.1 "

// Status returns the status code in the first bytes of an answer, or 0.
func Status(data []byte) int {
	if len(data) < len(prefix)+3 || string(data[:len(prefix)]) != prefix {
		return 0
	}
	code := 0
	for _, c := range data[len(prefix) : len(prefix)+3] {
		if c < '0' || c > '9' {
			return 0
		}
		code = code*10 + int(c-'0')
	}
	return code
}
