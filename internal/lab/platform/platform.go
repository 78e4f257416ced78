// Package platform is a stand-in for the configuration service of the platform, for
// tests. It can be made to answer late, to refuse calls, to return outdated entries, or
// to alternate between outdated and current entries.
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

// CallsPerSecond is the total rate of calls above which the service refuses calls with
// status 429.
const CallsPerSecond = 2000

// maxPageBytes is the size of the texts after which an answer takes no further entries.
const maxPageBytes = 1 << 20

// Platform serves published entries over HTTP. It is safe for concurrent use.
type Platform struct {
	mu sync.Mutex
	// epoch counts the returns from a backup, from 1.
	epoch uint64
	// history holds every published entry, oldest first.
	history []entry.Entry
	faults  Faults
	// staleLen is the length of the history that stale answers show.
	staleLen int
	// changed is closed and replaced when entries are published or the faults change.
	changed chan struct{}
	// calls counts the calls since the start. callsInSecond counts those of currentSecond,
	// a Unix time in seconds, to limit the rate.
	calls         uint64
	currentSecond int64
	callsInSecond int
}

// Faults holds the faults of the service.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// Stale returns the entries as they were when the fault began.
	Stale bool `json:"stale"`
	// Alternate returns outdated entries in every second call and current entries in the
	// others.
	Alternate bool `json:"alternate"`
	// DelayMs delays every answer, in milliseconds.
	DelayMs int `json:"delayMs"`
	// Restore is the number of the latest entries that are lost when the faults are set: the
	// service returns from a backup that lacks them. 0 leaves the entries.
	Restore int `json:"restore"`
}

// NewPlatform returns a service without entries.
func NewPlatform() *Platform {
	return &Platform{epoch: 1, changed: make(chan struct{})}
}

// Publish appends entries to the history and notifies the waiting calls.
func (p *Platform) Publish(entries ...entry.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, entries...)
	p.notifyReaders()
}

// restore makes the service return from a backup that lacks the latest lost entries. Later
// entries get indexes that it may have issued before. The caller holds the lock.
func (p *Platform) restore(lost int) {
	p.epoch++
	kept := max(len(p.history)-lost, 0)
	p.history = p.history[:kept:kept]
}

// SetFaults replaces the faults, also for the waiting calls.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faults.Stale && !p.faults.Alternate {
		p.staleLen = len(p.history)
	}
	if f.Restore > 0 {
		p.restore(f.Restore)
	}
	p.faults = f
	p.notifyReaders()
}

// Calls returns the number of calls for changes since the start.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Run serves on the address until the context ends. It returns an error if it cannot
// listen or the server fails.
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

// page is an answer with changes: the epoch, the index after the last entry, and the entries.
type page struct {
	Epoch   uint64        `json:"epoch"`
	Index   uint64        `json:"index"`
	Entries []entry.Entry `json:"entries"`
}

// serveChanges answers with the changes after an index. If there are none, it waits for
// up to waitMs milliseconds, unless the caller states another epoch than the present one.
func (p *Platform) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 63)
	if err != nil {
		http.Error(w, "after: want a number", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
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
		if answer.Index != after || epoch > 0 && answer.Epoch != epoch {
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

// admit counts the call. It returns the status of the answer, which is an error above
// the permitted rate or when the service is down, and the delay before the answer.
func (p *Platform) admit() (int, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if second := time.Now().Unix(); second != p.currentSecond {
		p.currentSecond, p.callsInSecond = second, 0
	}
	p.callsInSecond++
	if p.callsInSecond > CallsPerSecond {
		return http.StatusTooManyRequests, 0
	}
	if p.faults.Down {
		return http.StatusServiceUnavailable, 0
	}
	return http.StatusOK, time.Duration(p.faults.DelayMs) * time.Millisecond
}

// page returns the latest entry of every key that was published after the index,
// whether the service is down, and a channel that is closed at the next change.
func (p *Platform) page(after uint64) (page, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visibleLen := len(p.history)
	if p.faults.Stale || p.faults.Alternate && p.calls%2 == 0 {
		visibleLen = min(p.staleLen, visibleLen)
	}
	if after >= uint64(visibleLen) {
		return page{Epoch: p.epoch, Index: uint64(visibleLen)}, p.faults.Down, p.changed
	}
	latest := make(map[string]entry.Entry)
	size := 0
	end := int(after)
	for ; end < visibleLen && size < maxPageBytes; end++ {
		latest[p.history[end].Key] = p.history[end]
		size += len(p.history[end].Raw)
	}
	answer := page{Epoch: p.epoch, Index: uint64(end)}
	for _, e := range latest {
		answer.Entries = append(answer.Entries, e)
	}
	slices.SortFunc(answer.Entries, func(a, b entry.Entry) int { return strings.Compare(a.Key, b.Key) })
	return answer, p.faults.Down, p.changed
}

// notifyReaders ends the wait of all calls for changes.
func (p *Platform) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}
