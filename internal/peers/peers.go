// Package peers exchanges load reports with other agents of the same service.
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

// Intervals of the heartbeats. A heartbeat is a load report that is sent as a notification.
const (
	// HeartbeatInterval is the longest time between load reports to a connected peer.
	HeartbeatInterval = time.Second
	// reportLifetime is the age at which a peer's report expires.
	reportLifetime = 3500 * time.Millisecond
	// reconnectDelay is the least pause after a lost connection. The pause is random, up to
	// twice as long.
	reconnectDelay = 500 * time.Millisecond
)

// methodLoad is the RPC method of a heartbeat; its parameter is a load.Report.
const methodLoad = "load"

// Peers stores the latest load report of every peer. It is safe for concurrent use.
type Peers struct {
	config Config
	tasks  *tasks.Set[netip.AddrPort]

	mu sync.Mutex
	// received holds the latest report of each peer.
	received map[netip.AddrPort]received
	// changed is closed and replaced when the agent's own state changes.
	changed chan struct{}
}

// received is a load report and the local time at which it was received.
type received struct {
	report     load.Report
	receivedAt time.Time
}

// Config are the parameters of the exchange.
type Config struct {
	// Self is the agent's own address.
	Self netip.AddrPort
	// Report returns the agent's own load.
	Report func() load.Report
	// Server sends and receives the heartbeats.
	Server *rpc.Server
	// Clock times the heartbeats and measures the age of reports.
	Clock clockwork.Clock
	// Log reports gained and lost peers.
	Log zerolog.Logger
}

// NewPeers returns an exchange without peers, and registers the RPC method of heartbeats.
func NewPeers(c Config) *Peers {
	p := &Peers{
		config:   c,
		tasks:    tasks.NewSet[netip.AddrPort](),
		received: make(map[netip.AddrPort]received),
		changed:  make(chan struct{}),
	}
	rpc.Handle(c.Server, methodLoad, func(_ context.Context, _ *rpc.Conn, r load.Report) (struct{}, error) {
		p.LoadReceived(r)
		return struct{}{}, nil
	})
	return p
}

// SetPeers selects the peers among the agents of the service, some of which are in evacuated
// zones. It starts heartbeats to new peers, stops those to former ones, and drops the reports
// of agents that are not peers.
func (p *Peers) SetPeers(ctx context.Context, agents []netip.AddrPort, evacuated map[netip.AddrPort]bool) {
	agents = nearest(p.config.Self, agents, evacuated)
	p.tasks.Retarget(ctx, agents, p.sendTo)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = lo.PickByKeys(p.received, agents)
}

// Wait waits until the heartbeats to all peers have stopped, after their context has ended.
func (p *Peers) Wait() {
	p.tasks.Wait()
}

// Announce sends the agent's own load to every connected peer immediately.
func (p *Peers) Announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// List returns the latest reports that have not expired, sorted by address.
func (p *Peers) List() []load.Report {
	now := p.config.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []load.Report
	for _, r := range p.received {
		r.report.Age = now.Sub(r.receivedAt)
		if r.report.Age < reportLifetime {
			list = append(list, r.report)
		}
	}
	slices.SortFunc(list, func(a, b load.Report) int { return a.Agent.Compare(b.Agent) })
	return list
}

// LoadReceived stores the load report of a peer. Reports of other agents are ignored.
func (p *Peers) LoadReceived(r load.Report) {
	if !p.tasks.Has(r.Agent) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received[r.Agent] = received{report: r, receivedAt: p.config.Clock.Now()}
}

// sendTo connects to one peer, again after every failure, and sends heartbeats until the
// context ends.
func (p *Peers) sendTo(ctx context.Context, address netip.AddrPort) {
	for ctx.Err() == nil {
		c, err := p.config.Server.Dial(ctx, address.String())
		if err == nil {
			p.sendHeartbeats(ctx, c)
			_ = c.Close()
		}
		p.sleep(ctx, reconnectDelay+rand.N(reconnectDelay))
	}
}

// sendHeartbeats sends the agent's load at least every HeartbeatInterval, and immediately after
// a change of state, until the connection is lost or the context ends.
func (p *Peers) sendHeartbeats(ctx context.Context, c *rpc.Conn) {
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
