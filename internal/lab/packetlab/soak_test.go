package packetlab

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/packetcli"
)

// programVariable is the environment variable that makes the test binary run the bergamotflow
// program instead of the tests.
const programVariable = "BERGAMOTFLOW_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(packetcli.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// maxInvalidRuns is the maximum number of runs of a seed while the machine is too busy for its
// schedule.
const maxInvalidRuns = 3

// TestSoak runs the seeds of testdata/soak: a short one for CI, and each seed that has ever
// violated a guarantee, with the cause in a comment.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Setenv(programVariable, "1")
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/soak/seeds", func(t *testing.T, d *datadriven.TestData) string {
		var seed int
		var length string
		balancers, servers := 4, 6
		d.MaybeScanArgs(t, "balancers", &balancers)
		d.MaybeScanArgs(t, "servers", &servers)
		d.ScanArgs(t, "seed", &seed)
		d.ScanArgs(t, "for", &length)
		faulted, err := time.ParseDuration(length)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		s := Soak{Program: program, Seed: uint64(seed), For: faulted, Balancers: balancers, Servers: servers, Out: &out, Result: &out}
		var findings []string
		for range maxInvalidRuns {
			s.Dir = t.TempDir()
			if findings, err = s.Run(); !errors.Is(err, ErrLate) {
				break
			}
			t.Logf("invalid run: %v; findings %q", err, findings)
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Log(out.String())
		if len(findings) == 0 {
			return "promises kept"
		}
		return strings.Join(findings, "\n")
	})
}
