package packetcli

import (
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/checkcommand"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/finding"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/internal/routecheck"
	"github.com/bergamotgw/bergamotgw/platform"
)

type balancerCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON."`
}

// Run runs a balancer until SIGTERM or SIGINT makes it leave.
func (c *balancerCommand) Run(caught signals) error {
	return run(c.Settings, caught, func(s packetsettings.Balancer) packetsettings.Common { return s.Common },
		func(s packetsettings.Balancer, l *eventlog.Log) (process, error) { return newBalancer(s, l) })
}

type agentCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON."`
}

// Run runs an agent until SIGTERM or SIGINT makes it leave.
func (c *agentCommand) Run(caught signals) error {
	return run(c.Settings, caught, func(s packetsettings.Agent) packetsettings.Common { return s.Common },
		func(s packetsettings.Agent, l *eventlog.Log) (process, error) { return newAgent(s, l) })
}

type checkCommand struct {
	File    string `arg:"" type:"path" help:"File to check."`
	As      string `enum:"balancer,agent" required:"" xor:"kind" help:"Type of process that the settings are for: ${enum}."`
	Against string `type:"path" required:"" xor:"kind" placeholder:"FORCE" help:"Operator's configuration in force: check another one, and print the differences."`
	JSON    bool   `help:"Write the findings as JSON; only with --against."`
}

// Run prints every fault of a settings file, and fails if there are any. With the operator's
// configuration in force, it checks another one and prints the differences.
func (c *checkCommand) Run(stdout io.Writer) error {
	switch {
	case c.Against != "":
		return checkcommand.Flags{Against: c.Against, JSON: c.JSON}.Run(stdout, c.File, compareRoutes)
	case c.JSON:
		return checkcommand.Usage("--json needs --against")
	}
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return merry.Wrap(err)
	}
	var faults []fault.Fault
	if c.As == "balancer" {
		_, faults = packetsettings.Parse[packetsettings.Balancer](raw)
	} else {
		_, faults = packetsettings.Parse[packetsettings.Agent](raw)
	}
	for _, f := range faults {
		_, _ = fmt.Fprintf(stdout, "%s: %s\n", c.File, f)
	}
	if len(faults) > 0 {
		return merry.Errorf("%d faults", len(faults))
	}
	_, err = fmt.Fprintf(stdout, "%s: no faults\n", c.File)
	return err
}

func compareRoutes(force, next []byte) finding.List {
	return routecheck.Against(platform.DecodeForCheck(force), platform.DecodeForCheck(next))
}
