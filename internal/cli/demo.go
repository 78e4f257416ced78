package cli

import (
	"context"
	"io"
	"os"
	"os/signal"

	"github.com/bergamotgw/bergamotgw/internal/lab/demo"
)

// Range of the second octets of the loopback networks that demos use. The process ID selects
// one of them.
const (
	firstDemoOctet = 210
	demoOctets     = 40
)

type demoCommand struct {
	Seed uint64 `default:"1" help:"Seed of the random load."`
}

// Run runs the demo, and fails if a guarantee was violated.
func (c *demoCommand) Run(stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	d := demo.Demo{Output: stdout, Octet: uint8(firstDemoOctet + os.Getpid()%demoOctets), Seed: c.Seed}
	return d.Run(ctx)
}
