package census

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestOnlyExclusionsRuleOutHolders checks, for any answers in any order, lost or repeated,
// that an agent is left out of the possible holders if and only if it has answered for
// certain, and that a flow is found if and only if an agent holds it.
func TestOnlyExclusionsRuleOutHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var agents []netip.AddrPort
		for n := range rapid.IntRange(0, 12).Draw(t, "agents") {
			agents = append(agents, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", n)))
		}
		flows := rapid.IntRange(1, 5).Draw(t, "flows")
		c := NewQueryResult(flows, agents, time.Unix(0, 0))
		excluded := make([]map[netip.AddrPort]bool, flows)
		held := make([]bool, flows)
		for i := range excluded {
			excluded[i] = make(map[netip.AddrPort]bool)
		}
		answered := make(map[netip.AddrPort]bool)
		for range rapid.IntRange(0, 20).Draw(t, "answers") {
			if len(agents) == 0 {
				break
			}
			from := rapid.SampledFrom(agents).Draw(t, "from")
			holdings := rapid.SliceOfN(rapid.SampledFrom([]steer.Holding{steer.NotHeld, steer.Held, steer.Unknown}), flows, flows).Draw(t, "holdings")
			c.AddAnswer(from, holdings, func(i int) {
				if held[i] || holdings[i] != steer.Held {
					t.Fatalf("flow %d reported as found twice, or by an agent that does not hold it", i)
				}
			})
			if answered[from] {
				continue
			}
			answered[from] = true
			for i, h := range holdings {
				held[i] = held[i] || h == steer.Held
				if h != steer.Unknown {
					excluded[i][from] = true
				}
			}
		}
		if c.Complete() != (len(answered) == len(agents)) {
			t.Fatalf("complete %t after %d of %d answers", c.Complete(), len(answered), len(agents))
		}
		for i := range flows {
			if c.Found(i) != held[i] {
				t.Fatalf("flow %d found %t, held %t", i, c.Found(i), held[i])
			}
			possible := c.PossibleHolders(i)
			for _, a := range agents {
				if slices.Contains(possible, a) == excluded[i][a] {
					t.Fatalf("flow %d: possible holders %v, excluded %v", i, possible, excluded[i])
				}
			}
		}
	})
}
