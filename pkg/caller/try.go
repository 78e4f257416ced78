package caller

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/internal/frame"
	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// errTruncated is the cause when an answer ended too early.
var errTruncated = merry.Sentinel("truncated answer")

// try sends a request once. The body of a request that must run at most once
// waits for the grant, unless the caller was built to send it early: until
// then every failure proves that the request was not run.
func (c *Caller) try(ctx context.Context, r Request) (Answer, *Error) {
	p := request.Preface{Service: c.service, Kind: r.Kind, Key: r.Key}
	if deadline, ok := ctx.Deadline(); ok {
		p = p.WithTimeout(max(time.Until(deadline), time.Millisecond))
	}
	f, s, err := c.stream(ctx, p)
	if err != nil {
		return Answer{}, err
	}
	defer f.streams.Add(-1)
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	early := c.earlyBody || r.Kind != request.Once
	if early {
		go sendBody(s, r.Body)
	}
	a, err := c.granted(ctx, f, s, !early || r.Kind == request.Repeatable)
	if err != nil {
		cancelStream(s)
		return Answer{}, err.unsent(!early)
	}
	if !early {
		go sendBody(s, r.Body)
	}
	body, rerr := io.ReadAll(s)
	if rerr != nil {
		cancelStream(s)
		return Answer{}, failure(ctx, rerr)
	}
	if r.Whole != nil && !r.Whole(body) {
		return Answer{}, &Error{Verdict: verdict.MayHaveRun, Err: errTruncated}
	}
	return Answer{Body: body, VM: a.VM}, nil
}

// abandon leaves a flow whose agent has fallen silent. A request that may be
// tried on another flow is cancelled on this one.
func (c *Caller) abandon(f *flow, s *quic.Stream, again bool) {
	c.forget(f)
	if again {
		cancelStream(s)
	}
}

func sendBody(s *quic.Stream, body []byte) {
	if _, err := s.Write(body); err == nil {
		_ = s.Close()
	}
}

// unsent turns a failure into proof that the request was not run, if no byte
// of its body was sent.
func (e *Error) unsent(unsent bool) *Error {
	if !unsent {
		return e
	}
	return &Error{Verdict: verdict.NotRun, Reason: e.Reason, Err: e.Err}
}

// stream opens a stream and writes the preface. An error means NotRun.
func (c *Caller) stream(ctx context.Context, p request.Preface) (*flow, *quic.Stream, *Error) {
	if err := p.Check(); err != nil {
		return nil, nil, &Error{Verdict: verdict.NotRun, Reason: answer.BadPreface, Err: err}
	}
	f, err := c.flow(ctx)
	if err != nil {
		return nil, nil, &Error{Verdict: verdict.NotRun, Err: err}
	}
	f.streams.Add(1)
	s, err := f.conn.OpenStreamSync(ctx)
	if err == nil {
		err = frame.Write(s, p)
	}
	if err != nil {
		f.streams.Add(-1)
		return nil, nil, &Error{Verdict: verdict.NotRun, Err: err}
	}
	return f, s, nil
}

// granted reads the answer preface. If the agent falls silent meanwhile, the flow
// is left; again tells whether the request may be tried on another one.
func (c *Caller) granted(ctx context.Context, f *flow, s *quic.Stream, again bool) (answer.Preface, *Error) {
	stop := f.onSilence(func() { c.abandon(f, s, again) })
	defer stop()
	p, err := frame.Read[answer.Preface](s)
	if err != nil {
		return p, failure(ctx, err)
	}
	if p.Granted {
		return p, nil
	}
	if leaves(p.Reason) {
		c.forget(f)
	}
	return p, &Error{Verdict: verdict.NotRun, Reason: p.Reason, Err: merry.Errorf("refused by %s", p.VM)}
}

// leaves reports whether another flow may fare better. It would not after Full:
// the agent has asked its peers, and new flows would burden them further.
func leaves(r answer.Reason) bool {
	return r == answer.Draining || r == answer.Unreachable
}

// failure returns the error of a stream that ended early.
func failure(ctx context.Context, err error) *Error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote {
		return &Error{Verdict: verdict.FromStreamCode(reset.ErrorCode), Err: err}
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return &Error{Verdict: verdict.MayHaveRun, Err: err}
}

func cancelStream(s *quic.Stream) {
	s.CancelRead(verdict.MayHaveRun.StreamCode())
	s.CancelWrite(verdict.MayHaveRun.StreamCode())
}
