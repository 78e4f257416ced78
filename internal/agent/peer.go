package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/chunked"
	"github.com/bergamotgw/bergamotgw/internal/handover"
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/pkg/answer"
)

// hangUpTimeout bounds the wait for a peer to close after the answer.
const hangUpTimeout = 2 * time.Second

// Acquire takes a slot for a peer's request, connected to the backend server.
func (a *Agent) Acquire(ctx context.Context, o handover.Offer) (handover.Slot, answer.Reason) {
	if o.Preface.Service != a.config.Service {
		return nil, answer.WrongService
	}
	switch a.State() {
	case load.Draining:
		return nil, answer.Draining
	case load.Down:
		return nil, answer.Unreachable
	}
	r := arrived{preface: o.Preface, flow: &flow{caller: o.Caller}, at: a.config.Clock.Now()}
	if d, ok := o.Preface.Timeout(); ok {
		r.deadline = r.at.Add(d)
	}
	if o.WaitMs == 0 {
		ctx = context.WithoutCancel(ctx)
	}
	x, reason := a.tryLocal(ctx, r, time.Duration(o.WaitMs)*time.Millisecond)
	if x == nil {
		return nil, reason
	}
	id := a.work.addRequest(o.Preface.Kind, x.Abort)
	x.release = sync.OnceFunc(x.release)
	return &peerSlot{execution: x, removed: func() { a.work.removeRequest(id) }}, ""
}

// peerSlot is a slot that a peer's request holds.
type peerSlot struct {
	*execution
	removed func()
}

// Run copies both directions between the peer and the backend server.
func (p *peerSlot) Run(ctx context.Context, c *chunked.Conn) {
	stop := context.AfterFunc(ctx, c.Abort)
	defer stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if _, err := io.Copy(writerOnly{p.execution}, readerOnly{c}); err != nil {
			p.Abort()
			return
		}
		if err := p.CloseWrite(); err != nil {
			p.Abort()
		}
	}()
	_, err := io.Copy(writerOnly{c}, readerOnly{p.execution})
	p.release()
	if err == nil && c.CloseWrite() == nil {
		p.awaitHangUp(sent)
	}
	c.Abort()
	<-sent
}

// awaitHangUp lets the peer read the end of the answer: closing a connection
// with unread bytes would discard it.
func (p *peerSlot) awaitHangUp(sent <-chan struct{}) {
	select {
	case <-sent:
	case <-time.After(hangUpTimeout):
	}
}

// Release gives the slot back.
func (p *peerSlot) Release() {
	p.Abort()
	p.removed()
	p.release()
}
