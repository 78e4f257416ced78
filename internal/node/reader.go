package node

import (
	"context"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/platform"
	"github.com/bergamotgw/bergamotgw/internal/readers"
)

// Timing of the decision whether to read the platform.
const (
	// syncTimeout is how long a process waits at start for the entries of a peer before it
	// may read the platform without them.
	syncTimeout = 2 * time.Second
	// decisionInterval is the time between decisions whether to read the platform.
	decisionInterval = time.Second
	// isolationTimeout is how long a process without neighbours waits before it
	// reads the platform itself.
	isolationTimeout = 5 * time.Second
)

// readPlatform reads the platform while this process is one of the readers of its zone, or
// has had no neighbour to receive entries from for isolationTimeout.
func (n *Node) readPlatform(ctx context.Context) {
	n.awaitPeers(ctx)
	lastConnected := n.config.Clock.Now()
	role := newReaderRole(n.Ledger, n.config.Common.Name)
	var stop context.CancelFunc
	for ctx.Err() == nil {
		if n.Members.Connected() > 0 {
			lastConnected = n.config.Clock.Now()
		}
		isolated := n.config.Clock.Since(lastConnected) >= isolationTimeout
		shouldRead := isolated || role.isReader()
		if shouldRead && stop == nil {
			stop = n.startReading(ctx)
		}
		if !shouldRead && stop != nil {
			stop()
			stop = nil
			n.setReading(false)
		}
		n.awaitDecision(ctx)
	}
	if stop != nil {
		stop()
	}
}

// readerRole caches whether this process is a reader until the configuration changes, because
// the computation reads the whole VM list.
type readerRole struct {
	ledger *ledger.Ledger
	name   string
	index  uint64
	reader bool
}

func newReaderRole(l *ledger.Ledger, name string) *readerRole {
	return &readerRole{ledger: l, name: name, index: l.Index(), reader: readers.NewFleet(l).IsReader(name)}
}

func (r *readerRole) isReader() bool {
	if index := r.ledger.Index(); index != r.index {
		r.index = index
		r.reader = readers.NewFleet(r.ledger).IsReader(r.name)
	}
	return r.reader
}

// awaitPeers waits, for at most syncTimeout, until this process has received the highest
// revisions from a peer. Without seeds it returns immediately.
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

// awaitDecision waits until the next decision is due. Changes arrive in bursts, so at most one
// decision is made per interval.
func (n *Node) awaitDecision(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.config.Clock.After(decisionInterval):
	}
}

func (n *Node) setReading(reading bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading = reading
}
