// Package members exchanges published entries among balancers and agents, so that only a
// few of them read the platform. Each process connects to a few neighbours, announces
// changes to them, and compares its ledger with theirs at intervals.
package members

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/readers"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
	"github.com/bergamotgw/bergamotgw/internal/tasks"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Size and intervals of the exchange.
const (
	// NeighbourCount is how many processes each one connects to.
	NeighbourCount = 4
	// compareInterval is the mean time between comparisons with a neighbour.
	compareInterval = 5 * time.Second
	// reconnectDelay is the least pause after a lost connection. The pause is random, up to
	// twice as long.
	reconnectDelay = 500 * time.Millisecond
	// coalesceDelay is how long further changes are collected before they are processed together.
	coalesceDelay = 20 * time.Millisecond
)

// Members exchanges entries with a few neighbours. It is safe for concurrent use.
type Members struct {
	config Config

	tasks *tasks.Set[netip.AddrPort]

	mu sync.Mutex
	// connected holds the neighbours with an open connection.
	connected map[netip.AddrPort]bool
	// synced is closed after the first complete comparison with a neighbour.
	synced     chan struct{}
	syncedOnce sync.Once
}

// Config holds the parameters of the exchange.
type Config struct {
	// Name is the name of this VM.
	Name string
	// Self is the peer address of this VM, which is never dialled.
	Self netip.AddrPort
	// Seeds are dialled while the VM list is empty.
	Seeds []netip.AddrPort
	// Ledger stores the entries.
	Ledger *ledger.Ledger
	// Server receives and makes the calls.
	Server *rpc.Server
	// Clock measures the intervals.
	Clock clockwork.Clock
	// Log receives an event for each neighbour connected or lost.
	Log zerolog.Logger
}

// NewMembers returns an exchange and registers its methods with the server.
func NewMembers(c Config) *Members {
	m := &Members{
		config:    c,
		tasks:     tasks.NewSet[netip.AddrPort](),
		connected: make(map[netip.AddrPort]bool),
		synced:    make(chan struct{}),
	}
	m.register(c.Server)
	return m
}

// Run maintains a connection to each neighbour until the context ends. The neighbours
// change with the VM list.
func (m *Members) Run(ctx context.Context) {
	defer m.tasks.Wait()
	for {
		changed := m.config.Ledger.Changed()
		m.tasks.Retarget(ctx, m.neighbours(), m.maintain)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if !m.sleep(ctx, coalesceDelay) {
			return
		}
	}
}

// Synced returns a channel that is closed after the first complete comparison with a
// neighbour.
func (m *Members) Synced() <-chan struct{} {
	return m.synced
}

// Connected returns the number of connected neighbours.
func (m *Members) Connected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.connected)
}

// neighbours returns the addresses to connect to: the seeds while the VM list is empty.
func (m *Members) neighbours() []netip.AddrPort {
	fleet := readers.NewFleet(m.config.Ledger)
	list := lo.Map(fleet.Neighbours(m.config.Name, NeighbourCount), func(v vm.VM, _ int) netip.AddrPort { return v.Address })
	if len(list) == 0 {
		list = m.config.Seeds
	}
	return lo.Without(lo.Uniq(list), m.config.Self)
}

func (m *Members) setConnected(address netip.AddrPort, connected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if connected {
		m.connected[address] = true
	} else {
		delete(m.connected, address)
	}
}

// sleep waits for d, and returns false if the context ends first.
func (m *Members) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.config.Clock.After(d):
		return true
	}
}
