package agent

import (
	"sync"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// openWork tracks the flows and requests in progress.
type openWork struct {
	mu sync.Mutex
	// open holds every flow.
	open map[*flow]struct{}
	// requests holds every request in progress, by number.
	requests map[uint64]openRequest
	// next is the number of the next request.
	next uint64
	// sessions counts reserved sessions.
	sessions int
}

type openRequest struct {
	kind  request.Kind
	abort func()
}

func newOpenWork() *openWork {
	return &openWork{open: make(map[*flow]struct{}), requests: make(map[uint64]openRequest)}
}

func (w *openWork) addFlow(f *flow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[f] = struct{}{}
}

func (w *openWork) removeFlow(f *flow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, f)
}

func (w *openWork) flows() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.open)
}

func (w *openWork) addRequest(kind request.Kind, abort func()) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	w.requests[w.next] = openRequest{kind: kind, abort: abort}
	return w.next
}

func (w *openWork) removeRequest(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, id)
}

// reserveSession counts a session unless the limit is reached.
func (w *openWork) reserveSession(limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions >= limit {
		return false
	}
	w.sessions++
	return true
}

func (w *openWork) releaseSession() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessions--
}

// count returns how many requests of each kind are in progress.
func (w *openWork) count() map[request.Kind]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := make(map[request.Kind]int)
	for _, r := range w.requests {
		n[r.kind]++
	}
	return n
}

// total returns how many requests are in progress.
func (w *openWork) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// list returns the open flows.
func (w *openWork) list() []*flow {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.Keys(w.open)
}
