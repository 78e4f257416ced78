package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/lab/wire"
)

// coldSpeed is the share of the speed during a cold start.
const coldSpeed = 0.25

// healthSample is what the health endpoint would have told at a moment.
type healthSample struct {
	at       time.Time
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	InFlight int  `json:"inFlight"`
}

// healthHistory holds samples, oldest first.
type healthHistory []healthSample

// Stats are the totals since the start.
type Stats struct {
	// VM is the name of the VM.
	VM string `json:"vm"`
	// Service is the service that it belongs to.
	Service string `json:"service"`
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// BusyMicros is the time that slots were used, summed over slots.
	BusyMicros int64 `json:"busyMicros"`
	// WorkMicros is the nominal work done.
	WorkMicros int64 `json:"workMicros"`
	// Requests counts requests that reached the server.
	Requests int `json:"requests"`
	// Sessions counts open sessions.
	Sessions int `json:"sessions"`
}

// Stats returns the totals since the start.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		VM:         b.config.VM,
		Service:    b.config.Service,
		Slots:      b.config.Slots,
		BusyMicros: b.busy.Microseconds(),
		WorkMicros: b.work.Microseconds(),
		Requests:   len(b.journal),
		Sessions:   b.sessions,
	}
}

// Journal returns every request that reached the server.
func (b *Backend) Journal() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Record(nil), b.journal...)
}

// SetBehaviour replaces the behaviour.
func (b *Backend) SetBehaviour(x Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behave = x
}

func (b *Backend) record(r Record) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.journal = append(b.journal, r)
	b.save(r)
	return len(b.journal) - 1
}

// save appends a record to the journal file, which outlives the process.
func (b *Backend) save(r Record) {
	if b.file == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = b.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err)
	}
}

func (b *Backend) answered(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.journal[index].Answered = true
}

func (b *Backend) enter(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight += n
}

func (b *Backend) finish(busy, work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.busy += busy
	b.work += work
}

// workTime returns how long the request takes at the present speed.
func (b *Backend) workTime(r wire.Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	speed := b.behave.Speed
	if speed <= 0 {
		speed = 1
	}
	if time.Since(b.started) < time.Duration(b.behave.ColdMs)*time.Millisecond {
		speed *= coldSpeed
	}
	return time.Duration(float64(r.WorkMicros)/speed) * time.Microsecond
}

func (b *Backend) stall() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.behave.StallMs) * time.Millisecond
}

// healthNow returns what the health endpoint tells, as old as the lag demands.
func (b *Backend) healthNow() healthSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.health = append(b.health, healthSample{
		at:       now,
		Healthy:  !b.behave.Unhealthy,
		Draining: b.behave.Draining,
		InFlight: b.inFlight,
	})
	limit := now.Add(-time.Duration(b.behave.LagMs) * time.Millisecond)
	for len(b.health) > 1 && !b.health[1].at.After(limit) {
		b.health = b.health[1:]
	}
	return b.health[0]
}

func (b *Backend) serveAdmin(ctx context.Context) {
	mux := http.NewServeMux()
	reply := func(path string, value func() any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(value())
		})
	}
	reply("/health", func() any { return b.healthNow() })
	reply("/stats", func() any { return b.Stats() })
	reply("/journal", func() any { return b.Journal() })
	mux.HandleFunc("POST /admin/behaviour", func(w http.ResponseWriter, r *http.Request) {
		var x Behaviour
		if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetBehaviour(x)
	})
	s := &http.Server{Addr: b.config.Admin.String(), Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	_ = s.ListenAndServe()
}
