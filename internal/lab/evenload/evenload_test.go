package evenload

import (
	"math"
	"testing"
)

// TestBound checks the bound against the known probabilities of two M/M/2 queues, and that the
// demand of zones that is fully mixed counts as constant.
func TestBound(t *testing.T) {
	waiting, held := Bound(0.5, 2.0/3)
	if math.Abs(waiting-1.0/3) > 1e-6 || math.Abs(held-1.0/6) > 1e-6 {
		t.Errorf("mixed demand: %v waiting, %v held, want 1/3 and 1/6", waiting, held)
	}
	if alone, _ := Bound(0.5, 0); alone <= waiting {
		t.Errorf("demand of one zone: %v waiting, want more than %v", alone, waiting)
	}
}

// TestBalancedBeatsBest checks that fewer requests wait while a server idles with balanced
// placement than with the best one or a random one: with one flow for each request by far, and
// with long flows as far as their demand allows.
func TestBalancedBeatsBest(t *testing.T) {
	share := func(placement string, long bool) float64 {
		o := Scenario{Servers: 9, Balancers: 6, Long: long, Uneven: true, Utilization: 0.5, Placement: placement, Seed: 1}.Run()
		if o.Requests == 0 || o.Unplaced > 0 {
			t.Fatalf("%s: %d requests, %d flows not placed", placement, o.Requests, o.Unplaced)
		}
		return o.Share(o.WaitedIdle)
	}
	if balanced, best, random := share("balanced", false), share("best", false), share("random", false); balanced > min(best, random)/10 {
		t.Errorf("short flows: %.3f wait, with best %.3f, with random %.3f", balanced, best, random)
	}
	if balanced, best := share("balanced", true), share("best", true); balanced > 0.95*best {
		t.Errorf("long flows: %.3f wait, with best %.3f", balanced, best)
	}
}
