package caller

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/internal/frame"
	"github.com/bergamotgw/bergamotgw/pkg/notice"
)

// maxNotices is the largest number of notices that an agent may send on one flow.
const maxNotices = 4

// flow is one QUIC connection to an agent.
type flow struct {
	conn *quic.Conn
	// moved is closed when the agent requests that the caller moves to another flow.
	moved chan struct{}
	// streams counts the streams in use.
	streams atomic.Int64
}

// usable reports whether new requests may use the flow.
func (f *flow) usable() bool {
	select {
	case <-f.moved:
		return false
	case <-f.conn.Context().Done():
		return false
	default:
		return true
	}
}

// onSilence calls act if no packet arrives on the flow within silenceTimeout. The returned
// function stops the timer.
func (f *flow) onSilence(act func()) (stop func() bool) {
	before := f.conn.ConnectionStats().PacketsReceived
	t := time.AfterFunc(silenceTimeout, func() {
		if f.conn.ConnectionStats().PacketsReceived == before {
			act()
		}
	})
	return t.Stop
}

// readNotices reads notices of the agent until one of kind Moved arrives or the flow ends.
func (f *flow) readNotices() {
	for range maxNotices {
		s, err := f.conn.AcceptUniStream(f.conn.Context())
		if err != nil {
			return
		}
		n, err := frame.Read[notice.Notice](s)
		if err == nil && n.Kind == notice.Moved {
			close(f.moved)
			return
		}
	}
}

// flow returns the current flow, or opens one. Concurrent calls wait until the same flow is
// opened.
func (c *Caller) flow(ctx context.Context) (*flow, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, net.ErrClosed
		}
		if f := c.current; f != nil && f.usable() {
			c.mu.Unlock()
			return f, nil
		}
		opening := c.opening
		if opening == nil {
			opening = make(chan struct{})
			c.opening = opening
			c.mu.Unlock()
			return c.replace(ctx, opening)
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-opening:
		}
	}
}

// replace opens a flow and makes it the current one. The former one stays open until its
// requests in progress have ended.
func (c *Caller) replace(ctx context.Context, opening chan struct{}) (*flow, error) {
	conn, err := c.open(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(opening)
	c.opening = nil
	if err != nil {
		return nil, err
	}
	f := &flow{conn: conn, moved: make(chan struct{})}
	c.retire(c.current)
	c.current = f
	go f.readNotices()
	go c.openSuccessor(f)
	return f, nil
}

// clearCurrent retires f if it is the current flow, so that the next request opens another one.
func (c *Caller) clearCurrent(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == f {
		c.retire(f)
		c.current = nil
	}
}

// openSuccessor opens a successor of f when the agent requests that the caller moves.
func (c *Caller) openSuccessor(f *flow) {
	select {
	case <-f.conn.Context().Done():
		return
	case <-f.moved:
	}
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	_, _ = c.flow(ctx)
}

// open starts attempts attemptDelay apart, with different connection IDs, which reach different
// agents. It returns the first connection that opens. No request has been sent yet, so closing
// the others loses none.
func (c *Caller) open(ctx context.Context) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	results := make(chan attempt, maxAttempts)
	started, failed := 0, 0
	start := func() {
		started++
		go func() { results <- c.attempt(ctx) }()
	}
	start()
	for {
		next := startTimer(started)
		select {
		case r := <-results:
			next.Stop()
			if r.err == nil {
				go closeOthers(results, started-failed-1)
				return r.conn, nil
			}
			failed++
			if ctx.Err() != nil || failed == maxAttempts || isPermanent(r.err) {
				go closeOthers(results, started-failed)
				return nil, merry.Prepend(r.err, "open flow")
			}
		case <-next.C:
			if started < maxAttempts {
				start()
			}
		}
	}
}

// isPermanent reports whether other attempts would fail in the same way, because the agent's
// certificate is not valid for the service.
func isPermanent(err error) bool {
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode.IsCryptoError()
}

type attempt struct {
	conn *quic.Conn
	err  error
}

func (c *Caller) attempt(ctx context.Context) attempt {
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(c.address), c.tls, &quic.Config{
		MaxIdleTimeout:          IdleTimeout,
		HandshakeIdleTimeout:    openTimeout / 2,
		KeepAlivePeriod:         KeepAlive,
		InitialPacketSize:       initialPacketSize,
		DisablePathMTUDiscovery: true,
		MaxIncomingUniStreams:   maxNotices,
		MaxIncomingStreams:      -1,
	})
	return attempt{conn, err}
}

func closeOthers(results <-chan attempt, count int) {
	for range count {
		if r := <-results; r.err == nil {
			_ = r.conn.CloseWithError(0, "another attempt was faster")
		}
	}
}
