package packetagent

import (
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// TestFailuresOfServer checks that failures are detected in the first bytes of answers, and
// that their share decays when the server receives few requests.
func TestFailuresOfServer(t *testing.T) {
	a := newBenchAgent()
	const flows = 30
	for n := range flows {
		a.open(n)
		a.HandleFleetDatagram(forwarded(n, packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("GET / HTTP/1.1\r\n\r\n")}), balancer)
		status := "HTTP/1.1 200 OK\r\n"
		if n%3 == 0 {
			status = "HTTP/1.1 500 Oops\r\n"
		}
		a.HandleServerPacket(standin.EncodePacket(packet.Packet{
			DestinationIP: [4]byte{100, 64, 0, 0}, DestinationPort: uint16(n), Ack: true, Seq: 501, AckSeq: 22, Data: []byte(status),
		}))
	}
	now := time.Now()
	if share := a.failures.share(now); share < 0.25 || share > 0.33 {
		t.Errorf("share of failures %v, want about a third less the prior", share)
	}
	if n := a.counts.ServerFailures.Load(); n != flows/3 {
		t.Errorf("%d failures counted, want %d", n, flows/3)
	}
	if share := a.failures.share(now.Add(5 * slowTimeConstant)); share > 0.05 {
		t.Errorf("share of failures %v after a pause, want nearly none", share)
	}
}

// TestFlappingServer checks that requests which the server resets count as failures.
// Otherwise a server that repeatedly goes down, and resets its requests, would appear fast.
func TestFlappingServer(t *testing.T) {
	a := newBenchAgent()
	const flows = 20
	for n := range flows {
		a.open(n)
		a.sendRequest(n)
		a.HandleServerPacket(standin.EncodePacket(packet.Packet{
			DestinationIP: [4]byte{100, 64, 0, 0}, DestinationPort: uint16(n), Reset: true, Ack: true, Seq: 501, AckSeq: 22,
		}))
	}
	if share := a.failures.share(time.Now()); share < 0.75 {
		t.Errorf("share of failures %v, want nearly all", share)
	}
	if n := a.counts.ServerFailures.Load(); n != flows {
		t.Errorf("%d failures counted, want %d", n, flows)
	}
	if n := a.PendingRequests(); n != 0 {
		t.Errorf("%d requests queued, running or expected, want none", n)
	}
	a.open(flows)
	a.HandleServerPacket(standin.EncodePacket(packet.Packet{
		DestinationIP: [4]byte{100, 64, 0, 0}, DestinationPort: flows, Reset: true, Ack: true, Seq: 501, AckSeq: 2,
	}))
	if n := a.counts.ServerFailures.Load(); n != flows {
		t.Errorf("%d failures after the reset of an idle flow, want %d", n, flows)
	}
}
