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

// errTruncated is the cause of an error about an incomplete answer.
var errTruncated = merry.Sentinel("truncated answer")

// try sends a request once. The body of a request that must run at most once is sent only after
// the grant, unless WithEarlyBody is set: every failure before that proves that the request was
// not run.
func (c *Caller) try(ctx context.Context, r Request) (Answer, *Error) {
	p := request.Preface{Service: c.service, Kind: r.Kind, Key: r.Key}
	if deadline, ok := ctx.Deadline(); ok {
		p = p.WithTimeout(max(time.Until(deadline), time.Millisecond))
	}
	f, s, err := c.openStream(ctx, p)
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
	a, err := c.readGrant(ctx, f, s, !early || r.Kind == request.Repeatable)
	if err != nil {
		cancelStream(s)
		return Answer{}, err.notRunIf(!early)
	}
	if !early {
		go sendBody(s, r.Body)
	}
	body, rerr := io.ReadAll(s)
	if rerr != nil {
		cancelStream(s)
		return Answer{}, streamError(ctx, rerr)
	}
	if r.Whole != nil && !r.Whole(body) {
		return Answer{}, &Error{Verdict: verdict.MayHaveRun, Err: errTruncated}
	}
	return Answer{Body: body, VM: a.VM}, nil
}

// abandon stops using a flow whose agent is silent. A request that may be sent on another flow
// is cancelled on this one.
func (c *Caller) abandon(f *flow, s *quic.Stream, retryable bool) {
	c.clearCurrent(f)
	if retryable {
		cancelStream(s)
	}
}

func sendBody(s *quic.Stream, body []byte) {
	if _, err := s.Write(body); err == nil {
		_ = s.Close()
	}
}

// notRunIf returns e with the verdict NotRun if unsent is true: no byte of the body was sent, so
// the request cannot have run.
func (e *Error) notRunIf(unsent bool) *Error {
	if !unsent {
		return e
	}
	return &Error{Verdict: verdict.NotRun, Reason: e.Reason, Err: e.Err}
}

// openStream opens a stream and writes the preface. An error has the verdict NotRun.
func (c *Caller) openStream(ctx context.Context, p request.Preface) (*flow, *quic.Stream, *Error) {
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

// readGrant reads the answer preface. If the agent becomes silent meanwhile, the flow is
// abandoned; retryable states whether the request may be sent on another one.
func (c *Caller) readGrant(ctx context.Context, f *flow, s *quic.Stream, retryable bool) (answer.Preface, *Error) {
	stop := f.onSilence(func() { c.abandon(f, s, retryable) })
	defer stop()
	p, err := frame.Read[answer.Preface](s)
	if err != nil {
		return p, streamError(ctx, err)
	}
	if p.Granted {
		return p, nil
	}
	if anotherFlowMayAccept(p.Reason) {
		c.clearCurrent(f)
	}
	return p, &Error{Verdict: verdict.NotRun, Reason: p.Reason, Err: merry.Errorf("request refused by VM %s", p.VM)}
}

// anotherFlowMayAccept reports whether a request refused for the reason may be accepted on
// another flow. This is not so after Full: the agent has already tried its peers, and new flows
// would add to their load.
func anotherFlowMayAccept(r answer.Reason) bool {
	return r == answer.Draining || r == answer.Unreachable
}

// streamError returns the error of a stream that ended before the answer was complete.
func streamError(ctx context.Context, err error) *Error {
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
