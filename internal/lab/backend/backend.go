// Package backend is a stand-in for a backend server: it has slots, a speed, a
// cold start and a health endpoint that may lag or lie, and keeps a journal.
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pires/go-proxyproto"

	"github.com/bergamotgw/bergamotgw/internal/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/wire"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// headerTimeout bounds the wait for the PROXY header.
const headerTimeout = 10 * time.Second

// Backend serves requests. It is safe for concurrent use.
type Backend struct {
	config  Config
	started time.Time
	slots   chan struct{}

	mu       sync.Mutex
	journal  []Record
	behave   Behaviour
	inFlight int
	sessions int
	busy     time.Duration
	work     time.Duration
	health   healthHistory
	file     *os.File
}

// Config are the parameters of a backend server.
type Config struct {
	// VM is the name of the VM.
	VM string
	// Service is the service that it belongs to.
	Service string
	// Listen takes connections with a PROXY protocol header.
	Listen netip.AddrPort
	// Admin serves health, journal and control over HTTP.
	Admin netip.AddrPort
	// Slots is how many requests run at once; others wait.
	Slots int
	// Behaviour is the first behaviour.
	Behaviour Behaviour
	// JournalFile keeps the journal when the process is killed; optional.
	JournalFile string
}

// Behaviour is what a test may change while the server runs.
type Behaviour struct {
	// Speed is relative to the nominal speed; 0 means 1.
	Speed float64 `json:"speed,omitempty"`
	// ColdMs is how long after the start the server works at a quarter of its speed.
	ColdMs int `json:"coldMs,omitempty"`
	// Draining is told by the health endpoint.
	Draining bool `json:"draining,omitempty"`
	// Unhealthy makes the health endpoint report a fault that is not there.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// LagMs is the age of what the health endpoint tells.
	LagMs int `json:"lagMs,omitempty"`
	// StallMs delays the answer of every request after its work.
	StallMs int `json:"stallMs,omitempty"`
}

// Record is one request that reached the server.
type Record struct {
	// Key is the idempotency key.
	Key string `json:"key"`
	// Kind is the kind of the request.
	Kind string `json:"kind"`
	// ID is the request's own identity.
	ID string `json:"id"`
	// Service is the service that the caller meant.
	Service string `json:"service"`
	// UnixMicros is when the request was complete.
	UnixMicros int64 `json:"unixMicros"`
	// Answered is true once the whole answer was written.
	Answered bool `json:"answered"`
}

// NewBackend returns a backend server that does not listen yet.
func NewBackend(c Config) *Backend {
	return &Backend{config: c, started: time.Now(), slots: make(chan struct{}, c.Slots), behave: c.Behaviour}
}

// Run serves until the context ends.
func (b *Backend) Run(ctx context.Context) error {
	if err := b.openJournal(); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", b.config.Listen.String())
	if err != nil {
		return merry.Prepend(err, "backend server")
	}
	p := &proxyproto.Listener{Listener: l, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = p.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { b.serveAdmin(ctx) })
	for {
		c, err := p.Accept()
		if err != nil {
			return nil
		}
		wg.Go(func() { b.serve(ctx, c.(*proxyproto.Conn)) })
	}
}

func (b *Backend) openJournal() (err error) {
	if b.config.JournalFile == "" {
		return nil
	}
	b.file, err = os.OpenFile(b.config.JournalFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	return merry.Prepend(err, "journal")
}

func (b *Backend) serve(ctx context.Context, c *proxyproto.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.Close() }()
	context.AfterFunc(ctx, func() { _ = c.Close() })
	reader := bufio.NewReader(c)
	r, err := wire.Read(reader)
	if err != nil {
		return
	}
	key, kind, offset := parameters(c)
	index := b.record(Record{Key: key, Kind: kind, ID: r.ID, Service: r.Service, UnixMicros: time.Now().UnixMicro()})
	go func() {
		_, err := io.Copy(io.Discard, reader)
		if err != nil || kind == string(request.Session) {
			cancel()
			return
		}
		awaitReset(ctx, c)
		cancel()
	}()
	if kind == string(request.Session) {
		b.session(ctx, c, r, offset)
		return
	}
	if b.execute(ctx, r) {
		if _, err := c.Write(r.EncodeAnswer()); err == nil {
			b.answered(index)
		}
	}
}

// execute works on a request in a slot and reports whether it was not cancelled.
func (b *Backend) execute(ctx context.Context, r wire.Request) bool {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	b.enter(1)
	start := time.Now()
	defer func() {
		b.finish(time.Since(start), time.Duration(r.WorkMicros)*time.Microsecond)
		<-b.slots
	}()
	return pause(ctx, b.workTime(r)) && pause(ctx, b.stall())
}

// session sends numbered records from the offset until the caller leaves.
func (b *Backend) session(ctx context.Context, c net.Conn, r wire.Request, offset uint64) {
	b.mu.Lock()
	b.sessions++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.sessions--
		b.mu.Unlock()
	}()
	interval := time.Duration(max(r.IntervalMs, 1)) * time.Millisecond
	for number := offset / wire.RecordLen; ; number++ {
		if _, err := c.Write(wire.Record(number)); err != nil || !pause(ctx, interval) {
			return
		}
	}
}

// parameters reads what the agent states in the PROXY header.
func parameters(c *proxyproto.Conn) (key, kind string, offset uint64) {
	h := c.ProxyHeader()
	if h == nil {
		return "", "", 0
	}
	tlvs, err := h.TLVs()
	if err != nil {
		return "", "", 0
	}
	for _, t := range tlvs {
		switch t.Type {
		case backend.TypeKey:
			key = string(t.Value)
		case backend.TypeKind:
			kind = string(t.Value)
		case backend.TypeOffset:
			for _, x := range t.Value {
				offset = offset<<8 | uint64(x)
			}
		}
	}
	return key, kind, offset
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
