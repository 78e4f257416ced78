package agent

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/internal/frame"
	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// incomingRequest is a request with its flow, time of arrival and deadline.
type incomingRequest struct {
	preface request.Preface
	flow    *flow
	// receivedAt is when the preface was complete; of a peer's request, when the
	// offer arrived.
	receivedAt time.Time
	// deadline is zero if the request has none.
	deadline time.Time
}

// serveStream serves one request, from its preface to the end of the answer.
func (a *Agent) serveStream(f *flow, s *quic.Stream) {
	p, reason := a.readPreface(s)
	if reason != "" {
		a.refuse(s, p, reason)
		return
	}
	r := incomingRequest{preface: p, flow: f, receivedAt: a.config.Clock.Now()}
	if d, ok := p.Timeout(); ok {
		r.deadline = r.receivedAt.Add(d)
	}
	id := a.work.addRequest(p.Kind, func() { abort(s, verdict.MayHaveRun) })
	defer a.work.removeRequest(id)
	up, reason := a.place(s.Context(), r)
	if reason != "" {
		a.refuse(s, p, reason)
		return
	}
	defer up.release()
	a.run(s, r, up)
}

// readPreface reads the preface and checks that this agent may serve it.
func (a *Agent) readPreface(s *quic.Stream) (request.Preface, answer.Reason) {
	_ = s.SetReadDeadline(time.Now().Add(prefaceTimeout))
	p, err := frame.Read[request.Preface](s)
	_ = s.SetReadDeadline(time.Time{})
	if err != nil || p.Check() != nil {
		return p, answer.BadPreface
	}
	a.mu.Lock()
	configured, kindAccepted := a.section.Revision > 0, a.section.Accepts(p.Kind)
	a.mu.Unlock()
	if p.Service != a.config.Service || configured && !kindAccepted {
		return p, answer.WrongService
	}
	return p, ""
}

// refuse sends the caller the reason for the refusal. The request was not run.
func (a *Agent) refuse(s *quic.Stream, p request.Preface, reason answer.Reason) {
	a.config.Metrics.CountRefusal(a.config.Service, p.Kind, reason)
	a.config.Log.Debug().Str("event", "requestRefused").Str("reason", string(reason)).Str("kind", string(p.Kind)).Send()
	s.CancelRead(verdict.NotRun.StreamCode())
	_ = s.SetWriteDeadline(time.Now().Add(prefaceTimeout))
	if err := frame.Write(s, answer.Preface{Reason: reason, VM: a.config.VM}); err != nil {
		s.CancelWrite(verdict.NotRun.StreamCode())
		return
	}
	_ = s.Close()
}

// run grants the request and copies it to its execution and the answer to the caller.
func (a *Agent) run(s *quic.Stream, r incomingRequest, up *execution) {
	if err := frame.Write(s, answer.Preface{Granted: true, VM: up.vm}); err != nil {
		up.Abort()
		abort(s, verdict.NotRun)
		a.config.Metrics.CountVerdict(a.config.Service, r.preface.Kind, verdict.NotRun)
		return
	}
	granted := a.config.Clock.Now()
	a.config.Metrics.ObserveQueueWait(a.config.Service, r.preface.Kind, granted.Sub(r.receivedAt))
	v := copyStreams(s, up, func() {
		a.config.Metrics.ObserveFirstByte(a.config.Service, r.preface.Kind, a.config.Clock.Since(granted))
	})
	a.config.Metrics.CountVerdict(a.config.Service, r.preface.Kind, v)
	a.config.Metrics.ObserveTotal(a.config.Service, r.preface.Kind, a.config.Clock.Since(r.receivedAt))
}

func abort(s *quic.Stream, v verdict.Verdict) {
	s.CancelRead(v.StreamCode())
	s.CancelWrite(v.StreamCode())
}
