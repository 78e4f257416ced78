package handover

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/chunked"
	"github.com/bergamotgw/bergamotgw/internal/frame"
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/pkg/answer"
)

// offerTimeout limits the wait for the offer on a new connection.
const offerTimeout = 2 * time.Second

// Server grants reservations at one agent.
type Server struct {
	// Acquire takes a slot, or returns the reason for a refusal.
	Acquire func(ctx context.Context, o Offer) (Slot, answer.Reason)
	// Report returns the agent's own load report.
	Report func() load.Report
	// LoadReceived is called with the load report in a peer's offer.
	LoadReceived func(load.Report)
	// Lease is how long a granted reservation waits for its commit.
	Lease time.Duration
	// VM is the name of the backend server VM, for replies.
	VM string
}

// Slot is a reserved slot of the backend server, for one request.
type Slot interface {
	// Run copies the request to the backend server and the answer back.
	Run(ctx context.Context, c *chunked.Conn)
	// Release returns the slot. It is called once, after Run if that was called.
	Release()
}

// Serve handles one connection from a peer.
func (s *Server) Serve(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(offerTimeout))
	o, err := frame.Read[Offer](c)
	if err != nil || o.Preface.Check() != nil {
		_ = s.reply(c, answer.Preface{Reason: answer.BadPreface, VM: s.VM})
		return
	}
	s.LoadReceived(o.Load)
	slot, reason := s.acquire(ctx, o)
	if reason != "" {
		_ = s.reply(c, answer.Preface{Reason: reason, VM: s.VM})
		return
	}
	defer slot.Release()
	if s.grant(c) {
		slot.Run(ctx, chunked.NewConn(c))
	}
}

func (s *Server) reply(c net.Conn, a answer.Preface) error {
	return frame.Write(c, Reply{Answer: a, Load: s.Report()})
}

func (s *Server) acquire(ctx context.Context, o Offer) (Slot, answer.Reason) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.WaitMs)*time.Millisecond)
	defer cancel()
	return s.Acquire(ctx, o)
}

// grant sends the grant and reports whether the peer commits before the lease
// expires. The read deadline is monotonic: if the process is suspended beyond it,
// the read fails and the commit is refused.
func (s *Server) grant(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(s.Lease))
	if err := s.reply(c, answer.Preface{Granted: true, VM: s.VM}); err != nil {
		return false
	}
	var b [1]byte
	if _, err := io.ReadFull(c, b[:]); err != nil || b[0] != commitByte {
		_, _ = c.Write([]byte{expiredByte})
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	_, err := c.Write([]byte{startedByte})
	return err == nil
}
