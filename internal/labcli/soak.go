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
	Program   string        `help:"Path of the bergamotflow program; the one on the path by default." type:"path"`
	Seed      uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"1" help:"Number of seeds, one after the other."`
	For       time.Duration `default:"30s" help:"How long faults are injected for each seed."`
	Balancers int           `default:"4" help:"Balancer processes."`
	Servers   int           `default:"8" help:"Agent processes, each beside a stand-in of a backend server."`
	Logs      string        `default:"soak" type:"path" help:"Folder for settings and logs, one folder a seed; those of seeds without a finding are removed."`
}

// Run plays the seeds until it is told to stop, and fails if any broke a promise.
func (c *soakCommand) Run(ctx context.Context, stdout io.Writer) error {
	program := c.Program
	if program == "" {
		found, err := exec.LookPath("bergamotflow")
		if err != nil {
			return merry.Prepend(err, "name the program with --program")
		}
		program = found
	}
	broken, void := 0, 0
	for i := range c.Seeds {
		if ctx.Err() != nil {
			return merry.Errorf("stopped after %d of %d seeds", i, c.Seeds)
		}
		findings, err := c.play(program, c.Seed+uint64(i), stdout)
		switch {
		case errors.Is(err, packetlab.ErrLate):
			void++
			_, _ = fmt.Fprintf(stdout, "  void: %v\n", err)
		case err != nil:
			return err
		case findings > 0:
			broken++
		}
	}
	if broken > 0 {
		return merry.Errorf("%d of %d seeds broke a promise; their logs are in %s", broken, c.Seeds, c.Logs)
	}
	if void > 0 {
		return merry.Errorf("%d of %d seeds are void; play them on a machine with less load", void, c.Seeds)
	}
	return nil
}

func (c *soakCommand) play(program string, seed uint64, stdout io.Writer) (int, error) {
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
