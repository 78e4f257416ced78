package agent

import (
	"sync"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// openWork tracks open flows, and the requests and sessions in progress.
type openWork struct {
	mu sync.Mutex
	// openFlows is the set of open flows.
	openFlows map[*flow]struct{}
	// requests holds the requests in progress by their number.
	requests map[uint64]openRequest
	// lastID is the number of the latest request.
	lastID uint64
	// sessions counts reserved sessions.
	sessions int
}

type openRequest struct {
	kind  request.Kind
	abort func()
}

func newOpenWork() *openWork {
	return &openWork{openFlows: make(map[*flow]struct{}), requests: make(map[uint64]openRequest)}
}

func (w *openWork) addFlow(f *flow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openFlows[f] = struct{}{}
}

func (w *openWork) removeFlow(f *flow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.openFlows, f)
}

func (w *openWork) flows() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.openFlows)
}

func (w *openWork) addRequest(kind request.Kind, abort func()) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	w.requests[w.lastID] = openRequest{kind: kind, abort: abort}
	return w.lastID
}

func (w *openWork) removeRequest(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.requests, id)
}

// reserveSession counts one more session and returns true, unless the limit is reached.
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
	return lo.Keys(w.openFlows)
}
