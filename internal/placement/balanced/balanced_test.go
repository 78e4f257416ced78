package balanced

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/placement"
	"github.com/bergamotgw/bergamotgw/internal/placement/available"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// TestOrder prints the order of the candidates. Each line of input describes one:
// its number, and any of local, utilisation=x, demand=x, slots=n,
// state=up|draining|down. random=x is the random number.
func TestOrder(t *testing.T) {
	datadriven.RunTest(t, "testdata/order.txt", func(t *testing.T, d *datadriven.TestData) string {
		random := 0.5
		d.MaybeScanArgs(t, "random", &random)
		v := placement.View{Kind: request.Once}
		for _, line := range strings.Split(d.Input, "\n") {
			v.Candidates = append(v.Candidates, parseCandidate(t, line))
		}
		p := placement.NewPolicy(placement.WithRule(NewRule(func() float64 { return random })), placement.WithRule(available.NewRule()))
		var out []string
		for _, c := range p.Order(v) {
			out = append(out, fmt.Sprint(c.Load.Agent.Port()))
		}
		return strings.Join(out, " ")
	})
}

func parseCandidate(t *testing.T, line string) placement.Candidate {
	fields := strings.Fields(line)
	c := placement.Candidate{Load: load.Report{State: load.Up, Slots: 2, Agent: netip.MustParseAddrPort("10.0.0.1:" + fields[0])}}
	for _, f := range fields[1:] {
		key, value, _ := strings.Cut(f, "=")
		var err error
		switch key {
		case "local":
			c.Local = true
		case "utilisation":
			_, err = fmt.Sscan(value, &c.Load.Utilisation)
		case "demand":
			_, err = fmt.Sscan(value, &c.Demand)
		case "slots":
			_, err = fmt.Sscan(value, &c.Load.Slots)
		case "state":
			c.Load.State = load.State(value)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return c
}
