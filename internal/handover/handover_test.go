package handover

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/bergamotgw/bergamotgw/internal/chunked"
	"github.com/bergamotgw/bergamotgw/internal/lab/cable"
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/peerport"
	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// init makes runs repeatable; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// Timing of the tests, much shorter than that of the product.
const (
	testServerLease = 60 * time.Millisecond
	testClientLease = 40 * time.Millisecond
)

var (
	testBody   = bytes.Repeat([]byte("purchase "), 5)
	testAnswer = bytes.Repeat([]byte("ticket "), 5)
	testOffer  = Offer{
		Preface: request.Preface{Service: "pass", Kind: request.Once, Key: "k"},
		Caller:  netip.MustParseAddrPort("127.0.0.1:1"),
		Address: netip.MustParseAddrPort("127.0.0.9:4433"),
	}
)

// fakeBackend is a slot that records the data received by the backend server.
type fakeBackend struct {
	mu       sync.Mutex
	acquired int
	released int
	received []byte
	// complete is true if the request ended without an error.
	complete bool
}

func (b *fakeBackend) acquire(context.Context, Offer) (Slot, answer.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acquired++
	return b, ""
}

func (b *fakeBackend) Run(_ context.Context, c *chunked.Conn) {
	body, err := io.ReadAll(c)
	b.mu.Lock()
	b.received, b.complete = body, err == nil
	b.mu.Unlock()
	if err == nil {
		_, _ = c.Write(testAnswer)
		_ = c.CloseWrite()
	}
}

func (b *fakeBackend) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released++
}

// attempt is the result of a request at the agent that holds the flow.
type attempt struct {
	verdict verdict.Verdict
	answer  []byte
}

// handOver hands a request over to the peer. Before the commit it pauses, and
// advances the client's clock by a duration that may differ from the pause.
func handOver(peer netip.AddrPort, pause, clockAdvance time.Duration) attempt {
	clock := clockwork.NewFakeClock()
	x := Client{Local: netip.MustParseAddr("127.0.0.1"), Clock: clock, Lease: testClientLease}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r, _, err := x.Reserve(ctx, peer, testOffer)
	if err != nil || r == nil {
		return attempt{verdict: verdict.NotRun}
	}
	time.Sleep(pause)
	clock.Advance(clockAdvance)
	e, err := r.Commit()
	if err != nil {
		return attempt{verdict: verdict.NotRun}
	}
	defer e.Abort()
	_ = r.conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = e.Write(testBody)
	_ = e.CloseWrite()
	b, err := io.ReadAll(e)
	switch {
	case err == nil:
		return attempt{verdict: verdict.Ran, answer: b}
	case errors.Is(err, ErrExpired):
		return attempt{verdict: verdict.NotRun}
	default:
		return attempt{verdict: verdict.MayHaveRun}
	}
}

// servePeer serves hand-overs until the test ends, and returns the address.
func servePeer(t *testing.T, backend func() *fakeBackend) netip.AddrPort {
	t.Helper()
	p, err := peerport.NewPort(netip.MustParseAddrPort("127.0.0.1:0"), []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")})
	if err != nil {
		t.Fatal(err)
	}
	s := Server{Lease: testServerLease, VM: "pass-2", Report: func() load.Report { return load.Report{} }, LoadReceived: func(load.Report) {}, Acquire: func(ctx context.Context, o Offer) (Slot, answer.Reason) {
		return backend().acquire(ctx, o)
	}}
	p.Handle(peerport.Handover, func(ctx context.Context, c net.Conn) { s.Serve(ctx, c) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		p.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p.Address()
}

// TestVerdictIsTrue cuts or stalls a hand-over at any byte, and pauses the client
// before the commit for less or more than the lease. The client's clock may not
// count the pause. If the verdict is notRun, no byte of the request may have
// reached the backend server; if it is ran, request and answer must be complete.
// Every slot must be released.
func TestVerdictIsTrue(t *testing.T) {
	var mu sync.Mutex
	var backend *fakeBackend
	peer := servePeer(t, func() *fakeBackend {
		mu.Lock()
		defer mu.Unlock()
		return backend
	})
	counts := make(map[verdict.Verdict]int)
	rapid.Check(t, func(t *rapid.T) {
		b := &fakeBackend{}
		mu.Lock()
		backend = b
		mu.Unlock()
		c, err := cable.NewProxy(peer)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetFaults(drawFaults(t))
		pause := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 30, 90}).Draw(t, "pause")) * time.Millisecond
		clockAdvance := pause
		if rapid.Bool().Draw(t, "unnoticed") {
			clockAdvance = 0
		}
		a := handOver(c.Address(), pause, clockAdvance)
		c.Close()
		b.check(t, a)
		counts[a.verdict]++
	})
	t.Logf("verdicts: %v", counts)
}

func drawFaults(t *rapid.T) cable.Faults {
	f := cable.NoFaults()
	at := rapid.IntRange(0, 120).Draw(t, "at")
	switch rapid.SampledFrom([]string{"none", "cutForward", "cutBackward", "stallForward", "stallBackward"}).Draw(t, "fault") {
	case "cutForward":
		f.CutForward = at
	case "cutBackward":
		f.CutBackward = at
	case "stallForward":
		f.StallForward = at
	case "stallBackward":
		f.StallBackward = at
	}
	return f
}

func (b *fakeBackend) check(t *rapid.T, a attempt) {
	for deadline := time.Now().Add(5 * time.Second); !b.allReleased(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a slot was not released")
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch a.verdict {
	case verdict.NotRun:
		if len(b.received) > 0 || b.complete {
			t.Fatalf("verdict notRun, but %d bytes reached the backend server", len(b.received))
		}
	case verdict.Ran:
		if !b.complete || !bytes.Equal(b.received, testBody) || !bytes.Equal(a.answer, testAnswer) {
			t.Fatalf("verdict ran, received %q complete %t, answer %q", b.received, b.complete, a.answer)
		}
	}
	if b.complete && !bytes.Equal(b.received, testBody) {
		t.Fatalf("a truncated request was treated as complete: %q", b.received)
	}
}

func (b *fakeBackend) allReleased() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acquired == b.released
}
