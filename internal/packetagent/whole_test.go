package packetagent

import (
	"testing"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// TestServerStartsAfterAgent checks that after a loss of power, in which the agent
// started before its server, packets of former flows are not shown to the server: it
// cannot hold a flow that the agent does not know. An agent that alone was restarted
// has to ask.
func TestServerStartsAfterAgent(t *testing.T) {
	for _, down := range []bool{false, true} {
		a := newBenchAgent()
		delivered := 0
		a.wire.ToServer = func([]byte) error { delivered++; return nil }
		if down {
			a.NoteServerDown()
		}
		a.FromFleet(forwarded(7, packet.Packet{Ack: true, Seq: 1, AckSeq: 1, Data: []byte("x")}), balancer)
		if asked := delivered > 0; asked == down {
			t.Errorf("server down at the start %t: asked %t", down, asked)
		}
		if returned := a.counts.Returned.Load() > 0; returned != down {
			t.Errorf("server down at the start %t: packet returned %t", down, returned)
		}
	}
}
