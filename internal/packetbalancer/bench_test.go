package packetbalancer

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/routehistory"
	"github.com/bergamotgw/bergamotgw/internal/steer"
	"github.com/bergamotgw/bergamotgw/platform"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

var (
	loopback = netip.MustParseAddr("127.0.0.1")
	service  = netip.MustParseAddrPort("198.18.0.1:443")
)

// newBenchBalancer returns a balancer with one service that has the given number of agents. It
// forwards to the address of a socket that is not read.
func newBenchBalancer(t testing.TB, agents int) (*Balancer, *net.UDPConn, netip.AddrPort) {
	t.Helper()
	front, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	sink, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = front.Close()
		_ = sink.Close()
	})
	agent := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	clock := clockwork.NewRealClock()
	c := catalog.NewCatalog().WithRoutes(catalog.Routes{Version: 1, List: []catalog.Route{{
		Name: "r", Address: service, Shares: []catalog.Share{{Service: "pass", Weight: 1}},
	}}})
	var list []catalog.Server
	for i := range agents {
		list = append(list, catalog.Server{
			ID: string(rune('a' + i)), Service: "pass", Slots: 2, State: catalog.Ready,
			Address: netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i + 1)}),
		})
	}
	c = c.WithServers(catalog.NewServers(position.Position{Revision: 1}, list))
	b := NewBalancerWithTransport(Config{
		Front: netip.AddrPortFrom(loopback, 1), Back: netip.AddrPortFrom(loopback, 2), Zone: "a",
		AgentPort: agent.Port(), MaxFlow: time.Minute, Bounds: bounds.Default(), Codec: platform.PacketCodec(),
		Catalog: func() *catalog.Catalog { return c }, Corroborated: func() bool { return true }, NoCorroboratedPeer: func() bool { return false }, ReadAt: time.Now,
		RouteHistory: routehistory.NewHistory(time.Minute, time.Minute),
		ReadSince:    time.Now, RequestReading: func() {},
		Digest: func(context.Context, []byte, netip.AddrPort) {}, Clock: clock,
		Log: eventlog.NewDirectLog(zerolog.Nop(), clock),
	}, Transport{SendFleetDatagram: writeTo(front), SendToCaller: writeTo(front)})
	b.SetServers(c.Servers)
	return b, front, agent
}

// flowPacket returns a packet of the nth flow with data of the given length.
func flowPacket(n, length int) (packet.Flow, []byte) {
	f := packet.Flow{
		CallerIP: [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, CallerPort: uint16(n),
		ServiceIP: service.Addr().As4(), ServicePort: service.Port(),
	}
	return f, standin.EncodePacket(packet.Packet{
		SourceIP: f.CallerIP, SourcePort: f.CallerPort, DestinationIP: f.ServiceIP, DestinationPort: f.ServicePort,
		Ack: true, Seq: 1, AckSeq: 1, Data: make([]byte, length),
	})
}

// cacheFlow puts a flow and its agent into the cache.
func (b *Balancer) cacheFlow(f packet.Flow, agent netip.AddrPort) {
	b.cache.Put(f, cacheEntry{agent: agent})
}

// BenchmarkForward measures one packet of a cached flow: read, route, write. BenchmarkEcho is
// its baseline.
func BenchmarkForward(b *testing.B) {
	x, front, agent := newBenchBalancer(b, 1)
	f, raw := flowPacket(1, 1200)
	x.cacheFlow(f, agent)
	bench(b, front, raw, func() {
		n, _, err := front.ReadFromUDPAddrPort(x.buf[steer.MaxLen:])
		if err != nil {
			b.Fatal(err)
		}
		x.forward(x.buf[:steer.MaxLen+n])
	})
}

// BenchmarkEcho measures one read and one write of the same packet.
func BenchmarkEcho(b *testing.B) {
	_, front, agent := newBenchBalancer(b, 1)
	_, raw := flowPacket(1, 1200)
	buf := make([]byte, maxDatagramBytes)
	bench(b, front, raw, func() {
		n, _, err := front.ReadFromUDPAddrPort(buf)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := front.WriteToUDPAddrPort(buf[:n], agent); err != nil {
			b.Fatal(err)
		}
	})
}

// bench sends datagrams to the socket in batches, outside the measured time, and calls forward
// for each.
func bench(b *testing.B, to *net.UDPConn, raw []byte, forward func()) {
	sender, err := net.DialUDP("udp4", nil, to.LocalAddr().(*net.UDPAddr))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	const batch = 64
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%batch == 0 {
			b.StopTimer()
			for range min(batch, b.N-i) {
				if _, err := sender.Write(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.StartTimer()
		}
		forward()
	}
}

// BenchmarkSearch measures the selection of a page of agents for an unknown flow.
func BenchmarkSearch(b *testing.B) {
	x, _, _ := newBenchBalancer(b, 40)
	x.transport.SendFleetDatagram = func([]byte, netip.AddrPort) error { return nil }
	_, raw := flowPacket(1, 200)
	b.ReportAllocs()
	for b.Loop() {
		x.HandleCallerPacket(raw)
	}
}

// TestForwardingDoesNotAllocate checks that forwarding a packet of a cached flow allocates
// nothing.
func TestForwardingDoesNotAllocate(t *testing.T) {
	x, _, agent := newBenchBalancer(t, 1)
	f, raw := flowPacket(1, 1200)
	x.cacheFlow(f, agent)
	if n := testing.AllocsPerRun(1000, func() { x.HandleCallerPacket(raw) }); n != 0 {
		t.Errorf("%v allocations for each packet, want 0", n)
	}
}

// maxBytesPerFlow bounds the memory of the cache: ten times the users' figure of 15,700 flows
// a balancer, held in both generations, must fit into 128 MB.
const maxBytesPerFlow = 400

// TestMemoryOfFlows checks how much memory a cached flow takes.
func TestMemoryOfFlows(t *testing.T) {
	x, _, agent := newBenchBalancer(t, 1)
	before := heap()
	const flows = 100_000
	for n := range flows {
		f, _ := flowPacket(n<<16|n, 0)
		x.cacheFlow(f, agent)
	}
	bytes := int64(heap()-before) / flows
	t.Logf("%d bytes for each cached flow", bytes)
	if bytes > maxBytesPerFlow {
		t.Errorf("%d bytes for each cached flow, want at most %d", bytes, maxBytesPerFlow)
	}
	runtime.KeepAlive(x)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkRoute measures the routing of a packet of a cached flow, without read and write.
func BenchmarkRoute(b *testing.B) {
	x, _, agent := newBenchBalancer(b, 1)
	x.transport.SendFleetDatagram = func([]byte, netip.AddrPort) error { return nil }
	f, raw := flowPacket(1, 1200)
	x.cacheFlow(f, agent)
	b.ReportAllocs()
	for b.Loop() {
		x.HandleCallerPacket(raw)
	}
}
