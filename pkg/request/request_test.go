package request_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/frame"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// FuzzPreface checks that no bytes from a caller make the reader panic, and that an accepted
// preface stays the same when it is encoded and read again.
func FuzzPreface(f *testing.F) {
	for _, p := range []request.Preface{
		{Service: "pass", Kind: request.Once, Key: "k", TimeoutMs: 100},
		{Service: "order", Kind: request.Session, Offset: 8},
	} {
		var b bytes.Buffer
		if err := frame.Write(&b, p); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := frame.Read[request.Preface](bytes.NewReader(b))
		if err != nil || p.Check() != nil {
			return
		}
		var again bytes.Buffer
		if err := frame.Write(&again, p); err != nil {
			t.Fatal(err)
		}
		if q, err := frame.Read[request.Preface](&again); err != nil || q != p {
			t.Errorf("read %+v, then %+v: %v", p, q, err)
		}
	})
}

func TestTimeoutRoundsUp(t *testing.T) {
	p := request.Preface{}.WithTimeout(1500 * time.Microsecond)
	if d, ok := p.Timeout(); !ok || d != 2*time.Millisecond {
		t.Errorf("timeout %v %t, want 2ms", d, ok)
	}
	if _, ok := (request.Preface{}).Timeout(); ok {
		t.Error("a preface without a timeout has one")
	}
}
