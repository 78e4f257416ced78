package cli

import (
	"context"
	"io"
	"os"
	"os/signal"

	"github.com/bergamotgw/bergamotgw/internal/lab/demo"
)

// demoOctets is the range of loopback networks among which demos choose.
const (
	firstDemoOctet = 210
	demoOctets     = 40
)

type demoCommand struct {
	Seed uint64 `default:"1" help:"Seed of the load."`
}

// Run runs the demo and fails if a promise broke.
func (c *demoCommand) Run(stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	d := demo.Demo{Output: stdout, Octet: uint8(firstDemoOctet + os.Getpid()%demoOctets), Seed: c.Seed}
	return d.Run(ctx)
}
