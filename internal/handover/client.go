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

// ErrExpired is returned for a commit after the lease. The request was not run.
var ErrExpired = merry.Sentinel("reservation expired")

// Reservation is a slot that a peer granted and that is not committed yet.
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
	// Lease is how long after the grant a reservation may be committed.
	Lease time.Duration
}

// Reserve sends the offer to the peer and returns the reservation, or nil if the
// peer refused. Every error and every refusal means that the request was not
// run. The reservation must be committed or withdrawn.
func (x Client) Reserve(ctx context.Context, peer netip.AddrPort, o Offer) (*Reservation, Reply, error) {
	d := net.Dialer{Timeout: connectTimeout, LocalAddr: &net.TCPAddr{IP: x.Local.AsSlice()}}
	c, err := d.DialContext(ctx, "tcp4", peer.String())
	if err != nil {
		return nil, Reply{}, merry.Prepend(err, "connect to peer for hand-over")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, err := sendOffer(c, o)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || !a.Answer.Granted {
		_ = c.Close()
		return nil, a, err
	}
	return &Reservation{clock: x.Clock, lease: x.Lease, conn: c, granted: x.Clock.Now()}, a, nil
}

func sendOffer(c net.Conn, o Offer) (Reply, error) {
	wait := time.Duration(o.WaitMs) * time.Millisecond
	_ = c.SetDeadline(time.Now().Add(wait + answerMargin))
	if _, err := c.Write([]byte{byte(peerport.Handover)}); err != nil {
		return Reply{}, merry.Prepend(err, "send protocol byte to peer")
	}
	if err := frame.Write(c, o); err != nil {
		return Reply{}, merry.Prepend(err, "send offer to peer")
	}
	a, err := frame.Read[Reply](c)
	return a, merry.Prepend(err, "read reply of peer")
}

// Commit starts the request at the peer. If Commit or the first read of the
// execution returns ErrExpired, the request was not run.
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

// Withdraw returns the slot unused.
func (r *Reservation) Withdraw() {
	_ = r.conn.Close()
}

// Execution carries the bytes of a request that runs at a peer.
type Execution struct {
	*chunked.Conn
	// status provides the byte that confirms or refuses the commit; nil after a
	// confirmation was read.
	status io.Reader
}

// Read reads the answer. It returns ErrExpired if the peer refused the commit,
// and chunked.ErrTruncated if the peer's reply to the commit cannot be read.
func (e *Execution) Read(p []byte) (int, error) {
	if e.status == nil {
		return e.Conn.Read(p)
	}
	var b [1]byte
	if _, err := io.ReadFull(e.status, b[:]); err != nil {
		return 0, chunked.ErrTruncated
	}
	if b[0] != startedByte {
		return 0, ErrExpired
	}
	e.status = nil
	return e.Conn.Read(p)
}
