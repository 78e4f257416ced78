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

// newBenchAgent returns an agent whose datagrams are discarded.
func newBenchAgent() *Agent {
	clock := clockwork.NewRealClock()
	return NewAgentWithTransport(Config{
		Relay: relay, MaxFlow: time.Minute, Codec: platform.PacketCodec(), Clock: clock,
		Observe: func(bool, time.Duration, time.Duration) {},
		Log:     eventlog.NewDirectLog(zerolog.Nop(), clock),
	}, Transport{
		SendFleetDatagram: func([]byte, netip.AddrPort) error { return nil },
		SendToServer:      func([]byte) error { return nil },
	})
}

// forwarded returns a packet of the caller of the nth flow, behind the envelope of a flow
// that the balancer has cached.
func forwarded(n int, p packet.Packet) []byte {
	p.SourceIP, p.SourcePort = [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, uint16(n)
	e := steer.Envelope{Kind: steer.Forward, Cached: true, Balancer: balancer, Best: steer.NoBest}
	e.Append(steer.Candidate{Agent: relay, Slots: 2})
	raw := make([]byte, e.Len())
	e.Put(raw)
	return append(raw, standin.EncodePacket(p)...)
}

// open opens the nth flow at the agent.
func (a *Agent) open(n int) {
	a.HandleFleetDatagram(forwarded(n, packet.Packet{Syn: true, Seq: 1}), balancer)
	answer := packet.Packet{
		DestinationIP: [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, DestinationPort: uint16(n),
		Syn: true, Ack: true, Seq: 500, AckSeq: 2,
	}
	a.HandleServerPacket(standin.EncodePacket(answer))
}

// BenchmarkDeliver measures the delivery of one packet of an open flow to the server.
func BenchmarkDeliver(b *testing.B) {
	a := newBenchAgent()
	a.open(1)
	raw := forwarded(1, packet.Packet{Ack: true, Seq: 2, AckSeq: 501})
	b.ReportAllocs()
	for b.Loop() {
		a.HandleFleetDatagram(raw, balancer)
	}
}

// TestDeliveryDoesNotAllocate checks that the delivery of a packet of an open flow allocates
// no memory.
func TestDeliveryDoesNotAllocate(t *testing.T) {
	a := newBenchAgent()
	a.open(1)
	raw := forwarded(1, packet.Packet{Ack: true, Seq: 2, AckSeq: 501})
	for range tagRingSize + 1 {
		a.HandleFleetDatagram(raw, balancer)
	}
	if n := testing.AllocsPerRun(1000, func() { a.HandleFleetDatagram(raw, balancer) }); n != 0 {
		t.Errorf("%v allocations for each packet, want 0", n)
	}
}

// maxBytesPerFlow bounds the memory of the table: 100,000 flows must fit into 64 MB.
const maxBytesPerFlow = 640

// TestMemoryOfFlows checks how much memory a flow in the table takes.
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
