// Package paths remembers through which balancers a caller was heard, and
// selects the one for an answer.
package paths

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
)

// Bounds of the selection.
const (
	// trusted is how many datagrams in a row go through the balancer last heard
	// from while the caller is silent.
	trusted = 3
	// fresh is how long a balancer counts as alive after any datagram of it.
	fresh = 250 * time.Millisecond
	// refresh is how long a list of live balancers is used before it is made anew.
	refresh = 25 * time.Millisecond
	// maxRecent bounds the balancers that are remembered.
	maxRecent = 64
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
	byCaller map[netip.AddrPort]*heard
	// balancers holds when each balancer last delivered a datagram of any caller.
	balancers map[netip.AddrPort]time.Time
	// live lists the live balancers as of listed.
	live   []netip.AddrPort
	listed time.Time
	// swept is when silent callers were last removed.
	swept time.Time
}

type heard struct {
	path Path
	at   time.Time
	// unanswered counts datagrams sent since the caller was heard.
	unanswered int
}

// NewPaths returns an empty set. Callers are forgotten after the lifetime.
func NewPaths(clock clockwork.Clock, lifetime time.Duration) *Paths {
	return &Paths{
		clock:     clock,
		lifetime:  lifetime,
		byCaller:  make(map[netip.AddrPort]*heard),
		balancers: make(map[netip.AddrPort]time.Time),
		swept:     clock.Now(),
	}
}

// Heard notes that a datagram of the caller arrived through a balancer.
func (p *Paths) Heard(caller netip.AddrPort, path Path) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byCaller[caller] = &heard{path: path, at: now}
	if _, known := p.balancers[path.Via]; !known {
		p.live = nil
	}
	p.balancers[path.Via] = now
	if now.Sub(p.swept) >= p.lifetime {
		p.sweep(now)
	}
}

// Select returns the path for the next answer to the caller: through the
// balancer that delivered its latest datagram, while the caller answers.
// Answers to a caller that has gone silent are spread over the balancers that
// are alive, so that a silent balancer cannot hold a flow.
func (p *Paths) Select(caller netip.AddrPort) (Path, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.byCaller[caller]
	if !ok {
		return Path{}, false
	}
	h.unanswered++
	if h.unanswered <= trusted {
		return h.path, true
	}
	alive := p.alive()
	if len(alive) == 0 {
		return h.path, true
	}
	return Path{Address: h.path.Address, Via: alive[h.unanswered%len(alive)]}, true
}

// alive returns the balancers heard lately. The list is made anew at intervals
// only, since bursts of answers ask for it with every datagram.
func (p *Paths) alive() []netip.AddrPort {
	if now := p.clock.Now(); p.live == nil || now.Sub(p.listed) >= refresh {
		p.live, p.listed = p.list(now), now
	}
	return p.live
}

// list returns the balancers heard lately, or all that are remembered if none
// was, most recent first.
func (p *Paths) list(now time.Time) []netip.AddrPort {
	list := lo.Keys(p.balancers)
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		return cmp.Or(p.balancers[b].Compare(p.balancers[a]), a.Compare(b))
	})
	lately := lo.Filter(list, func(a netip.AddrPort, _ int) bool { return now.Sub(p.balancers[a]) < fresh })
	if len(lately) > 0 {
		return lately
	}
	return list
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
	for via, at := range p.balancers {
		if now.Sub(at) >= p.lifetime || len(p.balancers) > maxRecent && now.Sub(at) >= fresh {
			delete(p.balancers, via)
		}
	}
	p.swept = now
}
