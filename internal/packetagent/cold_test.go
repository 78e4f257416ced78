package packetagent

import (
	"fmt"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/completeness"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// TestColdLimit runs scripts of pings and SYNs at one agent. "ping" states the start of the server,
// seconds after that of the agent, its remaining warm-up and the rate that it accepts while cold.
// "syns" prints what happened to some new flows: delivered, passed on, returned to the best
// candidate, dropped or refused; the server answers them unless "unanswered" is given. "maintain"
// does the periodic work, and prints whether the agent has probed the server, which accepts or
// refuses.
func TestColdLimit(t *testing.T) {
	datadriven.Walk(t, "testdata/cold", func(t *testing.T, path string) {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		var a *Agent
		flows, probed := 0, false
		var outcomes map[string]int
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			outcomes = make(map[string]int)
			switch d.Cmd {
			case "agent":
				a = newBenchAgent()
				a.config.Clock, a.completeness = clock, completeness.NewTable(clock.Now(), a.config.MaxFlow)
				d.MaybeScanArgs(t, "overage", &a.config.WarmupOverage)
				d.MaybeScanArgs(t, "slack", &a.config.WarmupSlack)
				a.config.Probe = func() { probed = true }
				a.transport.SendToServer = func([]byte) error { outcomes["delivered"]++; return nil }
				a.transport.SendFleetDatagram = func(raw []byte, to netip.AddrPort) error {
					outcomes[describeSent(raw, to)]++
					return nil
				}
			case "ping":
				var n steer.Notice
				var born, warmup int64
				d.ScanArgs(t, "born", &born)
				d.MaybeScanArgs(t, "warmupMillis", &warmup)
				d.MaybeScanArgs(t, "rate", &n.ColdFlowsPerSecond)
				n.ServerKnown, n.Born, n.Warmup = true, (1000+born)*1000, time.Duration(warmup)*time.Millisecond
				var b [steer.PingLen]byte
				steer.PutPing(b[:], n)
				a.HandleFleetDatagram(b[:], balancer)
			case "wait":
				wait, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				clock.Advance(wait)
			case "syns":
				count := 1
				d.MaybeScanArgs(t, "count", &count)
				for range count {
					flows++
					a.HandleFleetDatagram(syn(t, d, flows), balancer)
					if !d.HasArg("unanswered") {
						a.HandleServerPacket(standin.EncodePacket(packet.Packet{DestinationIP: [4]byte{100, 64, 0, 0}, DestinationPort: 1, Ack: true}))
					}
				}
				delete(outcomes, "report")
				delete(outcomes, "toCaller")
				return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(outcomes), "map["), "]")
			case "maintain":
				probed = false
				a.Maintain()
				if !probed {
					return "not probed"
				}
				var err error
				if d.HasArg("refused") {
					err = syscall.ECONNREFUSED
				}
				a.RecordProbe(clock.Now(), err)
				return "probed"
			case "bounceOpenFlow":
				flows++
				a.open(flows)
				p := packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Bounced: true, SourceIP: [4]byte{100, 64, 0, 0}, SourcePort: uint16(flows)}
				clock.Advance(10 * time.Millisecond)
				a.HandleServerPacket(standin.EncodePacket(p))
			default:
				d.Fatalf(t, "unknown command")
			}
			return ""
		})
	})
}

// syn returns the first SYN of a flow, or the copy with the given number, offered to this agent and
// maybe to a further one, or to this one as the one that must admit it.
func syn(t *testing.T, d *datadriven.TestData, n int) []byte {
	var number int
	target := 100
	d.MaybeScanArgs(t, "copy", &number)
	d.MaybeScanArgs(t, "target", &target)
	e := steer.Envelope{Kind: steer.Forward, Balancer: balancer, Best: steer.NoBest, MustAdmit: d.HasArg("mustAdmit")}
	e.Class = steer.Class{TargetMillis: uint16(target), TimeoutMillis: 3000}
	best := steer.Candidate{Agent: netip.MustParseAddrPort("127.0.0.1:8"), Slots: 200}
	if d.HasArg("best") {
		e.Append(best)
		e.Best, e.Hop = 0, 1
	}
	e.Append(steer.Candidate{Agent: relay, Slots: 200})
	if d.HasArg("next") {
		e.Append(steer.Candidate{Agent: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 200})
	}
	raw := make([]byte, e.Len())
	e.Put(raw)
	return append(raw, standin.EncodePacket(packet.Packet{SourceIP: [4]byte{100, 64, 0, 0}, SourcePort: uint16(n), Syn: true, Seq: 1, AckSeq: uint32(number)})...)
}

// describeSent names what an agent has sent.
func describeSent(raw []byte, to netip.AddrPort) string {
	kind, _ := steer.KindOf(raw)
	switch {
	case to.Port() == 9:
		return "passedOn"
	case to.Port() == 8:
		return "toBest"
	case to != balancer:
		if p, ok := platform.PacketCodec().Parse(raw); ok && p.Reset {
			return "reset"
		}
		return "toCaller"
	case kind == steer.NotFound:
		return "notFound"
	default:
		return "report"
	}
}
