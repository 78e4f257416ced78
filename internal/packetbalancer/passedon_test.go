package packetbalancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// TestAgentThatPassesOnAnswers checks that an agent does not count as silent after it has
// passed on a flow that another agent reports, and that it does if nobody reports the flow.
func TestAgentThatPassesOnAnswers(t *testing.T) {
	for _, admitted := range []bool{true, false} {
		b, clock, _ := newZonedBalancer(12)
		var offered steer.Envelope
		b.transport.SendFleetDatagram = func(raw []byte, _ netip.AddrPort) error {
			offered.Parse(raw)
			return nil
		}
		f, _ := flowPacket(1, 0)
		b.HandleCallerPacket(standin.EncodePacket(packet.Packet{
			SourceIP: f.CallerIP, SourcePort: f.CallerPort, DestinationIP: f.ServiceIP, DestinationPort: f.ServicePort, Syn: true,
		}))
		if admitted {
			clock.Advance(time.Millisecond)
			var report [steer.ReportLen]byte
			steer.PutReport(report[:], steer.Load{}, f)
			b.handleReport(report[:], offered.Candidates[1].Agent)
		}
		clock.Advance(200 * time.Millisecond)
		if silent := b.selection.Suspect(offered.Candidates[0].Agent, clock.Now()); silent == admitted {
			t.Errorf("admitted by the second agent: %t; first agent silent: %t", admitted, silent)
		}
	}
}
