// Package paths stores through which balancer the latest datagram of each caller arrived,
// and selects the balancer through which the next answer goes.
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
	// maxUnanswered is how many datagrams in a row go through the balancer that delivered
	// the caller's latest datagram, while the caller sends nothing.
	maxUnanswered = 3
	// liveTimeout is how long a balancer counts as live after it delivered a datagram of any
	// caller.
	liveTimeout = 250 * time.Millisecond
	// listLifetime is how long a list of live balancers is used before it is made again.
	listLifetime = 25 * time.Millisecond
	// maxBalancers is the number of balancers above which those that are not live are
	// removed before their lifetime ends.
	maxBalancers = 64
)

// Path is the route of an answer to a caller.
type Path struct {
	// Address is the service address that the caller uses.
	Address netip.AddrPort
	// Via is the balancer for the next answer.
	Via netip.AddrPort
}

// Paths stores one path for each caller. It is safe for concurrent use.
type Paths struct {
	clock    clockwork.Clock
	lifetime time.Duration

	mu sync.Mutex
	// byCaller holds the callers that sent a datagram within the lifetime, and older ones
	// until the next sweep.
	byCaller map[netip.AddrPort]*callerState
	// balancers holds when each balancer last delivered a datagram of any caller.
	balancers map[netip.AddrPort]time.Time
	// live is the result of candidates at listedAt; nil if it has to be made again.
	live     []netip.AddrPort
	listedAt time.Time
	// sweptAt is when expired callers and balancers were last removed.
	sweptAt time.Time
}

// callerState is the path of a caller's latest datagram, and when that arrived.
type callerState struct {
	path       Path
	receivedAt time.Time
	// unanswered counts the answers sent since the caller's latest datagram arrived.
	unanswered int
}

// NewPaths returns an empty set. Callers and balancers expire after the lifetime.
func NewPaths(clock clockwork.Clock, lifetime time.Duration) *Paths {
	return &Paths{
		clock:     clock,
		lifetime:  lifetime,
		byCaller:  make(map[netip.AddrPort]*callerState),
		balancers: make(map[netip.AddrPort]time.Time),
		sweptAt:   clock.Now(),
	}
}

// Record stores that a datagram of the caller arrived by the given path.
func (p *Paths) Record(caller netip.AddrPort, path Path) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byCaller[caller] = &callerState{path: path, receivedAt: now}
	if _, known := p.balancers[path.Via]; !known {
		p.live = nil
	}
	p.balancers[path.Via] = now
	if now.Sub(p.sweptAt) >= p.lifetime {
		p.sweep(now)
	}
}

// Select returns the path for the next answer to the caller: through the balancer that
// delivered the caller's latest datagram, until maxUnanswered answers have been sent without
// a further datagram. Later answers take turns among the live balancers, so that a balancer
// that has stopped cannot block the flow. It returns false if the caller is not stored.
func (p *Paths) Select(caller netip.AddrPort) (Path, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.byCaller[caller]
	if !ok {
		return Path{}, false
	}
	c.unanswered++
	if c.unanswered <= maxUnanswered {
		return c.path, true
	}
	liveBalancers := p.liveBalancers()
	if len(liveBalancers) == 0 {
		return c.path, true
	}
	return Path{Address: c.path.Address, Via: liveBalancers[c.unanswered%len(liveBalancers)]}, true
}

// liveBalancers returns the balancers to choose from, as candidates does. The list is made
// again only after listLifetime, since a burst of answers needs it for every datagram.
func (p *Paths) liveBalancers() []netip.AddrPort {
	if now := p.clock.Now(); p.live == nil || now.Sub(p.listedAt) >= listLifetime {
		p.live, p.listedAt = p.candidates(now), now
	}
	return p.live
}

// candidates returns the live balancers, or all that are stored if none is live, the
// latest first.
func (p *Paths) candidates(now time.Time) []netip.AddrPort {
	candidates := lo.Keys(p.balancers)
	slices.SortFunc(candidates, func(a, b netip.AddrPort) int {
		return cmp.Or(p.balancers[b].Compare(p.balancers[a]), a.Compare(b))
	})
	live := lo.Filter(candidates, func(a netip.AddrPort, _ int) bool { return now.Sub(p.balancers[a]) < liveTimeout })
	if len(live) > 0 {
		return live
	}
	return candidates
}

// Len returns the number of callers stored.
func (p *Paths) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byCaller)
}

func (p *Paths) sweep(now time.Time) {
	for caller, c := range p.byCaller {
		if now.Sub(c.receivedAt) >= p.lifetime {
			delete(p.byCaller, caller)
		}
	}
	for via, receivedAt := range p.balancers {
		if now.Sub(receivedAt) >= p.lifetime || len(p.balancers) > maxBalancers && now.Sub(receivedAt) >= liveTimeout {
			delete(p.balancers, via)
		}
	}
	p.sweptAt = now
}
