package labcli

import (
	"io"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/lab/evenload"
)

// balancersOfSize is how many balancers the deployments of these numbers of servers run.
var balancersOfSize = map[int]int{9: 6, 46: 15, 109: 26}

type evenloadCommand struct {
	Servers     []int    `default:"9,46,109" help:"Numbers of servers: 9, 46 or 109."`
	Placements  []string `default:"best,balanced,hash,random" help:"Names of the ways to place flows; all for all of them."`
	Flows       []string `default:"short,long" enum:"short,long" help:"Kinds of flows: one for each request, or long ones."`
	Speeds      []string `default:"even,uneven" enum:"even,uneven" help:"Speeds of the servers: all alike, or 0.55 and 1.2."`
	Utilization float64  `default:"0.5" help:"Mean demand relative to the capacity."`
	Seeds       uint64   `default:"3" help:"Number of seeds, counted from 1."`
	Parallel    int      `default:"2" help:"Number of simulations that run concurrently."`
}

// Run simulates every combination and prints a table.
func (c *evenloadCommand) Run(stdout io.Writer) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	outcomes := make([]evenload.Outcome, len(scenarios))
	free := make(chan struct{}, max(c.Parallel, 1))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		free <- struct{}{}
		wg.Go(func() {
			outcomes[i] = s.Run()
			<-free
		})
	}
	wg.Wait()
	return evenload.WriteTable(stdout, outcomes)
}

// scenarios returns the combinations, or an error if a name or a size is unknown.
func (c *evenloadCommand) scenarios() ([]evenload.Scenario, error) {
	known := evenload.Placements()
	if slices.Contains(c.Placements, "all") {
		c.Placements = known
	}
	var list []evenload.Scenario
	for _, n := range c.Servers {
		if balancersOfSize[n] == 0 {
			return nil, merry.Errorf("unknown size %d", n)
		}
		for _, flows := range c.Flows {
			for _, speeds := range c.Speeds {
				for _, p := range c.Placements {
					if !slices.Contains(known, p) {
						return nil, merry.Errorf("unknown placement %q", p)
					}
					for seed := range c.Seeds {
						list = append(list, evenload.Scenario{
							Servers: n, Balancers: balancersOfSize[n], Uneven: speeds == "uneven", Long: flows == "long",
							Utilization: c.Utilization, Placement: p, Seed: seed + 1,
						})
					}
				}
			}
		}
	}
	return list, nil
}
