// Package health judges a backend server by what its agent sees itself, and
// only then by what the backend server says.
package health

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// Pace and thresholds.
const (
	pollInterval = time.Second
	pollTimeout  = 900 * time.Millisecond
	// failuresDown is how many failed connects in a row mean that the backend
	// server is down.
	failuresDown  = 2
	maxReportSize = 64 << 10
)

// Monitor keeps the state of one backend server. It is safe for concurrent use.
type Monitor struct {
	config Config

	mu sync.Mutex
	// failures counts failed connects in a row.
	failures int
	// report is the latest answer of the health endpoint.
	report Report
}

// Config are the parameters of a monitor.
type Config struct {
	// URL is the health and load endpoint; empty if there is none.
	URL string
	// Probe opens and closes a connection to the backend server.
	Probe func(ctx context.Context) error
	// Clock paces the polls.
	Clock clockwork.Clock
}

// Report is what the backend server says about itself. It may lag or mislead.
type Report struct {
	// Healthy is the backend server's own judgement.
	Healthy bool `json:"healthy"`
	// Draining is true if the backend server wants no new work.
	Draining bool `json:"draining"`
	// InFlight is how many requests it believes to run.
	InFlight int `json:"inFlight"`
}

// NewMonitor returns a monitor of a backend server that counts as up.
func NewMonitor(c Config) *Monitor {
	return &Monitor{config: c, report: Report{Healthy: true}}
}

// Run polls and probes until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		m.poll(ctx)
		if !m.Up() {
			m.Connected(m.config.Probe(ctx))
		}
		select {
		case <-ctx.Done():
			return
		case <-m.config.Clock.After(pollInterval):
		}
	}
}

// Connected notes the outcome of a connection attempt for a request.
func (m *Monitor) Connected(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.failures = 0
	} else {
		m.failures++
	}
}

// Up reports whether connections succeed. What the health endpoint says does
// not count: a server that takes connections is up.
func (m *Monitor) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failures < failuresDown
}

// Draining reports whether the backend server asked for no new work.
func (m *Monitor) Draining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report.Draining
}

// Report returns the latest answer of the health endpoint.
func (m *Monitor) Report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report
}

func (m *Monitor) poll(ctx context.Context) {
	if m.config.URL == "" {
		return
	}
	r, err := fetch(ctx, m.config.URL)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.report.Healthy = false
		return
	}
	m.report = r
}

func fetch(ctx context.Context, url string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Report{}, merry.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Report{}, merry.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var r Report
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportSize)).Decode(&r)
	return r, merry.Wrap(err)
}
