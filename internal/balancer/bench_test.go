package balancer

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/envelope"
	"github.com/bergamotgw/bergamotgw/internal/section"
)

// establishedDatagram returns an envelope with a datagram of a flow at the agent.
func establishedDatagram(t testing.TB, b *Balancer, agent netip.AddrPort, size int) []byte {
	t.Helper()
	id, err := b.codec.Load().Seal(agent, section.ID("pass"))
	if err != nil {
		t.Fatal(err)
	}
	e := envelope.Envelope{Caller: callerAddress, Address: passAddress}
	buf := make([]byte, envelope.MinLen+size)
	e.Put(buf)
	buf[envelope.MinLen] = 0x40
	copy(buf[envelope.MinLen+1:], id)
	return buf
}

// BenchmarkForward measures reading, routing and writing one datagram of an
// established flow. BenchmarkEcho is its baseline.
func BenchmarkForward(b *testing.B) {
	agent := newSocket(b)
	x := newTestBalancer(b, localAddr(newSocket(b)), localAddr(agent))
	defer closeAll(x)
	datagram := establishedDatagram(b, x, localAddr(agent), 1200)
	read := make([]byte, envelope.MaxLen-envelope.MinLen+maxDatagramBytes+1)
	start := envelope.MaxLen - envelope.MinLen
	bench(b, x.front, datagram, func() {
		n, from, err := x.front.ReadFromUDPAddrPort(read[start:])
		if err != nil {
			b.Fatal(err)
		}
		if r := x.toAgent(read[:start+n], start, from); r != Forwarded {
			b.Fatal(r)
		}
	})
}

// BenchmarkEcho measures reading and writing the same datagram without routing.
func BenchmarkEcho(b *testing.B) {
	agent := newSocket(b)
	x := newTestBalancer(b, localAddr(newSocket(b)), localAddr(agent))
	defer closeAll(x)
	datagram := establishedDatagram(b, x, localAddr(agent), 1200)
	read := make([]byte, maxDatagramBytes)
	to := localAddr(agent)
	bench(b, x.front, datagram, func() {
		n, _, err := x.front.ReadFromUDPAddrPort(read)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := x.back.WriteToUDPAddrPort(read[:n], to); err != nil {
			b.Fatal(err)
		}
	})
}

// bench measures forward, which handles one datagram. It sends the datagrams to
// the socket in batches while the timer is stopped.
func bench(b *testing.B, to *net.UDPConn, datagram []byte, forward func()) {
	sender := newSocket(b)
	address := localAddr(to)
	const batch = 64
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%batch == 0 {
			b.StopTimer()
			for range min(batch, b.N-i) {
				if _, err := sender.WriteToUDPAddrPort(datagram, address); err != nil {
					b.Fatal(err)
				}
			}
			b.StartTimer()
		}
		forward()
	}
}

// BenchmarkRoute measures the routing decision alone.
func BenchmarkRoute(b *testing.B) {
	agent := newSocket(b)
	x := newTestBalancer(b, localAddr(newSocket(b)), localAddr(agent))
	defer closeAll(x)
	datagram := establishedDatagram(b, x, localAddr(agent), 1200)
	b.ReportAllocs()
	for b.Loop() {
		e, rest, _ := envelope.Parse(datagram)
		if a, _, ok := x.codec.Load().Open(rest[1:18]); !ok || !x.inAgentNetworks(a.Addr()) {
			b.Fatal("not routed")
		}
		e.Put(datagram)
	}
}

// TestForwardingDoesNotAllocate checks that forwarding a datagram of an
// established flow allocates no memory.
func TestForwardingDoesNotAllocate(t *testing.T) {
	agent := newSocket(t)
	x := newTestBalancer(t, localAddr(newSocket(t)), localAddr(agent))
	defer closeAll(x)
	datagram := establishedDatagram(t, x, localAddr(agent), 1200)
	start := envelope.MaxLen - envelope.MinLen
	buf := append(make([]byte, start), datagram...)
	n := testing.AllocsPerRun(1000, func() {
		if r := x.toAgent(buf, start, callerAddress); r != Forwarded {
			t.Fatal(r)
		}
	})
	if n != 0 {
		t.Errorf("%v allocations for each datagram, want 0", n)
	}
}

// threadBytes returns how much of the heap the runtime uses for the operating system's threads
// that it has started since it records every allocation.
func threadBytes() int64 {
	records := make([]runtime.MemProfileRecord, 64)
	n, ok := runtime.MemProfile(records, false)
	for !ok {
		records = make([]runtime.MemProfileRecord, 2*n)
		n, ok = runtime.MemProfile(records, false)
	}
	return lo.SumBy(records[:n], func(r runtime.MemProfileRecord) int64 {
		frames := runtime.CallersFrames(r.Stack())
		for more := true; more; {
			var f runtime.Frame
			if f, more = frames.Next(); f.Function == "runtime.allocm" {
				return r.InUseBytes()
			}
		}
		return 0
	})
}

// TestMemoryDoesNotGrowWithFlows sends datagrams of few and of many flows through
// a balancer and compares the size of the heap. The runtime's records of threads do not
// count: it starts more threads beside busy processes, some 5.5 KB each, and keeps them.
func TestMemoryDoesNotGrowWithFlows(t *testing.T) {
	defer func(rate int) { runtime.MemProfileRate = rate }(runtime.MemProfileRate)
	runtime.MemProfileRate = 1
	const few, many = 1_000, 200_000
	agent := newSocket(t)
	x := newTestBalancer(t, localAddr(newSocket(t)), localAddr(agent))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go x.Run(ctx, 1)
	sender := newSocket(t)
	heap := func(flows int) uint64 {
		for range flows {
			if _, err := sender.WriteToUDPAddrPort(establishedDatagram(t, x, localAddr(agent), 100), localAddr(x.front)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
		// What a pool holds survives one collection.
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc - uint64(threadBytes())
	}
	heap(few)
	before := heap(few)
	after := heap(many)
	t.Logf("heap with %d flows %d bytes, with %d flows %d bytes; %d datagrams routed", few, before, many, after, x.counts.Established.Load())
	if float64(after) > float64(before)*1.05 {
		t.Errorf("heap grew from %d to %d bytes, want at most 5 %% more", before, after)
	}
	if n := x.counts.Established.Load(); n < many/2 {
		t.Errorf("only %d datagrams were routed", n)
	}
}
