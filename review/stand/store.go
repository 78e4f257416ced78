package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      int
	items    map[string]storeItem
	// delay is added to every answer.
	delay time.Duration
}

type storeItem struct {
	value             []byte
	revision, created uint64
}

// pageItems is the most items of one page.
const pageItems = 500

func newStore() *store { return &store{revision: 1, era: 1, items: make(map[string]storeItem)} }

// put writes an item; its return is the acknowledgement.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.created
	}
	s.items[key] = storeItem{raw, s.revision, created}
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

func (i storeItem) body(key string) map[string]any {
	return map[string]any{"key": key, "value": i.value, "revision": i.revision, "created_rev": i.created, "lease": 0}
}

// ServeHTTP answers reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(4*time.Millisecond + delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		b := i.body(q.Get("key"))
		b["as_of"] = s.revision
		_ = json.NewEncoder(w).Encode(b)
	case "/api/kv-range":
		var keys []string
		for k := range s.items {
			if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		more := len(keys) > pageItems
		keys = keys[:min(len(keys), pageItems)]
		items := []any{}
		for _, k := range keys {
			items = append(items, s.items[k].body(k))
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more_pages": more, "as_of": s.revision})
	default:
		w.WriteHeader(http.StatusGone)
	}
}
