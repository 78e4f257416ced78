// Package node is the part that all processes of the fleet share: the published
// configuration, the exchange with other processes, and the status page.
package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/members"
	"github.com/bergamotgw/bergamotgw/internal/peerport"
	"github.com/bergamotgw/bergamotgw/internal/platform"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
	"github.com/bergamotgw/bergamotgw/internal/settings"
	"github.com/bergamotgw/bergamotgw/internal/status"
)

// Node holds what all processes share. Its fields are set by NewNode.
type Node struct {
	// Ledger holds the published configuration.
	Ledger *ledger.Ledger
	// Server carries calls between processes.
	Server *rpc.Server
	// Port takes connections of other processes.
	Port *peerport.Port
	// Members exchanges entries.
	Members *members.Members
	// Registry holds the metrics.
	Registry *prometheus.Registry

	config  Config
	client  *platform.Client
	status  *status.Server
	started time.Time

	mu sync.Mutex
	// reading is true while this process reads the platform.
	reading bool
}

// Config are the parameters of a node.
type Config struct {
	// Common are the settings.
	Common settings.Common
	// Address is the peer address.
	Address netip.AddrPort
	// Role is balancer or agent, for reports.
	Role string
	// State returns up, draining or down, for reports.
	State func() string
	// Counters returns the totals of the role, for reports.
	Counters func() []status.Counter
	// Clock measures time.
	Clock clockwork.Clock
	// Log takes events.
	Log zerolog.Logger
}

// NewNode opens the sockets of the node.
func NewNode(c Config) (*Node, error) {
	n := &Node{
		Ledger:   ledger.NewLedger(c.Clock),
		Server:   rpc.NewServer(c.Address.Addr()),
		Registry: prometheus.NewRegistry(),
		config:   c,
		client:   platform.NewClient(c.Common.Platform),
		started:  c.Clock.Now(),
	}
	var err error
	if n.Port, err = peerport.NewPort(c.Address, c.Common.PeerNetworks); err != nil {
		return nil, err
	}
	n.Members = members.NewMembers(members.Config{
		Name:   c.Common.Name,
		Self:   c.Address,
		Seeds:  c.Common.Seeds,
		Ledger: n.Ledger,
		Server: n.Server,
		Clock:  c.Clock,
		Log:    c.Log,
	})
	n.Port.Handle(peerport.RPC, n.serveRPC)
	n.registerMetrics()
	n.status, err = status.NewServer(c.Common.Status, n.Report, n.Registry)
	return n, err
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.Port.Run(ctx) })
	wg.Go(func() { n.Members.Run(ctx) })
	wg.Go(func() { n.status.Run(ctx) })
	wg.Go(func() { n.readPlatform(ctx) })
	wg.Wait()
}

// OnChange calls apply now and after every change of the configuration, until
// the context ends.
func (n *Node) OnChange(ctx context.Context, apply func(*ledger.Ledger)) {
	for {
		changed := n.Ledger.Changed()
		apply(n.Ledger)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) serveRPC(ctx context.Context, nc net.Conn) {
	c := n.Server.Attach(ctx, nc)
	n.Members.Serve(ctx, c)
	_ = c.Close()
}

// offer puts an entry in force and logs what became of it.
func (n *Node) offer(e entry.Entry) {
	outcome := n.Ledger.Offer(e)
	l := n.config.Log.With().Str("key", e.Key).Uint64("revision", e.Revision).Logger()
	switch outcome {
	case ledger.Accepted:
		l.Debug().Str("event", "entryAccepted").Send()
	case ledger.Refused:
		l.Warn().Str("event", "entryRefused").Send()
	case ledger.Stale:
	}
}
