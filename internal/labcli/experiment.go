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

// firstOctet is the loopback network of the first of several experiments at once.
const firstOctet = 150

type experimentCommand struct {
	Conditions []string      `default:"80" help:"Conditions, by name; all for every one."`
	Placements []string      `default:"balanced" help:"Placement policies."`
	Seeds      uint64        `default:"5" help:"How many seeds, from 1."`
	Warmup     time.Duration `default:"4s" help:"Time that is not measured."`
	Duration   time.Duration `default:"12s" help:"Time that is measured."`
	Parallel   int           `default:"2" help:"How many experiments run at once."`
	JSON       string        `name:"json" type:"path" help:"File that takes all outcomes."`
}

// Run runs every combination and prints a table.
func (c *experimentCommand) Run(ctx context.Context, stdout io.Writer) error {
	runs, err := c.runs()
	if err != nil {
		return err
	}
	outcomes := make([]experiment.Outcome, len(runs))
	errs := make([]error, len(runs))
	free := make(chan uint8, c.Parallel)
	for i := range c.Parallel {
		free <- uint8(firstOctet + i)
	}
	var wg sync.WaitGroup
	for i, r := range runs {
		r.Octet = <-free
		wg.Go(func() {
			outcomes[i], errs[i] = r.Execute(ctx)
			free <- r.Octet
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
			_, _ = fmt.Fprintf(stdout, "broken promises with %s, %s, seed %d: %+v\n", o.Condition, o.Placement, o.Seed, o.Audit)
		}
	}
	return c.save(outcomes)
}

func (c *experimentCommand) runs() ([]experiment.Run, error) {
	var runs []experiment.Run
	known := experiment.Conditions()
	for _, name := range c.Conditions {
		if name != "all" && !slices.ContainsFunc(known, func(x experiment.Condition) bool { return x.Name == name }) {
			return nil, merry.Errorf("unknown condition %q", name)
		}
	}
	for _, x := range known {
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

func (c *experimentCommand) save(outcomes []experiment.Outcome) error {
	if c.JSON == "" {
		return nil
	}
	b, err := json.MarshalIndent(outcomes, "", " ")
	if err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(os.WriteFile(c.JSON, b, 0o600))
}
