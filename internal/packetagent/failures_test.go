package packetagent

import (
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// TestFailuresOfServer checks that failures are seen in the first bytes of
// answers, and forgotten when the server is hardly used.
func TestFailuresOfServer(t *testing.T) {
	a := newBenchAgent()
	const flows = 30
	for n := range flows {
		a.open(n)
		a.FromFleet(forwarded(n, packet.Packet{Ack: true, Seq: 2, AckSeq: 501, Data: []byte("GET / HTTP/1.1\r\n\r\n")}), balancer)
		status := "HTTP/1.1 200 OK\r\n"
		if n%3 == 0 {
			status = "HTTP/1.1 500 Oops\r\n"
		}
		a.FromServer(standin.PutPacket(packet.Packet{
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
	if share := a.failures.share(now.Add(5 * failureMemory)); share > 0.05 {
		t.Errorf("share of failures %v after a pause, want nearly none", share)
	}
}
