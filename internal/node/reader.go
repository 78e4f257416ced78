package node

import (
	"context"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/platform"
	"github.com/bergamotgw/bergamotgw/internal/readers"
)

// Timing of the decision to read the platform.
const (
	// syncTimeout is how long a new process waits for a peer before it trusts
	// the platform alone.
	syncTimeout = 2 * time.Second
	// reviewInterval is the time between decisions.
	reviewInterval = time.Second
	// isolatedAfter is how long a process without neighbours waits before it
	// reads the platform itself.
	isolatedAfter = 5 * time.Second
)

// readPlatform reads the platform while this process is one of its zone's
// readers, or has no neighbours to learn from.
func (n *Node) readPlatform(ctx context.Context) {
	n.awaitPeers(ctx)
	connected := n.config.Clock.Now()
	chosen := newSelection(n.Ledger, n.config.Common.Name)
	var stop context.CancelFunc
	for ctx.Err() == nil {
		if n.Members.Connected() > 0 {
			connected = n.config.Clock.Now()
		}
		isolated := n.config.Clock.Since(connected) >= isolatedAfter
		should := isolated || chosen.isReader()
		if should && stop == nil {
			stop = n.startReading(ctx)
		}
		if !should && stop != nil {
			stop()
			stop = nil
			n.setReading(false)
		}
		n.review(ctx)
	}
	if stop != nil {
		stop()
	}
}

// selection remembers whether this process is a reader until the configuration
// changes, since reading the whole VM list takes time.
type selection struct {
	ledger *ledger.Ledger
	name   string
	index  uint64
	reader bool
}

func newSelection(l *ledger.Ledger, name string) *selection {
	return &selection{ledger: l, name: name, index: l.Index(), reader: readers.NewFleet(l).IsReader(name)}
}

func (s *selection) isReader() bool {
	if index := s.ledger.Index(); index != s.index {
		s.index = index
		s.reader = readers.NewFleet(s.ledger).IsReader(s.name)
	}
	return s.reader
}

// awaitPeers lets a new process take the highest revisions from its peers first.
func (n *Node) awaitPeers(ctx context.Context) {
	if len(n.config.Common.Seeds) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-n.Members.Synced():
	case <-n.config.Clock.After(syncTimeout):
	}
}

func (n *Node) startReading(ctx context.Context) context.CancelFunc {
	n.setReading(true)
	ctx, cancel := context.WithCancel(ctx)
	w := &platform.Watcher{
		Changes: n.client.Changes,
		Offer:   n.offer,
		Clock:   n.config.Clock,
		Log:     n.config.Log,
	}
	go w.Run(ctx)
	return cancel
}

// review waits for the next decision. Changes come in bursts, so at most one
// decision is made in an interval.
func (n *Node) review(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.config.Clock.After(reviewInterval):
	}
}

func (n *Node) setReading(reading bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading = reading
}
