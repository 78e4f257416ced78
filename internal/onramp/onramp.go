// Package onramp forwards TCP connections of applications over streams to a service.
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

// openTimeout limits the time to open a stream.
const openTimeout = 15 * time.Second

// Bridge forwards TCP connections, each over a stream of its own.
type Bridge struct {
	// Caller opens the streams.
	Caller *caller.Caller
	// Kind is the kind of every stream.
	Kind request.Kind
	// Log receives log events.
	Log zerolog.Logger
}

// Serve forwards one connection until both directions have ended, and closes it. If the stream
// cannot be opened or ends early, the connection is reset, so that the application does not
// treat the answer as complete.
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
		b.sendRequest(s, c)
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

// open opens a stream with a random key of its own, so that no connection is forwarded twice.
func (b Bridge) open(ctx context.Context) (*caller.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return b.Caller.Open(ctx, b.Kind, rand.Text(), 0)
}

// sendRequest copies the bytes of the application to the stream. If the connection was reset,
// it cancels the stream.
func (b Bridge) sendRequest(s *caller.Session, c *net.TCPConn) {
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
