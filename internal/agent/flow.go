package agent

import (
	"context"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/internal/frame"
	"github.com/bergamotgw/bergamotgw/pkg/notice"
)

// flow is one QUIC connection of a caller.
type flow struct {
	conn   *quic.Conn
	caller netip.AddrPort
}

// serveFlow accepts the streams of a flow until it ends.
func (a *Agent) serveFlow(ctx context.Context, c *quic.Conn) {
	f := &flow{conn: c, caller: callerAddress(c)}
	a.work.addFlow(f)
	defer a.work.removeFlow(f)
	go a.notifyWhenDraining(f)
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		go a.serveStream(f, s)
	}
}

// notifyWhenDraining sends the caller the notice to move when the agent starts to drain.
func (a *Agent) notifyWhenDraining(f *flow) {
	select {
	case <-f.conn.Context().Done():
		return
	case <-a.drainStarted:
	}
	s, err := f.conn.OpenUniStreamSync(f.conn.Context())
	if err != nil {
		return
	}
	n := notice.Notice{Kind: notice.Moved, GraceMs: uint64(a.grace().Milliseconds())}
	_ = frame.Write(s, n)
	_ = s.Close()
}

func callerAddress(c *quic.Conn) netip.AddrPort {
	u, ok := c.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(u.AddrPort().Addr().Unmap(), u.AddrPort().Port())
}
