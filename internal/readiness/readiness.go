// Package readiness serves the HTTP probe by which the fabric checks whether a process should
// get traffic.
package readiness

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// headerTimeout limits the time in which a probe must send its header.
const headerTimeout = 2 * time.Second

// Server serves the readiness probe.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer opens the TCP socket. Every path returns status 200 if ready returns true, and 503
// otherwise.
func NewServer(address netip.AddrPort, ready func() bool) (*Server, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, merry.Prepend(err, "readiness")
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &Server{listener: l, http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}, nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	_ = s.http.Serve(s.listener)
}
