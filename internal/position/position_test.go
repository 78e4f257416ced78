package position

import "testing"

// TestBefore guards against an order in which a state after a return from a backup, with its
// lower revision, counts as earlier.
func TestBefore(t *testing.T) {
	ordered := []Position{{}, {0, 7}, {1, 2}, {1, 50}, {2, 1}, {2, 10}, {3, 5}}
	for i, p := range ordered {
		for j, o := range ordered {
			if got := p.Before(o); got != (i < j) {
				t.Errorf("%v before %v: %t, want %t", p, o, got, i < j)
			}
		}
	}
}
