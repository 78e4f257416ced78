package packetagent

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

var (
	relay    = netip.MustParseAddrPort("127.0.0.1:1")
	balancer = netip.MustParseAddrPort("127.0.0.1:2")
)

// newBenchAgent returns an agent whose datagrams go nowhere.
func newBenchAgent() *Agent {
	clock := clockwork.NewRealClock()
	return NewWiredAgent(Config{
		Relay: relay, MaxFlow: time.Minute, Codec: platform.PacketCodec(), Clock: clock,
		Observe: func(bool, time.Duration, time.Duration) {},
		Log:     eventlog.NewDirectLog(zerolog.Nop(), clock),
	}, Wire{
		ToFleet:  func([]byte, netip.AddrPort) error { return nil },
		ToServer: func([]byte) error { return nil },
	})
}

// forwarded returns a caller's packet behind the envelope of a known flow.
func forwarded(n int, p packet.Packet) []byte {
	p.SourceIP, p.SourcePort = [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, uint16(n)
	e := steer.Envelope{Kind: steer.Forward, Cached: true, Balancer: balancer, Best: steer.NoBest}
	e.Append(steer.Candidate{Agent: relay, Slots: 2})
	raw := make([]byte, e.Len())
	e.Put(raw)
	return append(raw, standin.PutPacket(p)...)
}

// open makes the agent hold the nth flow.
func (a *Agent) open(n int) {
	a.FromFleet(forwarded(n, packet.Packet{Syn: true, Seq: 1}), balancer)
	answer := packet.Packet{
		DestinationIP: [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, DestinationPort: uint16(n),
		Syn: true, Ack: true, Seq: 500, AckSeq: 2,
	}
	a.FromServer(standin.PutPacket(answer))
}

// BenchmarkDeliver measures one packet of a known flow on its way to the server.
func BenchmarkDeliver(b *testing.B) {
	a := newBenchAgent()
	a.open(1)
	raw := forwarded(1, packet.Packet{Ack: true, Seq: 2, AckSeq: 501})
	b.ReportAllocs()
	for b.Loop() {
		a.FromFleet(raw, balancer)
	}
}

// TestDeliveryDoesNotAllocate checks the path of known flows.
func TestDeliveryDoesNotAllocate(t *testing.T) {
	a := newBenchAgent()
	a.open(1)
	raw := forwarded(1, packet.Packet{Ack: true, Seq: 2, AckSeq: 501})
	for range tagSlots + 1 {
		a.FromFleet(raw, balancer)
	}
	if n := testing.AllocsPerRun(1000, func() { a.FromFleet(raw, balancer) }); n != 0 {
		t.Errorf("%v allocations for each packet, want 0", n)
	}
}

// maxBytesPerFlow bounds the table: 100,000 flows must fit into 64 MB.
const maxBytesPerFlow = 640

// TestMemoryOfFlows measures what a flow in the table takes.
func TestMemoryOfFlows(t *testing.T) {
	a := newBenchAgent()
	before := heap()
	const flows = 20_000
	for n := range flows {
		a.open(n<<16 | n)
	}
	bytes := int64(heap()-before) / flows
	t.Logf("%d bytes for each flow", bytes)
	if bytes > maxBytesPerFlow {
		t.Errorf("%d bytes for each flow, want at most %d", bytes, maxBytesPerFlow)
	}
	runtime.KeepAlive(a)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
