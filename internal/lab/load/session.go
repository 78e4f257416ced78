package load

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/lab/wire"
	"github.com/bergamotgw/bergamotgw/pkg/caller"
)

// reopenDelay is the time after a failed attempt to open a session until the next one.
const reopenDelay = 200 * time.Millisecond

// session keeps one session open and checks that its records arrive in order.
type session struct {
	target Target
	caller *caller.Caller
	tally  *tally
	key    string
	// next is the number of the next expected record.
	next uint64
}

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		x, err := s.open(ctx)
		if err != nil {
			s.tally.sessionRefused(ctx, s.target.Service)
			sleepUntil(ctx, time.Now().Add(reopenDelay))
			continue
		}
		s.follow(ctx, x)
	}
}

// follow reads a session and then its successors, until one breaks or the context ends.
func (s *session) follow(ctx context.Context, x *caller.Session) {
	for x != nil {
		next, broken := s.read(ctx, x)
		x.Release()
		if broken && ctx.Err() == nil {
			s.tally.sessionBroken(s.target.Service)
		}
		x = next
	}
}

// open opens the session from the next expected record on.
func (s *session) open(ctx context.Context) (*caller.Session, error) {
	x, err := s.caller.Session(ctx, s.key, s.next*wire.RecordLen)
	if err != nil {
		return nil, err
	}
	r := wire.Request{ID: s.key, Service: s.target.Service, IntervalMs: int(s.target.SessionInterval.Milliseconds())}
	if _, err := x.Write(r.Encode()); err != nil {
		x.Release()
		return nil, err
	}
	s.tally.sessionOpened(s.target.Service)
	return x, nil
}

// read reads records until the session breaks or its successor is open.
func (s *session) read(ctx context.Context, x *caller.Session) (successor *caller.Session, broken bool) {
	stop := context.AfterFunc(ctx, x.Release)
	defer stop()
	var b [wire.RecordLen]byte
	last := time.Now()
	for {
		_ = x.SetReadDeadline(time.Now().Add(sessionTimeout))
		if _, err := io.ReadFull(x, b[:]); err != nil {
			return nil, true
		}
		s.tally.recordGap(s.target.Service, s.key, time.Since(last))
		last = time.Now()
		s.countRecord(binary.BigEndian.Uint64(b[:]))
		if !isClosed(x.Moved()) {
			continue
		}
		if next, err := s.open(ctx); err == nil {
			s.tally.sessionMoved(s.target.Service)
			return next, false
		}
	}
}

// sessionTimeout is the longest wait for a record; a session without a record for longer
// counts as broken.
const sessionTimeout = 15 * time.Second

// countRecord counts a record as received in order, received again, or preceded by missing
// records.
func (s *session) countRecord(number uint64) {
	switch {
	case number < s.next:
		s.tally.countRecords(s.target.Service, 0, 0, 1)
	case number > s.next:
		s.tally.countRecords(s.target.Service, 0, number-s.next, 0)
		s.next = number + 1
	default:
		s.tally.countRecords(s.target.Service, 1, 0, 0)
		s.next++
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
