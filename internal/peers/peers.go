// Package peers exchanges load with the other agents of the same service.
package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
	"github.com/bergamotgw/bergamotgw/internal/tasks"
)

// Pace of the heartbeats.
const (
	// HeartbeatInterval is the time between load reports to a peer.
	HeartbeatInterval = time.Second
	// expiry is the age at which a peer's report no longer counts.
	expiry         = 3500 * time.Millisecond
	reconnectDelay = 500 * time.Millisecond
)

// methodLoad carries a load.Report as a notification.
const methodLoad = "load"

// Peers keeps the latest load of every peer. It is safe for concurrent use.
type Peers struct {
	config Config
	tasks  *tasks.Set[netip.AddrPort]

	mu sync.Mutex
	// heard holds the latest report of each agent.
	heard map[netip.AddrPort]heard
	// changed is closed and replaced when the own state changes.
	changed chan struct{}
}

type heard struct {
	report load.Report
	at     time.Time
}

// Config are the parameters of the exchange.
type Config struct {
	// Self is the agent's own address.
	Self netip.AddrPort
	// Report returns the agent's own load.
	Report func() load.Report
	// Server carries the heartbeats.
	Server *rpc.Server
	// Clock paces and ages the heartbeats.
	Clock clockwork.Clock
	// Log reports gained and lost peers.
	Log zerolog.Logger
}

// NewPeers registers the heartbeat method.
func NewPeers(c Config) *Peers {
	p := &Peers{
		config:  c,
		tasks:   tasks.NewSet[netip.AddrPort](),
		heard:   make(map[netip.AddrPort]heard),
		changed: make(chan struct{}),
	}
	rpc.Handle(c.Server, methodLoad, func(_ context.Context, _ *rpc.Conn, r load.Report) (struct{}, error) {
		p.Heard(r)
		return struct{}{}, nil
	})
	return p
}

// SetPeers starts and stops tasks so that they match the agents of the service
// that are nearest on the ring.
func (p *Peers) SetPeers(ctx context.Context, agents []netip.AddrPort) {
	agents = nearest(p.config.Self, agents)
	p.tasks.Retarget(ctx, agents, p.follow)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = lo.PickByKeys(p.heard, agents)
}

// Wait waits for the tasks of all peers to end after their context did.
func (p *Peers) Wait() {
	p.tasks.Wait()
}

// Announce sends the own load to every peer at once.
func (p *Peers) Announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// List returns the latest reports that still count, by address.
func (p *Peers) List() []load.Report {
	now := p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []load.Report
	for _, h := range p.heard {
		h.report.Age = now.Sub(h.at)
		if h.report.Age < expiry {
			list = append(list, h.report)
		}
	}
	slices.SortFunc(list, func(a, b load.Report) int { return a.Agent.Compare(b.Agent) })
	return list
}

// Heard notes the load of a peer.
func (p *Peers) Heard(r load.Report) {
	if !p.tasks.Has(r.Agent) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[r.Agent] = heard{report: r, at: p.config.Clock.Now()}
}

// follow sends heartbeats to one peer until the context ends.
func (p *Peers) follow(ctx context.Context, address netip.AddrPort) {
	for ctx.Err() == nil {
		c, err := p.config.Server.Dial(ctx, address.String())
		if err == nil {
			p.heartbeats(ctx, c)
			_ = c.Close()
		}
		p.sleep(ctx, reconnectDelay+rand.N(reconnectDelay))
	}
}

func (p *Peers) heartbeats(ctx context.Context, c *rpc.Conn) {
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if err := rpc.Notify(ctx, c, methodLoad, p.config.Report()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Closed():
			return
		case <-changed:
		case <-p.config.Clock.After(HeartbeatInterval):
		}
	}
}

func (p *Peers) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.config.Clock.After(d):
	}
}
