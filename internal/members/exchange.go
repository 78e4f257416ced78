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

// Methods of the exchange.
const (
	methodRoot     = "root"
	methodSums     = "sums"
	methodRefs     = "refs"
	methodFetch    = "fetch"
	methodOffer    = "offer"
	methodAnnounce = "announce"
)

// maxBatchBytes bounds the texts in one message.
const maxBatchBytes = 256 << 10

// none stands for absent parameters and results.
type none struct{}

func (m *Members) register(s *rpc.Server) {
	l := m.config.Ledger
	rpc.Handle(s, methodRoot, func(context.Context, *rpc.Conn, none) (uint64, error) {
		return l.Root(), nil
	})
	rpc.Handle(s, methodSums, func(context.Context, *rpc.Conn, none) ([ledger.Buckets]uint64, error) {
		return l.Sums(), nil
	})
	rpc.Handle(s, methodRefs, func(_ context.Context, _ *rpc.Conn, bucket int) ([]entry.Ref, error) {
		return l.Refs(bucket), nil
	})
	rpc.Handle(s, methodFetch, func(_ context.Context, _ *rpc.Conn, keys []string) ([]entry.Entry, error) {
		entries, _ := m.batch(keys)
		return entries, nil
	})
	rpc.Handle(s, methodOffer, func(_ context.Context, _ *rpc.Conn, entries []entry.Entry) (none, error) {
		m.offerAll(entries)
		return none{}, nil
	})
	rpc.Handle(s, methodAnnounce, func(ctx context.Context, c *rpc.Conn, refs []entry.Ref) (none, error) {
		return none{}, m.pull(ctx, c, refs)
	})
}

// follow keeps a connection to one neighbour until the context ends.
func (m *Members) follow(ctx context.Context, address netip.AddrPort) {
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

// Serve announces changes on a connection that the other side opened, until it
// is lost or the context ends.
func (m *Members) Serve(ctx context.Context, c *rpc.Conn) {
	_ = m.announce(ctx, c, m.config.Ledger.Index(), nil)
}

// exchange compares at intervals and announces changes in between.
func (m *Members) exchange(ctx context.Context, c *rpc.Conn) error {
	after := m.config.Ledger.Index()
	if err := m.compare(ctx, c); err != nil {
		return err
	}
	return m.announce(ctx, c, after, m.compare)
}

// announce tells of every change after the index, and calls compare, if any, at
// intervals.
func (m *Members) announce(ctx context.Context, c *rpc.Conn, after uint64, compare func(context.Context, *rpc.Conn) error) error {
	l := m.config.Ledger
	due := m.config.Clock.After(jitter())
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
			m.sleep(ctx, settleDelay)
		case <-due:
			if compare == nil {
				continue
			}
			if err := compare(ctx, c); err != nil {
				return err
			}
			due = m.config.Clock.After(jitter())
		}
	}
}

// compare brings both sides to the same content.
func (m *Members) compare(ctx context.Context, c *rpc.Conn) error {
	l := m.config.Ledger
	root, err := rpc.Call[uint64](ctx, c, methodRoot, none{})
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

func (m *Members) reconcile(ctx context.Context, c *rpc.Conn) error {
	theirs, err := rpc.Call[[ledger.Buckets]uint64](ctx, c, methodSums, none{})
	if err != nil {
		return err
	}
	for bucket, sum := range m.config.Ledger.Sums() {
		if theirs[bucket] == sum {
			continue
		}
		if err := m.reconcileBucket(ctx, c, bucket); err != nil {
			return err
		}
	}
	return nil
}

func (m *Members) reconcileBucket(ctx context.Context, c *rpc.Conn, bucket int) error {
	theirs, err := rpc.Call[[]entry.Ref](ctx, c, methodRefs, bucket)
	if err != nil {
		return err
	}
	if err := m.pull(ctx, c, theirs); err != nil {
		return err
	}
	return m.push(ctx, c, bucket, theirs)
}

// pull fetches those entries that are new here.
func (m *Members) pull(ctx context.Context, c *rpc.Conn, refs []entry.Ref) error {
	for missing := m.missing(refs); len(missing) > 0; {
		entries, err := rpc.Call[[]entry.Entry](ctx, c, methodFetch, missing)
		if err != nil {
			return err
		}
		m.offerAll(entries)
		left := m.missing(refs)
		if len(left) >= len(missing) {
			return nil
		}
		missing = left
	}
	return nil
}

// missing returns the keys of those entries that are new here.
func (m *Members) missing(refs []entry.Ref) []string {
	var keys []string
	for _, r := range refs {
		if m.config.Ledger.Wants(r) {
			keys = append(keys, r.Key)
		}
	}
	return lo.Uniq(keys)
}

// push offers the entries of a bucket that the other side lacks.
func (m *Members) push(ctx context.Context, c *rpc.Conn, bucket int, theirs []entry.Ref) error {
	known := lo.Keyify(theirs)
	var keys []string
	for _, r := range m.config.Ledger.Refs(bucket) {
		if _, ok := known[r]; !ok {
			keys = append(keys, r.Key)
		}
	}
	keys = lo.Uniq(keys)
	for len(keys) > 0 {
		entries, count := m.batch(keys)
		if _, err := rpc.Call[none](ctx, c, methodOffer, entries); err != nil {
			return err
		}
		keys = keys[count:]
	}
	return nil
}

// batch returns the entries of the first keys, as many as fit in a message,
// and the count of those keys.
func (m *Members) batch(keys []string) (entries []entry.Entry, count int) {
	size := 0
	for _, k := range keys {
		for _, e := range m.config.Ledger.Texts(k) {
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

// jitter returns the time to the next comparison, spread to avoid bursts.
func jitter() time.Duration {
	return compareInterval*3/4 + rand.N(compareInterval/2)
}
