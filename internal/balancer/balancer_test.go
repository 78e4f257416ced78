package balancer

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/envelope"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/routes"
	"github.com/bergamotgw/bergamotgw/internal/section"
)

var (
	agentAddress   = netip.MustParseAddrPort("127.0.0.1:9001")
	foreignAddress = netip.MustParseAddrPort("192.0.2.1:9001")
	callerAddress  = netip.MustParseAddrPort("127.0.0.1:9002")
	passAddress    = netip.MustParseAddrPort("127.0.0.9:4433")
	testKey        = []byte("0123456789abcdef")
)

// newTestBalancer returns a balancer between the given fabric and agents in
// 127.0.0.0/8. The given agent is the only one of the service.
func newTestBalancer(t testing.TB, fabric, agent netip.AddrPort) *Balancer {
	t.Helper()
	b, err := NewBalancer(Config{
		Front:         netip.MustParseAddrPort("127.0.0.1:0"),
		Fabric:        fabric,
		Back:          netip.MustParseAddrPort("127.0.0.1:0"),
		AgentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Codec:         newTestCodec(t, testKey),
		Table:         routes.NewTable(testLedger(t, agent), rendezvous.NewRanker(testKey)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func newTestCodec(t testing.TB, key []byte) *connid.Codec {
	t.Helper()
	c, err := connid.NewCodec(map[uint8][]byte{0: key}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func testLedger(t testing.TB, agent netip.AddrPort) *ledger.Ledger {
	t.Helper()
	l := ledger.NewLedger(clockwork.NewFakeClock())
	raw := fmt.Sprintf(`{"service":"pass","owner":"x","revision":1,"addresses":["%s"],"kinds":["once"],
		"endpoints":[{"vm":"pass-1","agent":"%s","zone":"z","slots":1,"connections":1,"weight":1}]}`, passAddress, agent)
	if o := l.Offer(entry.Entry{Key: "section/pass", Revision: 1, Raw: []byte(raw)}); o != ledger.Accepted {
		t.Fatalf("section not accepted: %v", l.Refusals())
	}
	return l
}

// TestRouting passes datagrams to the balancer and prints the outcome of each.
// A directive describes a datagram: short|long|version0, id=own|foreign|forged|
// random|HEX, size=N, to=ADDRESS, envelope=bad|none.
func TestRouting(t *testing.T) {
	datadriven.RunTest(t, "testdata/routing.txt", func(t *testing.T, d *datadriven.TestData) string {
		agent := newSocket(t)
		b := newTestBalancer(t, localAddr(newSocket(t)), localAddr(agent))
		defer closeAll(b)
		buf := make([]byte, envelope.MaxLen+maxDatagramBytes)
		start := envelope.MaxLen - envelope.MinLen
		n := buildDatagram(t, d, b, localAddr(agent), buf[start:])
		reason := b.toAgent(buf[:start+n], start, netip.AddrPort{})
		if reason != Forwarded {
			return reason.String()
		}
		e, datagram := receive(t, agent)
		return fmt.Sprintf("forwarded: service %t, new flow %t, candidates %d, datagram of %d bytes",
			e.Service == section.ID("pass"), e.NewFlow, e.Count, len(datagram))
	})
}

func buildDatagram(t *testing.T, d *datadriven.TestData, b *Balancer, agent netip.AddrPort, buf []byte) int {
	size, to, id, form := 1200, passAddress.String(), "random", "ok"
	d.MaybeScanArgs(t, "size", &size)
	d.MaybeScanArgs(t, "to", &to)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "envelope", &form)
	datagram := header(d.Cmd, buildID(t, b, agent, id))
	datagram = append(datagram, make([]byte, max(size-len(datagram), 0))...)[:size]
	e := envelope.Envelope{Caller: callerAddress, Address: netip.MustParseAddrPort(to)}
	e.Put(buf)
	if form == "bad" {
		buf[0] ^= 0xff
	}
	return e.Len() + copy(buf[e.Len():], datagram)
}

// header returns the version-independent QUIC header of a short, long or version0 packet.
func header(form string, id []byte) []byte {
	switch form {
	case "short":
		return append([]byte{0x40}, id...)
	case "long":
		return append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...)
	default:
		return append([]byte{0xc0, 0, 0, 0, 0, byte(len(id))}, id...)
	}
}

func buildID(t *testing.T, b *Balancer, agent netip.AddrPort, id string) []byte {
	seal := func(c *connid.Codec, a netip.AddrPort) []byte {
		sealed, err := c.Seal(a, section.ID("pass"))
		if err != nil {
			t.Fatal(err)
		}
		return sealed
	}
	switch id {
	case "own":
		return seal(b.codec.Load(), agent)
	case "foreign":
		return seal(b.codec.Load(), foreignAddress)
	case "forged":
		for {
			forged := seal(newTestCodec(t, []byte("fedcba9876543210")), agent)
			if _, _, ok := b.codec.Load().Open(forged); !ok {
				return forged
			}
		}
	case "random":
		return []byte("12345678")
	default:
		raw, err := hex.DecodeString(id)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
}

// TestAnswersComeFromAgentsOnly checks that the balancer forwards no datagram
// from outside the agent networks to the fabric.
func TestAnswersComeFromAgentsOnly(t *testing.T) {
	fabric := newSocket(t)
	b := newTestBalancer(t, localAddr(fabric), agentAddress)
	defer closeAll(b)
	e := envelope.Envelope{Caller: callerAddress, Address: passAddress}
	buf := make([]byte, e.Len()+10)
	e.Put(buf)
	if r := b.toCaller(buf, 0, foreignAddress); r != ForeignAgent {
		t.Errorf("answer from %v: %v, want %v", foreignAddress, r, ForeignAgent)
	}
	if r := b.toCaller(buf, 0, agentAddress); r != Forwarded {
		t.Errorf("answer from %v: %v, want %v", agentAddress, r, Forwarded)
	}
	if r := b.toCaller(buf[:5], 0, agentAddress); r != BadEnvelope {
		t.Errorf("truncated answer: %v, want %v", r, BadEnvelope)
	}
}

// TestDropsAreCounted sends invalid datagrams through the front socket and checks
// the drop counters.
func TestDropsAreCounted(t *testing.T) {
	b := newTestBalancer(t, agentAddress, agentAddress)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		b.Run(ctx, 1)
		close(done)
	}()
	s := newSocket(t)
	for _, text := range []string{"", "x", strings.Repeat("y", maxDatagramBytes+1)} {
		if _, err := s.WriteToUDPAddrPort([]byte(text), localAddr(b.front)); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); b.Drops(BadEnvelope) < 2 || b.Drops(TooLong) < 1; {
		if time.Now().After(deadline) {
			t.Fatalf("bad envelopes %d, too long %d; want 2 and 1", b.Drops(BadEnvelope), b.Drops(TooLong))
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
}

func newSocket(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func receive(t *testing.T, c *net.UDPConn) (envelope.Envelope, []byte) {
	t.Helper()
	buf := make([]byte, envelope.MaxLen+maxDatagramBytes)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := c.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	e, datagram, ok := envelope.Parse(buf[:n])
	if !ok {
		t.Fatal("malformed envelope")
	}
	return e, datagram
}

func closeAll(b *Balancer) {
	_ = b.front.Close()
	_ = b.back.Close()
}
