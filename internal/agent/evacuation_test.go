package agent

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/backend"
	"github.com/bergamotgw/bergamotgw/internal/handover"
	"github.com/bergamotgw/bergamotgw/internal/health"
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/placement"
	"github.com/bergamotgw/bergamotgw/internal/placement/presets"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// TestEvacuation runs scripts: section [evacuate=(zone,...)] puts the next revision in force,
// peers STATE... reports peers in these states, drain starts to drain. Each command prints the
// events that it has caused and what the agent, in zone z1, does with new work.
func TestEvacuation(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var peers []load.Report
		var log bytes.Buffer
		own := netip.MustParseAddrPort("127.0.0.1:4600")
		clock := clockwork.NewFakeClock()
		server, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = server.Close() }()
		policy, err := presets.Balanced.Policy()
		if err != nil {
			t.Fatal(err)
		}
		a, err := NewAgent(Config{
			Service: "pass", Listen: netip.AddrPortFrom(own.Addr(), 0), Clock: clock, Policy: policy, Log: zerolog.New(&log),
			Backend:   backend.NewDialer(server.Addr().(*net.TCPAddr).AddrPort()),
			Monitor:   health.NewMonitor(health.Config{Clock: clock}),
			PeerLoads: func() []load.Report { return peers }, StateChanged: func() { log.WriteString("announced\n") },
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = a.relay.Close() }()
		a.config.Listen = own
		revision := uint64(0)
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "section":
				revision++
				s := section.Section{Service: "pass", Revision: revision, Endpoints: []section.Endpoint{{Agent: own, Zone: "z1", Slots: 1, Connections: 2}}}
				for _, x := range d.CmdArgs {
					s.Evacuate = x.Vals
				}
				a.SetSection(s)
			case "peers":
				peers = nil
				for i, x := range d.CmdArgs {
					agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 2)}), 4600)
					peers = append(peers, load.Report{Agent: agent, State: load.State(x.Key), Slots: 1})
				}
			case "drain":
				a.Drain()
			}
			defer log.Reset()
			opened, session := a.placeSession(context.Background(), incomingRequest{flow: &flow{caller: own}})
			if opened != nil {
				opened.release()
			}
			slot, offer := a.Acquire(context.Background(), handover.Offer{Caller: own, Preface: request.Preface{Service: "pass"}})
			if slot != nil {
				slot.Release()
			}
			candidates := lo.Map(a.candidates(request.Once), func(c placement.Candidate, _ int) string {
				return lo.Ternary(c.Local, "own", c.Load.Agent.Addr().String())
			})
			return log.String() + fmt.Sprintf("%s: admits %t, as last candidate %t; session %q, offer %q; requests go to %v\n",
				a.State(), a.admitFlow(false), a.admitFlow(true), session, offer, candidates)
		})
	})
}
