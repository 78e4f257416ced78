package packetcli

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
)

const agentSettings = `{
  "name": "side-1", "zone": "a", "ready": "127.0.0.1:1", "maxFlowSeconds": 60, "graceSeconds": 6,
  "service": "pass", "relay": "127.0.0.1:2", "outbound": "127.0.0.1:3", "server": "127.0.0.1:4", "callers": "127.0.0.1:5"
}`

// stubProcess is a process that serves until the context ends.
type stubProcess struct{}

func (stubProcess) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// TestSignalBeforeServing checks that signals are handled that arrive before the process has
// read its settings: SIGHUP must not end it, and SIGTERM must make it leave.
func TestSignalBeforeServing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(agentSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	caught := catchSignals()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(time.Second); len(caught) < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	done := make(chan error, 1)
	go func() {
		done <- run(path, caught, func(s packetsettings.Agent) packetsettings.Common { return s.Common },
			func(packetsettings.Agent, *eventlog.Log) (process, error) { return stubProcess{}, nil })
	}()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Error("process did not leave within 1 s")
	}
}
