package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/lab/experiment"
)

// firstOctet is the second octet of the loopback addresses of the first of several
// concurrent experiments; the others use the octets that follow.
const firstOctet = 150

type experimentCommand struct {
	Conditions []string      `default:"80" help:"Names of the conditions; all for all of them."`
	Placements []string      `default:"balanced" help:"Names of the placement policies."`
	Seeds      uint64        `default:"5" help:"Number of seeds, counted from 1."`
	Warmup     time.Duration `default:"4s" help:"Time under load before the measurement starts."`
	Duration   time.Duration `default:"12s" help:"Duration of the measurement."`
	Parallel   int           `default:"2" help:"Number of experiments that run concurrently."`
	JSON       string        `name:"json" type:"path" help:"File for all outcomes; none is written by default."`
}

// Run runs every combination of condition, placement policy and seed, and prints a table
// and each violation of a guarantee. It returns an error if an experiment cannot be run.
func (c *experimentCommand) Run(ctx context.Context, stdout io.Writer) error {
	runs, err := c.runs()
	if err != nil {
		return err
	}
	outcomes := make([]experiment.Outcome, len(runs))
	errs := make([]error, len(runs))
	freeOctets := make(chan uint8, c.Parallel)
	for i := range c.Parallel {
		freeOctets <- uint8(firstOctet + i)
	}
	var wg sync.WaitGroup
	for i, r := range runs {
		r.Octet = <-freeOctets
		wg.Go(func() {
			outcomes[i], errs[i] = r.Execute(ctx)
			freeOctets <- r.Octet
		})
	}
	wg.Wait()
	if err, failed := lo.Find(errs, func(err error) bool { return err != nil }); failed {
		return err
	}
	if err := experiment.WriteTable(stdout, outcomes); err != nil {
		return err
	}
	for _, o := range outcomes {
		if o.Audit.FalseNotRun+o.Audit.OnceTwice+o.Audit.WrongService > 0 {
			_, _ = fmt.Fprintf(stdout, "violated guarantees with condition %s, placement %s, seed %d: %+v\n", o.Condition, o.Placement, o.Seed, o.Audit)
		}
	}
	return c.writeJSON(outcomes)
}

// runs returns the combinations to run, or an error if a condition is unknown.
func (c *experimentCommand) runs() ([]experiment.Run, error) {
	var runs []experiment.Run
	conditions := experiment.Conditions()
	for _, name := range c.Conditions {
		if name != "all" && !slices.ContainsFunc(conditions, func(x experiment.Condition) bool { return x.Name == name }) {
			return nil, merry.Errorf("unknown condition %q", name)
		}
	}
	for _, x := range conditions {
		if !slices.Contains(c.Conditions, x.Name) && !slices.Contains(c.Conditions, "all") {
			continue
		}
		for _, p := range c.Placements {
			for seed := range c.Seeds {
				runs = append(runs, experiment.Run{Condition: x, Placement: p, Seed: seed + 1, Warmup: c.Warmup, Duration: c.Duration})
			}
		}
	}
	return runs, nil
}

// writeJSON writes the outcomes to the file, if one is given.
func (c *experimentCommand) writeJSON(outcomes []experiment.Outcome) error {
	if c.JSON == "" {
		return nil
	}
	b, err := json.MarshalIndent(outcomes, "", " ")
	if err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(os.WriteFile(c.JSON, b, 0o600))
}
