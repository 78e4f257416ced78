package eventlog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// TestRateOfEachEvent checks that an event with very many lines does not suppress other
// events, and that the log contains the number of suppressed lines.
func TestRateOfEachEvent(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	l := NewDirectLog(zerolog.New(&out), clock)
	for i := range 10 * MaxLinesPerSecond {
		l.Info("flood").Int("i", i).Send()
	}
	l.Warn("rare").Send()
	clock.Advance(window)
	l.Flush()
	text := out.String()
	if n := strings.Count(text, `"event":"flood"`); n != MaxLinesPerSecond {
		t.Errorf("%d lines of the flood, want %d", n, MaxLinesPerSecond)
	}
	want := fmt.Sprintf(`"of":"flood","count":%d`, 9*MaxLinesPerSecond)
	if !strings.Contains(text, want) || !strings.Contains(text, `"event":"rare"`) {
		t.Errorf("no %s or no rare event in:\n%s", want, text)
	}
	if l.Suppressed() != 9*MaxLinesPerSecond {
		t.Errorf("%d lines counted as suppressed, want %d", l.Suppressed(), 9*MaxLinesPerSecond)
	}
}

// TestStalledReader checks that a stalled reader of the log causes dropped lines, but does
// not block the writer.
func TestStalledReader(t *testing.T) {
	r, w := io.Pipe()
	l := NewLog(w, "vm", clockwork.NewRealClock())
	started := time.Now()
	const lines = 100_000
	for i := range lines {
		l.Info(fmt.Sprint("event", i%1000)).Int("i", i).Send()
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("%d lines took %v while the reader stalled", lines, took)
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if l.Dropped()+l.Suppressed() == 0 {
		t.Error("nothing was dropped")
	}
}
