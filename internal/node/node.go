// Package node is the part that balancers and agents have in common: it receives the published
// configuration from the platform or from other processes, accepts their connections, and
// serves the status page and metrics.
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

// Node is the common part of a balancer or agent. NewNode sets its fields.
type Node struct {
	// Ledger stores the published configuration.
	Ledger *ledger.Ledger
	// Server handles RPC calls between processes.
	Server *rpc.Server
	// Port accepts connections of other processes.
	Port *peerport.Port
	// Members exchanges entries of the configuration with other processes.
	Members *members.Members
	// Registry contains the metrics.
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
	// Address is the TCP address on which other processes connect.
	Address netip.AddrPort
	// Role is balancer or agent, for status reports.
	Role string
	// State returns up, draining or down, for status reports.
	State func() string
	// Counters returns the totals that are specific to the role, for status reports.
	Counters func() []status.Counter
	// Clock measures time.
	Clock clockwork.Clock
	// Log receives log events.
	Log zerolog.Logger
}

// NewNode returns a node with open sockets. It fails if a socket cannot be opened.
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

// offer offers an entry to the ledger, and logs whether it was accepted or refused.
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
