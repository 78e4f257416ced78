// Package recent remembers values for a limited time and in limited number.
package recent

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Map forgets values that were stored longer ago than its lifetime. It is safe
// for concurrent use.
type Map[K comparable, V any] struct {
	clock    clockwork.Clock
	lifetime time.Duration
	limit    int

	mu sync.Mutex
	// young and old are generations; old is dropped after one lifetime.
	young, old map[K]V
	// rotatedAt is when young became empty.
	rotatedAt time.Time
}

// NewMap returns an empty map. Values live between one and two lifetimes, less
// if more than limit values are stored within one.
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

// Update replaces a stored value by what change makes of it, unless none is stored.
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

// Remove forgets a value.
func (m *Map[K, V]) Remove(key K) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.young, key)
	delete(m.old, key)
}

// Get returns a stored value.
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

// Len returns the number of values held.
func (m *Map[K, V]) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rotate()
	return len(m.young) + len(m.old)
}

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

// Refresh returns a stored value, and keeps it for a further lifetime. It does
// not look at the clock, for the sake of hot paths: values age with Put and Get.
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
