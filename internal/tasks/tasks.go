// Package tasks runs one task for each key of a set that changes over time.
package tasks

import (
	"context"
	"sync"

	"github.com/samber/lo"
)

// Set runs one task for each key. It is safe for concurrent use.
type Set[K comparable] struct {
	mu sync.Mutex
	// cancels holds the cancel function of each task.
	cancels map[K]context.CancelFunc
	running sync.WaitGroup
}

// NewSet returns a set without tasks.
func NewSet[K comparable]() *Set[K] {
	return &Set[K]{cancels: make(map[K]context.CancelFunc)}
}

// Retarget cancels the tasks of keys that are not wanted, and starts a task for each wanted key
// that has none. Tasks must return when their context ends.
func (s *Set[K]) Retarget(ctx context.Context, wanted []K, run func(ctx context.Context, key K)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, cancel := range s.cancels {
		if !lo.Contains(wanted, key) {
			cancel()
			delete(s.cancels, key)
		}
	}
	for _, key := range wanted {
		if _, ok := s.cancels[key]; ok {
			continue
		}
		task, cancel := context.WithCancel(ctx)
		s.cancels[key] = cancel
		s.running.Go(func() { run(task, key) })
	}
}

// Has reports whether the key has a task.
func (s *Set[K]) Has(key K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.cancels[key]
	return ok
}

// Wait waits until all tasks have returned, including cancelled ones. It cancels none itself.
func (s *Set[K]) Wait() {
	s.running.Wait()
}
