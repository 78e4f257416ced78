package startread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestReader guards against a pause between the calls of the first readers that lasts longer than
// a short call, and against many calls of the others. "calls" prints when a balancer of a rank
// begins its attempts while the platform is silent, and which of them are long. An attempt ends
// after its limit, or after 1 s.
func TestReader(t *testing.T) {
	datadriven.RunTest(t, "testdata/silentPlatform.txt", func(t *testing.T, d *datadriven.TestData) string {
		start := time.Unix(1000, 0)
		r := Reader{Started: start, FirstLate: 1700 * time.Millisecond, LateInterval: 2 * time.Second}
		d.ScanArgs(t, "rank", &r.Rank)
		d.ScanArgs(t, "of", &r.Count)
		r.Heard = r.Count > 1 && !d.HasArg("unheard")
		r.Seed = d.HasArg("seed")
		var out []string
		for now := start; now.Sub(start) <= 4*time.Second; {
			now = maxTime(now, r.Due())
			long := ""
			took := r.Limit()
			if took == 0 {
				long, took = " long", time.Second
			}
			out = append(out, fmt.Sprint(now.Sub(start), long))
			r.CalledAt, now = now, now.Add(took)
			r.Attempts++
		}
		return strings.Join(out, ", ")
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
