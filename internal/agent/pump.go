package agent

import (
	"context"
	"errors"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/internal/handover"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// copyBufferBytes is the size of the copy buffer of each direction.
const copyBufferBytes = 16 << 10

// upstream is a connection to a backend server, direct or through a peer. Read
// returns io.EOF only at the end of a complete answer.
type upstream interface {
	io.ReadWriter
	// CloseWrite marks the end of the request.
	CloseWrite() error
	// Abort resets both directions, so that neither end treats the data as complete.
	Abort()
}

// copyStreams copies the request and the answer until the answer ends or is
// truncated, or the caller cancels. first is called at the first byte of the answer.
func copyStreams(s *quic.Stream, up upstream, first func()) verdict.Verdict {
	stop := context.AfterFunc(s.Context(), up.Abort)
	defer stop()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		copyRequest(s, up)
	}()
	v := copyAnswer(s, up, first)
	s.CancelRead(v.StreamCode())
	<-sent
	return v
}

func copyRequest(s *quic.Stream, up upstream) {
	_, err := io.CopyBuffer(writerOnly{up}, readerOnly{s}, make([]byte, copyBufferBytes))
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

func copyAnswer(s *quic.Stream, up upstream, first func()) verdict.Verdict {
	defer up.Abort()
	buf := make([]byte, copyBufferBytes)
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

// endAnswer closes the caller's stream after a complete answer, or resets it with
// the verdict on the request.
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

// readerOnly and writerOnly omit the ReadFrom and WriteTo methods, which
// io.CopyBuffer would use instead of the given buffer.
type readerOnly struct{ io.Reader }

type writerOnly struct{ io.Writer }
