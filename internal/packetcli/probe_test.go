package packetcli

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestServerListensLate guards against agents that take a server for stopped which has started before
// the agent and listens after its probe: at the start, and while the agent leaves. It runs an agent
// with sockets, and pings it as a balancer that lists the server.
func TestServerListensLate(t *testing.T) {
	const service = "pass"
	born := time.Now().Add(-5 * time.Millisecond).UnixMilli()
	ports := freePorts(t, 4)
	s := packetsettings.Agent{
		Common:  packetsettings.Common{Name: "side-1", Zone: "a", Ready: ports[0], MaxFlowSeconds: 60, GraceSeconds: 6},
		Service: service, Relay: ports[1], Outbound: ports[2], Server: ports[3],
	}
	a, err := newAgent(s, eventlog.NewDirectLog(zerolog.Nop(), clockwork.NewRealClock()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	defer func() {
		leave()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	balancer, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Relay))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = balancer.Close() }()
	expect := func(when string, want uint32) {
		t.Helper()
		var ping [steer.PingLen]byte
		steer.PutPing(ping[:], steer.Notice{ServerKnown: true, Service: catalog.ServiceID(service), Born: born})
		var buf [steer.ReportLen]byte
		var got steer.Load
		for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); {
			_, _ = balancer.Write(ping[:])
			_ = balancer.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			n, err := balancer.Read(buf[:])
			if err != nil {
				continue
			}
			if got, _, _ = steer.ParseReport(buf[:n]); got.StoppedServer == want {
				return
			}
		}
		t.Errorf("%s: the agent states that server %d has stopped, want %d", when, got.StoppedServer, want)
	}
	expect("listed before it listens", uint32(born))
	listener := listen(t, s.Server)
	expect("after the start of the server", 0)
	_ = listener.Close()
	leave()
	expect("agent leaves after its server", uint32(born))
	listener = listen(t, s.Server)
	defer func() { _ = listener.Close() }()
	expect("server starts while the agent leaves", 0)
}

// freePorts returns loopback addresses with ports that are not in use.
func freePorts(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	var ports []netip.AddrPort
	for range n {
		l := listen(t, netip.MustParseAddrPort("127.0.0.1:0"))
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports
}

func listen(t *testing.T, at netip.AddrPort) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		t.Fatal(err)
	}
	return l
}
