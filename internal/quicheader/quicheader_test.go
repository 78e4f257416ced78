package quicheader

import "testing"

// FuzzParse checks that no datagram makes Parse panic or read beyond the datagram.
func FuzzParse(f *testing.F) {
	f.Add([]byte{}, 17)
	f.Add([]byte{0x40, 1, 2, 3}, 17)
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0}, 17)
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255, 1, 2, 3}, 17)
	f.Fuzz(func(t *testing.T, datagram []byte, idLen int) {
		if idLen < 0 || idLen > maxConnIDLen {
			return
		}
		h, ok := Parse(datagram, idLen)
		if !ok {
			return
		}
		if len(h.DestinationID) > maxConnIDLen || len(h.DestinationID) >= len(datagram) {
			t.Errorf("connection ID of %d bytes in a datagram of %d", len(h.DestinationID), len(datagram))
		}
		if !h.Long && len(h.DestinationID) != idLen {
			t.Errorf("short header with an ID of %d bytes, want %d", len(h.DestinationID), idLen)
		}
	})
}
