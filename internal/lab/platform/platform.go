// Package platform is a stand-in for the platform's configuration service. It
// can be slow, down, stale or alternate between old and new.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/entry"
)

// CallsPerSecond is the rate across all readers above which calls are refused.
const CallsPerSecond = 2000

// maxPageBytes bounds the texts in one answer.
const maxPageBytes = 1 << 20

// Platform serves published entries over HTTP. It is safe for concurrent use.
type Platform struct {
	mu sync.Mutex
	// history holds every published entry, oldest first.
	history []entry.Entry
	faults  Faults
	// frozen is the length of the history that stale answers show.
	frozen int
	// changed is closed and replaced at every change.
	changed chan struct{}
	// calls counts calls since the start; second and inSecond bound the rate.
	calls    uint64
	second   int64
	inSecond int
}

// Faults are what goes wrong with the service.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Stale shows the history as it was when the fault began.
	Stale bool `json:"stale"`
	// Alternate switches between stale and fresh from call to call.
	Alternate bool `json:"alternate"`
	// DelayMs delays every answer, in milliseconds.
	DelayMs int `json:"delayMs"`
}

// NewPlatform returns a service without entries.
func NewPlatform() *Platform {
	return &Platform{changed: make(chan struct{})}
}

// Publish adds entries to the history.
func (p *Platform) Publish(entries ...entry.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, entries...)
	p.wake()
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faults.Stale && !p.faults.Alternate {
		p.frozen = len(p.history)
	}
	p.faults = f
	p.wake()
}

// Calls returns how many calls were made since the start.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Run serves on the address until the context ends.
func (p *Platform) Run(ctx context.Context, address netip.AddrPort) error {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return merry.Prepend(err, "platform")
	}
	s := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); ctx.Err() == nil {
		return merry.Wrap(err)
	}
	return nil
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/changes", p.serveChanges)
	mux.HandleFunc("POST /admin/publish", p.servePublish)
	mux.HandleFunc("POST /admin/faults", p.serveFaults)
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Calls())
	})
	return mux
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	var entries []entry.Entry
	if err := json.NewDecoder(r.Body).Decode(&entries); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(entries...)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

type page struct {
	Index   uint64        `json:"index"`
	Entries []entry.Entry `json:"entries"`
}

func (p *Platform) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 63)
	if err != nil {
		http.Error(w, "after: want a number", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	status, delay := p.admit()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	time.Sleep(delay)
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		answer, down, changed := p.page(after)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if answer.Index != after {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			_ = json.NewEncoder(w).Encode(answer)
			return
		case <-changed:
		}
	}
}

// admit counts the call and returns its status and delay.
func (p *Platform) admit() (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if now := time.Now().Unix(); now != p.second {
		p.second, p.inSecond = now, 0
	}
	p.inSecond++
	if p.inSecond > CallsPerSecond {
		return http.StatusTooManyRequests, 0
	}
	if p.faults.Down {
		return http.StatusServiceUnavailable, 0
	}
	return http.StatusOK, time.Duration(p.faults.DelayMs) * time.Millisecond
}

// page returns the latest text of every key published after the index.
func (p *Platform) page(after uint64) (page, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := len(p.history)
	if p.faults.Stale || p.faults.Alternate && p.calls%2 == 0 {
		visible = min(p.frozen, visible)
	}
	if after >= uint64(visible) {
		return page{Index: uint64(visible)}, p.faults.Down, p.changed
	}
	latest := make(map[string]entry.Entry)
	size := 0
	end := int(after)
	for ; end < visible && size < maxPageBytes; end++ {
		latest[p.history[end].Key] = p.history[end]
		size += len(p.history[end].Raw)
	}
	answer := page{Index: uint64(end)}
	for _, e := range latest {
		answer.Entries = append(answer.Entries, e)
	}
	slices.SortFunc(answer.Entries, func(a, b entry.Entry) int { return strings.Compare(a.Key, b.Key) })
	return answer, p.faults.Down, p.changed
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
