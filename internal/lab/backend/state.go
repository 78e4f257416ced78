package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/lab/wire"
)

// coldSpeed is the fraction of the speed that applies during a cold start.
const coldSpeed = 0.25

// healthSample is the state that the health endpoint reports for one point in time.
type healthSample struct {
	at       time.Time
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	InFlight int  `json:"inFlight"`
}

// healthHistory holds samples, oldest first.
type healthHistory []healthSample

// Stats holds the totals since the start.
type Stats struct {
	// VM is the name of the VM.
	VM string `json:"vm"`
	// Service is the service that the server belongs to.
	Service string `json:"service"`
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// BusyMicros is the time that slots were used, summed over slots, in microseconds.
	BusyMicros int64 `json:"busyMicros"`
	// WorkMicros is the nominal work of the requests that left their slot, in microseconds.
	WorkMicros int64 `json:"workMicros"`
	// Requests is the number of requests that reached the server.
	Requests int `json:"requests"`
	// Sessions is the number of open sessions.
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
		BusyMicros: b.busyTime.Microseconds(),
		WorkMicros: b.workDone.Microseconds(),
		Requests:   len(b.journal),
		Sessions:   b.sessions,
	}
}

// Journal returns the records of all requests that reached the server.
func (b *Backend) Journal() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Record(nil), b.journal...)
}

// SetBehaviour replaces the behaviour.
func (b *Backend) SetBehaviour(x Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = x
}

func (b *Backend) record(r Record) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.journal = append(b.journal, r)
	b.save(r)
	return len(b.journal) - 1
}

// save appends a record to the journal file, which remains after the process ends. It
// panics if the write fails.
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

func (b *Backend) markAnswered(index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.journal[index].Answered = true
}

func (b *Backend) addInFlight(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight += n
}

func (b *Backend) finish(busyTime, workDone time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.busyTime += busyTime
	b.workDone += workDone
}

// workTime returns how long the request takes at the current speed.
func (b *Backend) workTime(r wire.Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	speed := b.behaviour.Speed
	if speed <= 0 {
		speed = 1
	}
	if time.Since(b.startedAt) < time.Duration(b.behaviour.ColdMs)*time.Millisecond {
		speed *= coldSpeed
	}
	return time.Duration(float64(r.WorkMicros)/speed) * time.Microsecond
}

func (b *Backend) stall() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.behaviour.StallMs) * time.Millisecond
}

// healthNow records a sample and returns the latest one that is at least as old as
// the configured lag, or the oldest one if none is.
func (b *Backend) healthNow() healthSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.health = append(b.health, healthSample{
		at:       now,
		Healthy:  !b.behaviour.Unhealthy,
		Draining: b.behaviour.Draining,
		InFlight: b.inFlight,
	})
	limit := now.Add(-time.Duration(b.behaviour.LagMs) * time.Millisecond)
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
