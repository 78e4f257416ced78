package members

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/rpc"
)

// RPC methods of the exchange.
const (
	methodRoot     = "root"
	methodSums     = "sums"
	methodRefs     = "refs"
	methodFetch    = "fetch"
	methodOffer    = "offer"
	methodAnnounce = "announce"
)

// maxBatchBytes is the total length of texts, in bytes, after which a message takes no
// further key.
const maxBatchBytes = 256 << 10

// empty is the type of absent parameters and results.
type empty struct{}

// register adds the methods that other processes call.
func (m *Members) register(s *rpc.Server) {
	l := m.config.Ledger
	rpc.Handle(s, methodRoot, func(context.Context, *rpc.Conn, empty) (uint64, error) {
		return l.Root(), nil
	})
	rpc.Handle(s, methodSums, func(context.Context, *rpc.Conn, empty) ([ledger.Buckets]uint64, error) {
		return l.Sums(), nil
	})
	rpc.Handle(s, methodRefs, func(_ context.Context, _ *rpc.Conn, bucket int) ([]entry.Ref, error) {
		return l.Refs(bucket), nil
	})
	rpc.Handle(s, methodFetch, func(_ context.Context, _ *rpc.Conn, keys []string) ([]entry.Entry, error) {
		entries, _ := m.batch(keys)
		return entries, nil
	})
	rpc.Handle(s, methodOffer, func(_ context.Context, _ *rpc.Conn, entries []entry.Entry) (empty, error) {
		m.offerAll(entries)
		return empty{}, nil
	})
	rpc.Handle(s, methodAnnounce, func(ctx context.Context, c *rpc.Conn, refs []entry.Ref) (empty, error) {
		return empty{}, m.pull(ctx, c, refs)
	})
}

// maintain connects to a neighbour, and reconnects, until the context ends.
func (m *Members) maintain(ctx context.Context, address netip.AddrPort) {
	for ctx.Err() == nil {
		c, err := m.config.Server.Dial(ctx, address.String())
		if err == nil {
			m.setConnected(address, true)
			m.config.Log.Debug().Str("event", "neighbourConnected").Stringer("address", address).Send()
			err = m.exchange(ctx, c)
			m.setConnected(address, false)
			_ = c.Close()
		}
		if ctx.Err() == nil {
			m.config.Log.Debug().Str("event", "neighbourLost").Stringer("address", address).Err(err).Send()
		}
		m.sleep(ctx, reconnectDelay+rand.N(reconnectDelay))
	}
}

// Serve announces changes on a connection that the remote side opened, until it is closed
// or the context ends.
func (m *Members) Serve(ctx context.Context, c *rpc.Conn) {
	_ = m.announce(ctx, c, m.config.Ledger.Index(), nil)
}

// exchange compares the ledgers at intervals and announces changes in between.
func (m *Members) exchange(ctx context.Context, c *rpc.Conn) error {
	after := m.config.Ledger.Index()
	if err := m.compare(ctx, c); err != nil {
		return err
	}
	return m.announce(ctx, c, after, m.compare)
}

// announce sends the refs of all changes after the index, and calls compare, unless it is
// nil, at intervals.
func (m *Members) announce(ctx context.Context, c *rpc.Conn, after uint64, compare func(context.Context, *rpc.Conn) error) error {
	l := m.config.Ledger
	due := m.config.Clock.After(nextCompareDelay())
	for {
		changed := l.Changed()
		refs, index := l.ChangedAfter(after)
		if len(refs) > 0 {
			if err := rpc.Notify(ctx, c, methodAnnounce, refs); err != nil {
				return err
			}
		}
		after = index
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.Closed():
			return nil
		case <-changed:
			m.sleep(ctx, coalesceDelay)
		case <-due:
			if compare == nil {
				continue
			}
			if err := compare(ctx, c); err != nil {
				return err
			}
			due = m.config.Clock.After(nextCompareDelay())
		}
	}
}

// compare compares the content of both sides and exchanges what either lacks.
func (m *Members) compare(ctx context.Context, c *rpc.Conn) error {
	l := m.config.Ledger
	root, err := rpc.Call[uint64](ctx, c, methodRoot, empty{})
	if err != nil {
		return err
	}
	if root != l.Root() {
		if err := m.reconcile(ctx, c); err != nil {
			return err
		}
	}
	m.syncedOnce.Do(func() { close(m.synced) })
	return nil
}

// reconcile exchanges the entries of the buckets whose sums differ.
func (m *Members) reconcile(ctx context.Context, c *rpc.Conn) error {
	remote, err := rpc.Call[[ledger.Buckets]uint64](ctx, c, methodSums, empty{})
	if err != nil {
		return err
	}
	for bucket, sum := range m.config.Ledger.Sums() {
		if remote[bucket] == sum {
			continue
		}
		if err := m.reconcileBucket(ctx, c, bucket); err != nil {
			return err
		}
	}
	return nil
}

// reconcileBucket exchanges the entries of one bucket that either side lacks.
func (m *Members) reconcileBucket(ctx context.Context, c *rpc.Conn, bucket int) error {
	remote, err := rpc.Call[[]entry.Ref](ctx, c, methodRefs, bucket)
	if err != nil {
		return err
	}
	if err := m.pull(ctx, c, remote); err != nil {
		return err
	}
	return m.push(ctx, c, bucket, remote)
}

// pull fetches the entries that are new to this ledger, until none is left or an answer
// brings none of them.
func (m *Members) pull(ctx context.Context, c *rpc.Conn, refs []entry.Ref) error {
	for missing := m.missing(refs); len(missing) > 0; {
		entries, err := rpc.Call[[]entry.Entry](ctx, c, methodFetch, missing)
		if err != nil {
			return err
		}
		m.offerAll(entries)
		remaining := m.missing(refs)
		if len(remaining) >= len(missing) {
			return nil
		}
		missing = remaining
	}
	return nil
}

// missing returns the keys of the entries that are new to this ledger.
func (m *Members) missing(refs []entry.Ref) []string {
	var keys []string
	for _, r := range refs {
		if m.config.Ledger.IsNew(r) {
			keys = append(keys, r.Key)
		}
	}
	return lo.Uniq(keys)
}

// push offers the entries of a bucket that the remote side lacks.
func (m *Members) push(ctx context.Context, c *rpc.Conn, bucket int, remote []entry.Ref) error {
	has := lo.Keyify(lo.Map(remote, func(r entry.Ref, _ int) entry.Ref { return r.WithEpoch(0) }))
	var keys []string
	for _, r := range m.config.Ledger.Refs(bucket) {
		if _, ok := has[r.WithEpoch(0)]; !ok {
			keys = append(keys, r.Key)
		}
	}
	keys = lo.Uniq(keys)
	for len(keys) > 0 {
		entries, count := m.batch(keys)
		if _, err := rpc.Call[empty](ctx, c, methodOffer, entries); err != nil {
			return err
		}
		keys = keys[count:]
	}
	return nil
}

// batch returns the entries of the first keys, up to the one with which they reach
// maxBatchBytes, and the number of those keys.
func (m *Members) batch(keys []string) (entries []entry.Entry, count int) {
	size := 0
	for _, k := range keys {
		for _, e := range m.config.Ledger.Entries(k) {
			entries = append(entries, e)
			size += len(e.Raw)
		}
		count++
		if size >= maxBatchBytes {
			break
		}
	}
	return entries, count
}

func (m *Members) offerAll(entries []entry.Entry) {
	for _, e := range entries {
		m.config.Ledger.Offer(e)
	}
}

// nextCompareDelay returns the time to the next comparison. It is random so that processes
// do not compare in bursts.
func nextCompareDelay() time.Duration {
	return compareInterval*3/4 + rand.N(compareInterval/2)
}
