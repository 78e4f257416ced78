package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/checkcommand"
	"github.com/bergamotgw/bergamotgw/internal/document"
	"github.com/bergamotgw/bergamotgw/internal/documentcheck"
	"github.com/bergamotgw/bergamotgw/internal/fault"
	"github.com/bergamotgw/bergamotgw/internal/finding"
	"github.com/bergamotgw/bergamotgw/internal/schema"
	"github.com/bergamotgw/bergamotgw/internal/settings"
)

type checkCommand struct {
	File string `arg:"" type:"path" help:"File to check."`
	As   string `enum:"document,balancer,agent,connect" default:"document" help:"Type of the file: ${enum}."`
	checkcommand.Flags
}

// Run prints every fault of a file, and fails if there are any. With a document in force it
// also prints warnings and differences.
func (c *checkCommand) Run(stdout io.Writer) error {
	switch {
	case c.Against != "" && c.As != "document":
		return checkcommand.Usage("--against compares documents; --as %s is for settings", c.As)
	case c.Against != "":
		return c.Flags.Run(stdout, c.File, documentcheck.Against)
	case c.JSON:
		return checkcommand.Usage("--json needs --against")
	}
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.As == "document" {
		for _, f := range documentcheck.Check(raw) {
			if f.Severity == finding.Warning {
				_, _ = fmt.Fprintf(stdout, "%s: %s\n", c.File, f)
			}
		}
	}
	faults := c.faults(raw)
	for _, f := range faults {
		_, _ = fmt.Fprintf(stdout, "%s: %s\n", c.File, f)
	}
	if len(faults) > 0 {
		return merry.Errorf("%d faults", len(faults))
	}
	_, err = fmt.Fprintf(stdout, "%s: no faults\n", c.File)
	return err
}

func (c *checkCommand) faults(raw []byte) []fault.Fault {
	var faults []fault.Fault
	switch c.As {
	case "balancer":
		_, faults = settings.Parse[settings.Balancer](raw)
	case "agent":
		_, faults = settings.Parse[settings.Agent](raw)
	case "connect":
		_, faults = settings.Parse[settings.OnRamp](raw)
	default:
		_, faults = document.Parse(raw)
	}
	return faults
}

type schemaCommand struct{}

// Run prints the JSON Schema of the configuration document.
func (c *schemaCommand) Run(stdout io.Writer) error {
	_, err := io.WriteString(stdout, schema.Document)
	return err
}
