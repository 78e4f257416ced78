package httphead

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestHeads reads the request ID of requests and the status code of answers.
func TestHeads(t *testing.T) {
	datadriven.RunTest(t, "testdata/heads.txt", func(t *testing.T, d *datadriven.TestData) string {
		data := []byte(strings.ReplaceAll(d.Input, "\n", "\r\n"))
		switch d.Cmd {
		case "request":
			return fmt.Sprintf("%q", RequestID(data, []byte("x-request-id:")))
		case "answer":
			return fmt.Sprint(Status(data))
		default:
			d.Fatalf(t, "unknown command")
			return ""
		}
	})
}
