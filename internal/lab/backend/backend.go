// Package backend is a stand-in for a backend server, for tests. It runs a limited
// number of requests at once, at a configurable speed and with an optional cold
// start, and records every request in a journal. Its health endpoint can be made
// to report outdated or false values.
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

// headerTimeout limits the wait for the PROXY header of a connection and for the
// header of an HTTP request.
const headerTimeout = 10 * time.Second

// Backend is one simulated backend server. It is safe for concurrent use.
type Backend struct {
	config    Config
	startedAt time.Time
	slots     chan struct{}

	mu        sync.Mutex
	journal   []Record
	behaviour Behaviour
	inFlight  int
	sessions  int
	busyTime  time.Duration
	workDone  time.Duration
	health    healthHistory
	file      *os.File
}

// Config holds the parameters of a backend server.
type Config struct {
	// VM is the name of the VM.
	VM string
	// Service is the service that the server belongs to.
	Service string
	// Listen is the TCP address for connections that start with a PROXY protocol header.
	Listen netip.AddrPort
	// Admin is the HTTP address of the health, statistics, journal and control endpoints.
	Admin netip.AddrPort
	// Slots is the number of requests that run at once; others wait.
	Slots int
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
	// JournalFile is a file that preserves the journal when the process is killed; optional.
	JournalFile string
}

// Behaviour holds what a test may change while the server runs.
type Behaviour struct {
	// Speed is the speed relative to the nominal speed; 0 means 1.
	Speed float64 `json:"speed,omitempty"`
	// ColdMs is the length of the cold start, in milliseconds: the time after the start
	// during which the server works at a quarter of its speed.
	ColdMs int `json:"coldMs,omitempty"`
	// Draining is the draining state that the health endpoint reports.
	Draining bool `json:"draining,omitempty"`
	// Unhealthy makes the health endpoint report a fault although the server works.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// LagMs is the age of the values that the health endpoint reports, in milliseconds.
	LagMs int `json:"lagMs,omitempty"`
	// StallMs delays the answer to every request after its work, in milliseconds.
	StallMs int `json:"stallMs,omitempty"`
}

// Record is the journal entry of one request that reached the server.
type Record struct {
	// Key is the idempotency key.
	Key string `json:"key"`
	// Kind is the kind of the request: session, once or repeatable.
	Kind string `json:"kind"`
	// ID is the identifier in the request itself.
	ID string `json:"id"`
	// Service is the service that the caller addressed.
	Service string `json:"service"`
	// UnixMicros is the time at which the whole request was received, in microseconds
	// since the Unix epoch.
	UnixMicros int64 `json:"unixMicros"`
	// Answered reports whether the whole answer was written.
	Answered bool `json:"answered"`
}

// NewBackend returns a backend server that does not listen yet.
func NewBackend(c Config) *Backend {
	return &Backend{config: c, startedAt: time.Now(), slots: make(chan struct{}, c.Slots), behaviour: c.Behaviour}
}

// Run serves requests and the admin endpoints until the context ends. It returns an
// error if it cannot open the journal file or listen.
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
	key, kind, offset := proxyParameters(c)
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
			b.markAnswered(index)
		}
	}
}

// execute waits for a slot and works on the request in it. It returns false if the
// context ends first.
func (b *Backend) execute(ctx context.Context, r wire.Request) bool {
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	b.addInFlight(1)
	start := time.Now()
	defer func() {
		b.finish(time.Since(start), time.Duration(r.WorkMicros)*time.Microsecond)
		<-b.slots
	}()
	return pause(ctx, b.workTime(r)) && pause(ctx, b.stall())
}

// session sends numbered records, starting at the offset in bytes, until the
// connection or the context ends.
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

// proxyParameters returns the key, the kind and the session offset that the agent
// sent in the PROXY header. They are zero values if the header is missing or invalid.
func proxyParameters(c *proxyproto.Conn) (key, kind string, offset uint64) {
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

// pause waits for the duration and returns false if the context ends first.
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
