// Package members exchanges published entries with other processes of the
// system, so that few of them read the platform.
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

// Pace of the exchange.
const (
	// NeighbourCount is how many processes each one connects to.
	NeighbourCount = 4
	// compareInterval is the time between comparisons with a neighbour.
	compareInterval = 5 * time.Second
	// reconnectDelay is the pause after a lost connection.
	reconnectDelay = 500 * time.Millisecond
	// settleDelay collects changes that come together.
	settleDelay = 20 * time.Millisecond
)

// Members exchanges entries with a few neighbours. It is safe for concurrent use.
type Members struct {
	config Config

	tasks *tasks.Set[netip.AddrPort]

	mu sync.Mutex
	// connected holds the neighbours that answered last.
	connected map[netip.AddrPort]bool
	// synced is closed after the first complete comparison with a neighbour.
	synced     chan struct{}
	syncedOnce sync.Once
}

// Config are the parameters of the exchange.
type Config struct {
	// Name is the VM's own name.
	Name string
	// Self is the VM's own peer address, which is never dialled.
	Self netip.AddrPort
	// Seeds are dialled while the VM list is empty.
	Seeds []netip.AddrPort
	// Ledger holds the entries.
	Ledger *ledger.Ledger
	// Server carries the calls.
	Server *rpc.Server
	// Clock paces the exchange.
	Clock clockwork.Clock
	// Log reports gained and lost neighbours.
	Log zerolog.Logger
}

// NewMembers registers the methods of the exchange.
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

// Run keeps one task for each neighbour until the context ends. Neighbours
// follow the VM list.
func (m *Members) Run(ctx context.Context) {
	defer m.tasks.Wait()
	for {
		changed := m.config.Ledger.Changed()
		m.tasks.Retarget(ctx, m.neighbours(), m.follow)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if !m.sleep(ctx, settleDelay) {
			return
		}
	}
}

// Synced returns a channel that is closed after the first complete comparison.
func (m *Members) Synced() <-chan struct{} {
	return m.synced
}

// Connected returns how many neighbours are connected.
func (m *Members) Connected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.connected)
}

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

// sleep returns false if the context ended first.
func (m *Members) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.config.Clock.After(d):
		return true
	}
}
