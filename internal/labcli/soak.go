package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/lab/packetlab"
)

type soakCommand struct {
	Program   string        `help:"Path of the bergamotflow program; by default the one found in PATH." type:"path"`
	Seed      uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"1" help:"Number of seeds, run one after the other."`
	For       time.Duration `default:"30s" help:"Time during which faults are injected for each seed."`
	Balancers int           `default:"4" help:"Number of balancer processes."`
	Servers   int           `default:"8" help:"Number of agent processes, each beside a stand-in for a backend server."`
	Logs      string        `default:"soak" type:"path" help:"Directory for settings and logs, with one subdirectory for each seed; those of seeds without findings are removed."`
}

// Run runs the seeds one after the other. It returns an error if a seed violated a
// guarantee, if a run is invalid because its fault schedule was late, or if the context
// ends first.
func (c *soakCommand) Run(ctx context.Context, stdout io.Writer) error {
	program := c.Program
	if program == "" {
		path, err := exec.LookPath("bergamotflow")
		if err != nil {
			return merry.Prepend(err, "find the program (set its path with --program)")
		}
		program = path
	}
	failed, invalid := 0, 0
	for i := range c.Seeds {
		if ctx.Err() != nil {
			return merry.Errorf("soak stopped after %d of %d seeds", i, c.Seeds)
		}
		findings, err := c.runSeed(program, c.Seed+uint64(i), stdout)
		switch {
		case errors.Is(err, packetlab.ErrLate):
			invalid++
			_, _ = fmt.Fprintf(stdout, "  invalid run: %v\n", err)
		case err != nil:
			return err
		case findings > 0:
			failed++
		}
	}
	if failed > 0 {
		return merry.Errorf("%d of %d seeds violated a guarantee; their logs are in %s", failed, c.Seeds, c.Logs)
	}
	if invalid > 0 {
		return merry.Errorf("%d of %d runs are invalid; repeat their seeds on a machine with less load", invalid, c.Seeds)
	}
	return nil
}

// runSeed runs one seed and returns the number of findings, which it prints. It removes
// the directory of the seed if there are none.
func (c *soakCommand) runSeed(program string, seed uint64, stdout io.Writer) (int, error) {
	dir := filepath.Join(c.Logs, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, merry.Wrap(err)
	}
	faults, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		return 0, merry.Wrap(err)
	}
	defer func() { _ = faults.Close() }()
	s := packetlab.Soak{
		Program: program, Seed: seed, For: c.For, Balancers: c.Balancers, Servers: c.Servers, Dir: dir,
		Out: faults, Result: stdout,
	}
	findings, err := s.Run()
	for _, f := range findings {
		_, _ = fmt.Fprintln(stdout, " ", f)
	}
	if err == nil && len(findings) == 0 {
		err = merry.Wrap(os.RemoveAll(dir))
	}
	return len(findings), err
}
