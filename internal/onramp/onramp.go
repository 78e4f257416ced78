// Package onramp carries TCP connections of applications as streams.
package onramp

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/pkg/caller"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// openTimeout bounds the opening of a stream.
const openTimeout = 15 * time.Second

// Bridge joins a TCP connection and a stream.
type Bridge struct {
	// Caller opens the streams.
	Caller *caller.Caller
	// Kind is the kind of every stream.
	Kind request.Kind
	// Log takes events.
	Log zerolog.Logger
}

// Serve carries one connection to its end. A stream that ends early resets the
// connection, so that the application does not take the answer for complete.
func (b Bridge) Serve(ctx context.Context, c *net.TCPConn) {
	s, err := b.open(ctx)
	if err != nil {
		b.Log.Warn().Str("event", "streamRefused").Err(err).Send()
		reset(c)
		return
	}
	defer s.Release()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		b.send(s, c)
	}()
	if _, err := io.Copy(c, s); err != nil {
		b.Log.Warn().Str("event", "streamCut").Err(err).Send()
		reset(c)
		<-sent
		return
	}
	_ = c.CloseWrite()
	<-sent
	_ = c.Close()
}

// open opens a stream under a key of its own: a connection is never carried twice.
func (b Bridge) open(ctx context.Context) (*caller.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return b.Caller.Open(ctx, b.Kind, rand.Text(), 0)
}

// send carries the application's bytes. A connection that was reset cancels the
// stream.
func (b Bridge) send(s *caller.Session, c *net.TCPConn) {
	if _, err := io.Copy(s, c); err != nil {
		s.Release()
		return
	}
	_ = s.Close()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
