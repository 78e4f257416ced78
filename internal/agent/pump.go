package agent

import (
	"context"
	"errors"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/internal/handover"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// pumpBufferBytes is the size of the buffer of each direction.
const pumpBufferBytes = 16 << 10

// upstream carries a request towards a backend server. Read returns io.EOF only
// at the end of a whole answer.
type upstream interface {
	io.ReadWriter
	// CloseWrite marks the end of the request.
	CloseWrite() error
	// Abort cuts both directions, so that nobody takes them for complete.
	Abort()
}

// pump copies both directions until the answer ends or is cut, or the caller
// gives up. first is called at the first byte of the answer.
func pump(s *quic.Stream, up upstream, first func()) verdict.Verdict {
	stop := context.AfterFunc(s.Context(), up.Abort)
	defer stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		pumpRequest(s, up)
	}()
	v := pumpAnswer(s, up, first)
	s.CancelRead(v.StreamCode())
	<-sent
	return v
}

func pumpRequest(s *quic.Stream, up upstream) {
	_, err := io.CopyBuffer(writerOnly{up}, readerOnly{s}, make([]byte, pumpBufferBytes))
	var reset *quic.StreamError
	if errors.As(err, &reset) && !reset.Remote {
		return
	}
	if err == nil {
		err = up.CloseWrite()
	}
	if err != nil {
		up.Abort()
	}
}

func pumpAnswer(s *quic.Stream, up upstream, first func()) verdict.Verdict {
	defer up.Abort()
	buf := make([]byte, pumpBufferBytes)
	started := false
	for {
		n, err := up.Read(buf)
		if n > 0 && !started {
			started = true
			first()
		}
		if n > 0 {
			if _, werr := s.Write(buf[:n]); werr != nil {
				return verdict.MayHaveRun
			}
		}
		if err != nil {
			return endAnswer(s, err)
		}
	}
}

// endAnswer closes the caller's stream after a whole answer, or resets it.
func endAnswer(s *quic.Stream, err error) verdict.Verdict {
	if err == io.EOF {
		_ = s.Close()
		return verdict.Ran
	}
	v := verdict.MayHaveRun
	if errors.Is(err, handover.ErrExpired) {
		v = verdict.NotRun
	}
	s.CancelWrite(v.StreamCode())
	return v
}

// readerOnly and writerOnly hide methods that io.CopyBuffer would prefer to the
// given buffer.
type readerOnly struct{ io.Reader }

type writerOnly struct{ io.Writer }
