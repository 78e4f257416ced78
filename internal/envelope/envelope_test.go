package envelope

import (
	"bytes"
	"net/netip"
	"testing"
)

// FuzzParse checks that Put encodes every parsed envelope to the same bytes.
func FuzzParse(f *testing.F) {
	e := Envelope{
		Caller:  netip.MustParseAddrPort("192.0.2.1:5000"),
		Address: netip.MustParseAddrPort("192.0.2.9:4433"),
		Via:     netip.MustParseAddrPort("10.0.0.1:4600"),
		Service: 77,
		NewFlow: true,
	}
	e = e.WithCandidate(netip.MustParseAddrPort("10.0.0.2:4600")).WithCandidate(netip.MustParseAddrPort("10.0.0.3:4600")).WithHop()
	b := make([]byte, e.Len())
	e.Put(b)
	f.Add(append(b, 1, 2, 3))
	f.Add(b[:len(b)-1])
	f.Add([]byte{version})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, datagram, ok := Parse(b)
		if !ok {
			return
		}
		again := make([]byte, e.Len())
		e.Put(again)
		if !bytes.Equal(append(again, datagram...), b) {
			t.Errorf("parsed %x, encoded %x", b, append(again, datagram...))
		}
	})
}

// TestNext checks the order of the candidates and the limit of their number.
func TestNext(t *testing.T) {
	first, second := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	e := Envelope{}.WithCandidate(first).WithCandidate(second)
	if a, ok := e.Next(); !ok || a != second {
		t.Errorf("next after the first: %v %t", a, ok)
	}
	if a, ok := e.WithHop().Next(); ok {
		t.Errorf("next after the last: %v", a)
	}
	full := e
	for range 2 * MaxCandidates {
		full = full.WithCandidate(first)
	}
	if full.Count != MaxCandidates {
		t.Errorf("%d candidates, want %d", full.Count, MaxCandidates)
	}
}
