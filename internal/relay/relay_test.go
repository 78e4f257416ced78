package relay

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/envelope"
)

// TestDatagramsOfOtherAgents guards against a stateless reset of a flow that another agent holds:
// a datagram reaches QUIC, which resets unknown flows, only if its connection ID names this agent
// or is encrypted with a key that this agent lacks.
func TestDatagramsOfOtherAgents(t *testing.T) {
	const service = 7
	probe := lo.Must(net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}))
	listen := probe.LocalAddr().(*net.UDPAddr).AddrPort()
	_ = probe.Close()
	codec := lo.Must(connid.NewCodec(map[uint8][]byte{0: make([]byte, connid.KeyLen)}, 0))
	former := lo.Must(connid.NewCodec(map[uint8][]byte{1: make([]byte, connid.KeyLen)}, 1))
	conn, err := NewConn(Config{
		Listen: listen, Service: service, Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Holder: codec.Open, Clock: clockwork.NewRealClock(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	sender := lo.Must(net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}))
	defer func() { _ = sender.Close() }()
	other := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), listen.Port())
	via := sender.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, id := range [][]byte{
		lo.Must(codec.Seal(other, service)), lo.Must(codec.Seal(listen, service+1)), lo.Must(former.Seal(other, service)), lo.Must(codec.Seal(listen, service)),
	} {
		e := envelope.Envelope{Caller: netip.MustParseAddrPort("100.64.0.1:9"), Address: netip.MustParseAddrPort("198.18.0.1:443"), Via: via, Service: service}
		raw := make([]byte, e.Len())
		e.Put(raw)
		raw = append(append(append(raw, 0x40), id...), "payload"...)
		lo.Must(sender.WriteToUDPAddrPort(raw, listen))
	}
	buf := make([]byte, maxDatagramBytes)
	for range 2 {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, _, err := conn.ReadFrom(buf); err != nil {
			t.Fatal(err)
		}
	}
	if n := conn.Counts().OtherHolder.Load(); n != 2 {
		t.Errorf("%d datagrams of other agents, want 2", n)
	}
}
