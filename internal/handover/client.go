package handover

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/chunked"
	"github.com/bergamotgw/bergamotgw/internal/frame"
	"github.com/bergamotgw/bergamotgw/internal/peerport"
)

// ErrExpired is returned by a commit that comes too late. The request was not run.
var ErrExpired = merry.Sentinel("reservation expired")

// Reservation is a slot at a peer that was granted and not yet used.
type Reservation struct {
	clock   clockwork.Clock
	lease   time.Duration
	conn    net.Conn
	granted time.Time
}

// Client reserves slots at peers.
type Client struct {
	// Local is the address from which connections are opened.
	Local netip.Addr
	// Clock measures the age of reservations.
	Clock clockwork.Clock
	// Lease is how long a granted reservation may be committed.
	Lease time.Duration
}

// Reserve asks the peer for a slot. Every error and every refusal means that
// the request was not run. The reservation must be committed or withdrawn.
func (x Client) Reserve(ctx context.Context, peer netip.AddrPort, o Offer) (*Reservation, Reply, error) {
	d := net.Dialer{Timeout: connectTimeout, LocalAddr: &net.TCPAddr{IP: x.Local.AsSlice()}}
	c, err := d.DialContext(ctx, "tcp4", peer.String())
	if err != nil {
		return nil, Reply{}, merry.Prepend(err, "connect to peer")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := ask(c, o)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || !a.Answer.Granted {
		_ = c.Close()
		return nil, a, err
	}
	return &Reservation{clock: x.Clock, lease: x.Lease, conn: c, granted: x.Clock.Now()}, a, nil
}

func ask(c net.Conn, o Offer) (Reply, error) {
	wait := time.Duration(o.WaitMs) * time.Millisecond
	_ = c.SetDeadline(time.Now().Add(wait + answerMargin))
	if _, err := c.Write([]byte{byte(peerport.Handover)}); err != nil {
		return Reply{}, merry.Prepend(err, "ask peer")
	}
	if err := frame.Write(c, o); err != nil {
		return Reply{}, merry.Prepend(err, "ask peer")
	}
	a, err := frame.Read[Reply](c)
	return a, merry.Prepend(err, "answer of peer")
}

// Commit starts the request at the peer. After ErrExpired, here or from the
// first read, the request was not run.
func (r *Reservation) Commit() (*Execution, error) {
	if r.clock.Since(r.granted) > r.lease {
		r.Withdraw()
		return nil, ErrExpired
	}
	_ = r.conn.SetDeadline(time.Time{})
	if _, err := r.conn.Write([]byte{commitByte}); err != nil {
		r.Withdraw()
		return nil, merry.Prepend(err, "commit")
	}
	return &Execution{Conn: chunked.NewConn(r.conn), status: r.conn}, nil
}

// Withdraw gives the slot back unused.
func (r *Reservation) Withdraw() {
	_ = r.conn.Close()
}

// Execution carries the bytes of a request that runs at a peer.
type Execution struct {
	*chunked.Conn
	// status yields the status byte; nil once it was read.
	status io.Reader
}

// Read reads the answer. It returns ErrExpired if the peer refused the commit.
func (e *Execution) Read(p []byte) (int, error) {
	if e.status == nil {
		return e.Conn.Read(p)
	}
	var b [1]byte
	if _, err := io.ReadFull(e.status, b[:]); err != nil {
		return 0, chunked.ErrCut
	}
	if b[0] != startedByte {
		return 0, ErrExpired
	}
	e.status = nil
	return e.Conn.Read(p)
}
