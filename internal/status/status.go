// Package status serves over HTTP a report of the state of a process and of the configuration
// that is in force at it, and its metrics.
package status

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Server serves the report as a text page and as JSON, and the metrics.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer opens the TCP socket. report is called for every request of the report.
func NewServer(address netip.AddrPort, report func() Report, metrics prometheus.Gatherer) (*Server, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, merry.Prepend(err, "status")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report())
	})
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = report().Write(w)
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	return &Server{listener: l, http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}, nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	_ = s.http.Serve(s.listener)
}
