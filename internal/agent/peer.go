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

// peerCloseTimeout limits the wait for the peer to close its direction after the answer.
const peerCloseTimeout = 2 * time.Second

// Acquire takes a slot for a peer's request and connects to the backend server.
// A non-empty reason means that the offer is refused.
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
	r := incomingRequest{preface: o.Preface, flow: &flow{caller: o.Caller}, receivedAt: a.config.Clock.Now()}
	if d, ok := o.Preface.Timeout(); ok {
		r.deadline = r.receivedAt.Add(d)
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
	return &peerSlot{execution: x, remove: func() { a.work.removeRequest(id) }}, ""
}

// peerSlot is a slot held by a peer's request.
type peerSlot struct {
	*execution
	// remove deletes the request from the requests in progress.
	remove func()
}

// Run copies both directions between the peer and the backend server.
func (p *peerSlot) Run(ctx context.Context, c *chunked.Conn) {
	stop := context.AfterFunc(ctx, c.Abort)
	defer stop()
	sent := make(chan struct{})
	go func() {
		err := p.copyRequest(c)
		close(sent)
		// The peer closes the connection before the end of the answer if its caller has
		// cancelled the request, and the backend server must not continue with it.
		if err == nil {
			c.AwaitClose()
		}
		p.Abort()
	}()
	_, err := io.Copy(writerOnly{c}, readerOnly{p.execution})
	p.release()
	if err == nil && c.CloseWrite() == nil {
		p.awaitPeerClose(sent)
	}
	c.Abort()
	<-sent
}

// copyRequest copies the request to its end mark.
func (p *peerSlot) copyRequest(c *chunked.Conn) error {
	if _, err := io.Copy(writerOnly{p.execution}, readerOnly{c}); err != nil {
		return err
	}
	return p.CloseWrite()
}

// awaitPeerClose waits until the peer has closed its direction, at most
// peerCloseTimeout. Closing a connection that has unread bytes would discard
// the end of the answer before the peer reads it.
func (p *peerSlot) awaitPeerClose(sent <-chan struct{}) {
	select {
	case <-sent:
	case <-time.After(peerCloseTimeout):
	}
}

// Release aborts the connection to the backend server and returns the slot.
func (p *peerSlot) Release() {
	p.Abort()
	p.remove()
	p.release()
}
