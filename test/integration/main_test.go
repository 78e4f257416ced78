// Package integration tests the system with real processes: it starts balancers and agents
// between stand-ins that inject faults, and runs the scripts in testdata against them.
package integration

import (
	"io"
	"os"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/cli"
	"github.com/bergamotgw/bergamotgw/internal/labcli"
)

// programVariable is the environment variable that names the program as which a child process
// of the test binary runs.
const programVariable = "BERGAMOTGW_TEST_PROGRAM"

var programs = map[string]func(args []string, stdout, stderr io.Writer) int{
	"bergamotgw":  cli.Main,
	"bergamotlab": labcli.Main,
}

func TestMain(m *testing.M) {
	if program, ok := programs[os.Getenv(programVariable)]; ok {
		os.Exit(program(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestScripts runs each script in testdata against a system of its own.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSystem(t)
		defer s.stop()
		datadriven.RunTest(t, path, s.command)
	})
}
