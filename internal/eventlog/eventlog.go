// Package eventlog writes one structured log line for each event of a process. It limits
// the rate of lines of each kind of event, and never blocks on a slow reader of the log.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Limits of the output.
const (
	// MaxLinesPerSecond is the maximum number of lines written per second for each event:
	// ten times the new flows of a process on a busy day of a small deployment.
	MaxLinesPerSecond = 50
	// MaxFailureLinesPerSecond is the same for each event that records why a request was not
	// answered: more than the requests that a server processes in a second.
	MaxFailureLinesPerSecond = 500
	// queueLines is how many lines are queued for a slow reader; at about 300 bytes each
	// they take half a megabyte.
	queueLines = 2048
	// window is the time over which the lines of an event are counted.
	window = time.Second
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	base  zerolog.Logger
	clock clockwork.Clock
	// dropped counts lines that did not fit into the queue because the reader was slow.
	dropped atomic.Uint64
	// suppressed counts lines above the rate limit of their event.
	suppressed atomic.Uint64
	closer     io.Closer

	mu sync.Mutex
	// rates holds the counts of each event in its current window.
	rates map[string]*rate
}

type rate struct {
	since time.Time
	// written and suppressed count lines in the window that began at since.
	written, suppressed int
}

// NewLog returns a log that writes to w through a bounded queue. Each line names the VM.
func NewLog(w io.Writer, vm string, clock clockwork.Clock) *Log {
	l := &Log{clock: clock, rates: make(map[string]*rate)}
	queue := diode.NewWriter(w, queueLines, 0, func(missed int) { l.dropped.Add(uint64(missed)) })
	l.closer = queue
	l.base = zerolog.New(queue).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// NewDirectLog returns a log that writes to an existing logger, without a queue.
func NewDirectLog(base zerolog.Logger, clock clockwork.Clock) *Log {
	return &Log{base: base, clock: clock, rates: make(map[string]*rate)}
}

// Close writes the queued lines and the counts of suppressed lines, and stops the queue. It
// returns an error of the queue.
func (l *Log) Close() error {
	l.Flush()
	if l.closer == nil {
		return nil
	}
	return l.closer.Close()
}

// Failure starts a line that records why a request was not answered. Its limit is
// MaxFailureLinesPerSecond, so few of these lines are suppressed.
func (l *Log) Failure(event string) *zerolog.Event {
	return l.start(l.base.Warn, event, MaxFailureLinesPerSecond)
}

// Info starts a line for a decision. The result is nil if the line is suppressed; every
// method of a nil event does nothing.
func (l *Log) Info(event string) *zerolog.Event {
	return l.start(l.base.Info, event, MaxLinesPerSecond)
}

// Warn starts a line for a failure.
func (l *Log) Warn(event string) *zerolog.Event {
	return l.start(l.base.Warn, event, MaxLinesPerSecond)
}

// Error starts a line for a fault that needs an operator.
func (l *Log) Error(event string) *zerolog.Event {
	return l.start(l.base.Error, event, MaxLinesPerSecond)
}

// Debug starts a line that is of use in development.
func (l *Log) Debug(event string) *zerolog.Event {
	return l.start(l.base.Debug, event, MaxLinesPerSecond)
}

func (l *Log) start(level func() *zerolog.Event, event string, perSecond int) *zerolog.Event {
	if !l.admit(event, perSecond) {
		return nil
	}
	e := level()
	if e == nil {
		return nil
	}
	return e.Str("event", event)
}

// admit counts a line of an event, and reports whether it is below the rate limit.
func (l *Log) admit(event string, perSecond int) bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rates[event]
	if r == nil {
		r = &rate{since: now}
		l.rates[event] = r
	}
	if now.Sub(r.since) >= window {
		l.summarize(event, r, now)
	}
	if r.written >= perSecond {
		r.suppressed++
		l.suppressed.Add(1)
		return false
	}
	r.written++
	return true
}

// summarize writes how many lines of an event were suppressed, and starts a new window.
func (l *Log) summarize(event string, r *rate, now time.Time) {
	if r.suppressed > 0 {
		l.base.Info().Str("event", "linesSuppressed").Str("of", event).Int("count", r.suppressed).Send()
	}
	*r = rate{since: now}
}

// Flush writes how many lines were suppressed in windows that have ended.
func (l *Log) Flush() {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for event, r := range l.rates {
		if r.suppressed > 0 && now.Sub(r.since) >= window {
			l.summarize(event, r, now)
		}
	}
}

// Dropped returns how many lines did not fit into the queue because the reader was slow.
func (l *Log) Dropped() uint64 {
	return l.dropped.Load()
}

// Suppressed returns how many lines were above the rate limit of their event.
func (l *Log) Suppressed() uint64 {
	return l.suppressed.Load()
}
