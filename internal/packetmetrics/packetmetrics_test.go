package packetmetrics

import (
	"net/netip"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/directory"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetagent"
	"github.com/bergamotgw/bergamotgw/internal/packetbalancer"
)

// TestDocumentedMetrics checks that the page for operators names every registered metric,
// and no other.
func TestDocumentedMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := lo.Uniq(regexp.MustCompile("bergamotflow_[a-z_]+").FindAllString(string(page), -1))
	slices.Sort(documented)
	registered := registeredNames(t)
	if missing := lo.Without(registered, documented...); len(missing) > 0 {
		t.Errorf("not documented: %v", missing)
	}
	if unknown := lo.Without(documented, registered...); len(unknown) > 0 {
		t.Errorf("documented but not registered: %v", unknown)
	}
}

func registeredNames(t *testing.T) []string {
	clock := clockwork.NewFakeClock()
	log := eventlog.NewDirectLog(zerolog.Nop(), clock)
	balancer, agent := NewMetrics(log), NewMetrics(log)
	balancer.AddBalancer(
		packetbalancer.NewBalancerWithTransport(packetbalancer.Config{Clock: clock, MaxFlow: time.Minute}, packetbalancer.Transport{}),
		directory.NewDirectory(directory.Config{Self: netip.MustParseAddrPort("127.0.0.1:1"), Clock: clock}),
	)
	agent.AddAgent(packetagent.NewAgentWithTransport(packetagent.Config{Clock: clock}, packetagent.Transport{}))
	agent.Answers("pass")(true, time.Second, time.Second)
	var names []string
	for _, m := range []*Metrics{balancer, agent} {
		families, err := m.Registry().Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			names = append(names, f.GetName())
		}
	}
	names = lo.Uniq(names)
	slices.Sort(names)
	return names
}
