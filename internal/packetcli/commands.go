package packetcli

import (
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
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
	File string `arg:"" type:"path" help:"File to check."`
	As   string `enum:"balancer,agent" required:"" help:"Type of process that the settings are for: ${enum}."`
}

// Run prints every fault of a settings file, and fails if there are any.
func (c *checkCommand) Run(stdout io.Writer) error {
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
