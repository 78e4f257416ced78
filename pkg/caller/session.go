package caller

import (
	"context"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Session is a granted stream, which may stay open for hours. It implements io.ReadWriteCloser.
// Close ends the direction to the backend server only.
type Session struct {
	*quic.Stream
	flow *flow
	vm   string
	done func()
}

// Session opens a session. offset is the number of answer bytes that the application already
// has, if it resumes a session. Errors are of type *Error.
func (c *Caller) Session(ctx context.Context, key string, offset uint64) (*Session, error) {
	return c.Open(ctx, request.Session, key, offset)
}

// Open opens a stream of any kind, for applications that write and read it themselves. It
// retries only while no byte of the body can have been written. Errors are of type *Error.
func (c *Caller) Open(ctx context.Context, kind request.Kind, key string, offset uint64) (*Session, error) {
	p := request.Preface{Service: c.service, Kind: kind, Key: key, Offset: offset}
	var s *Session
	err := c.withRetries(ctx, request.Once, func(int) (err *Error) {
		s, err = c.tryOpen(ctx, p)
		return err
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (c *Caller) tryOpen(ctx context.Context, p request.Preface) (*Session, *Error) {
	f, s, err := c.openStream(ctx, p)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	a, err := c.readGrant(ctx, f, s, true)
	if !stop() && err == nil {
		err = streamError(ctx, ctx.Err())
	}
	if err != nil {
		cancelStream(s)
		f.streams.Add(-1)
		if p.Kind == request.Session && err.Reason == answer.Full {
			c.clearCurrent(f)
		}
		return nil, err.notRunIf(true)
	}
	return &Session{Stream: s, flow: f, vm: a.VM, done: sync.OnceFunc(func() { f.streams.Add(-1) })}, nil
}

// VM returns the name of the backend server VM.
func (s *Session) VM() string {
	return s.vm
}

// Moved returns a channel that is closed when the agent requests that the caller moves. The
// session continues; the application may open its successor first and then release this one.
func (s *Session) Moved() <-chan struct{} {
	return s.flow.moved
}

// Release ends both directions immediately.
func (s *Session) Release() {
	cancelStream(s.Stream)
	s.done()
}
