// Package paths remembers through which balancers a caller was heard, and
// selects the one for an answer.
package paths

import (
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Path is where an answer to a caller goes.
type Path struct {
	// Address is the service address that the caller uses.
	Address netip.AddrPort
	// Via is the balancer for the next answer.
	Via netip.AddrPort
}

// Paths remembers one path for each caller. It is safe for concurrent use.
type Paths struct {
	clock    clockwork.Clock
	lifetime time.Duration

	mu sync.Mutex
	// byCaller holds callers heard within the lifetime, and some for longer.
	byCaller map[netip.AddrPort]heard
	// swept is when silent callers were last removed.
	swept time.Time
}

type heard struct {
	path Path
	at   time.Time
}

// NewPaths returns an empty set. Callers are forgotten after the lifetime.
func NewPaths(clock clockwork.Clock, lifetime time.Duration) *Paths {
	return &Paths{
		clock:    clock,
		lifetime: lifetime,
		byCaller: make(map[netip.AddrPort]heard),
		swept:    clock.Now(),
	}
}

// Heard notes that a datagram of the caller arrived through a balancer.
func (p *Paths) Heard(caller netip.AddrPort, path Path) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byCaller[caller] = heard{path: path, at: now}
	if now.Sub(p.swept) >= p.lifetime {
		p.sweep(now)
	}
}

// Select returns the path for the next answer to the caller: through the
// balancer that delivered most recently.
func (p *Paths) Select(caller netip.AddrPort) (Path, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.byCaller[caller]
	return h.path, ok
}

// Len returns the number of callers remembered.
func (p *Paths) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byCaller)
}

func (p *Paths) sweep(now time.Time) {
	for caller, h := range p.byCaller {
		if now.Sub(h.at) >= p.lifetime {
			delete(p.byCaller, caller)
		}
	}
	p.swept = now
}
