package agent

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/chunked"
)

// stalledServer is a backend server that reads requests and does not answer until it is aborted.
type stalledServer struct {
	aborted chan struct{}
	abort   func()
}

func (s stalledServer) Read([]byte) (int, error) {
	<-s.aborted
	return 0, net.ErrClosed
}

func (stalledServer) Write(b []byte) (int, error) { return len(b), nil }
func (stalledServer) CloseWrite() error           { return nil }

func (s stalledServer) Abort() { s.abort() }

// TestCancelAfterHandover guards against a backend server that works on a request which was
// handed over and then cancelled, after its body was complete.
func TestCancelAfterHandover(t *testing.T) {
	home, peer := net.Pipe()
	aborted := make(chan struct{})
	server := stalledServer{aborted, sync.OnceFunc(func() { close(aborted) })}
	slot := &peerSlot{execution: &execution{upstream: server, release: func() {}}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		slot.Run(context.Background(), chunked.NewConn(peer))
	}()
	up := chunked.NewConn(home)
	if _, err := up.Write([]byte("body")); err != nil || up.CloseWrite() != nil {
		t.Fatal("cannot send the request")
	}
	time.Sleep(10 * time.Millisecond)
	up.Abort()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the backend server still works on the request")
	}
}
