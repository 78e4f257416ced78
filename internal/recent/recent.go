// Package recent provides a map that keeps a limited number of values for a limited time.
package recent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Map removes values that were stored longer ago than its lifetime. It keeps two generations
// of values and drops the older one as a whole. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	clock    clockwork.Clock
	lifetime time.Duration
	limit    int

	mu sync.Mutex
	// young and old are generations; old is dropped after one lifetime.
	young, old map[K]V
	// rotatedAt is when young was last replaced by an empty generation.
	rotatedAt time.Time
}

// NewMap returns an empty map. Values are kept for one to two lifetimes, or for less if limit
// values or more are stored within one lifetime.
func NewMap[K comparable, V any](clock clockwork.Clock, lifetime time.Duration, limit int) *Map[K, V] {
	return &Map[K, V]{
		clock:     clock,
		lifetime:  lifetime,
		limit:     limit,
		young:     make(map[K]V),
		rotatedAt: clock.Now(),
	}
}

// Put stores a value.
func (m *Map[K, V]) Put(key K, value V) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate()
	m.young[key] = value
}

// Update replaces a stored value by the result of change. It does nothing if no value is
// stored for the key.
func (m *Map[K, V]) Update(key K, change func(V) V) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate()
	v, ok := m.young[key]
	if !ok {
		v, ok = m.old[key]
	}
	if ok {
		m.young[key] = change(v)
	}
}

// Remove deletes a value.
func (m *Map[K, V]) Remove(key K) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.young, key)
	delete(m.old, key)
}

// Get returns a stored value, and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate()
	if v, ok := m.young[key]; ok {
		return v, true
	}
	v, ok := m.old[key]
	return v, ok
}

// Len returns the number of values stored; one that was updated or refreshed may count twice.
func (m *Map[K, V]) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate()
	return len(m.young) + len(m.old)
}

// rotate makes young the old generation if the lifetime has passed or young is full. The
// caller holds the lock.
func (m *Map[K, V]) rotate() {
	now := m.clock.Now()
	age := now.Sub(m.rotatedAt)
	if age < m.lifetime && len(m.young) < m.limit {
		return
	}
	m.old = m.young
	if age >= 2*m.lifetime {
		m.old = nil
	}
	m.young = make(map[K]V)
	m.rotatedAt = now
}

// Refresh returns a stored value and whether there is one, and keeps it for another lifetime.
// It does not read the clock, since it is called on hot paths: values expire only in calls of
// Put, Update, Get and Len.
func (m *Map[K, V]) Refresh(key K) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.young[key]; ok {
		return v, true
	}
	v, ok := m.old[key]
	if ok {
		m.young[key] = v
	}
	return v, ok
}
