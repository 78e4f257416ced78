// Package health tracks the health of a backend server. It relies on the agent's
// own connections first, and only then on the reports of the backend server.
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

// Intervals and limits.
const (
	pollInterval = time.Second
	pollTimeout  = 900 * time.Millisecond
	// downThreshold is how many consecutive connection attempts must fail before
	// the backend server counts as down.
	downThreshold = 2
	// maxReportBytes limits the body of a report.
	maxReportBytes = 64 << 10
)

// Monitor tracks the state of one backend server. It is safe for concurrent use.
type Monitor struct {
	config Config

	mu sync.Mutex
	// consecutiveFailures counts the failed connection attempts since the latest
	// successful one.
	consecutiveFailures int
	// report is the latest report of the health endpoint.
	report Report
}

// Config are the parameters of a monitor.
type Config struct {
	// URL is the address of the health and load endpoint; empty if there is none.
	URL string
	// Probe opens and closes a connection to the backend server.
	Probe func(ctx context.Context) error
	// Clock schedules the polls.
	Clock clockwork.Clock
}

// Report is the backend server's report about itself. It may be out of date or wrong.
type Report struct {
	// Healthy is true if the backend server reports that it is healthy.
	Healthy bool `json:"healthy"`
	// Draining is true if the backend server requests no new work.
	Draining bool `json:"draining"`
	// InFlight is the reported number of requests in progress.
	InFlight int `json:"inFlight"`
}

// NewMonitor returns a monitor that reports the backend server as up until
// connections fail.
func NewMonitor(c Config) *Monitor {
	return &Monitor{config: c, report: Report{Healthy: true}}
}

// Run polls the health endpoint, and probes a backend server that is down, until
// the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		m.poll(ctx)
		if !m.Up() {
			m.RecordConnect(m.config.Probe(ctx))
		}
		select {
		case <-ctx.Done():
			return
		case <-m.config.Clock.After(pollInterval):
		}
	}
}

// RecordConnect records the result of a connection attempt.
func (m *Monitor) RecordConnect(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.consecutiveFailures = 0
	} else {
		m.consecutiveFailures++
	}
}

// Up reports whether connections succeed. The health endpoint has no influence on
// it: a backend server that accepts connections is up.
func (m *Monitor) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.consecutiveFailures < downThreshold
}

// Draining reports whether the backend server requested no new work.
func (m *Monitor) Draining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report.Draining
}

// Report returns the latest report of the health endpoint.
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r)
	return r, merry.Wrap(err)
}
