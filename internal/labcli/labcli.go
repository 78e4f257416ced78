// Package labcli implements the command line of the bergamotlab program: stand-ins for
// the systems around the balancers and agents, and tools for measurements and tests.
package labcli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/fabric"
	"github.com/bergamotgw/bergamotgw/internal/lab/platform"
)

// readHeaderTimeout limits the wait for the header of an HTTP request.
const readHeaderTimeout = 5 * time.Second

type commands struct {
	Platform   platformCommand   `cmd:"" help:"Run a stand-in for the configuration service."`
	Fabric     fabricCommand     `cmd:"" help:"Run a stand-in for the network fabric."`
	Backend    backendCommand    `cmd:"" help:"Run a stand-in for a backend server."`
	Experiment experimentCommand `cmd:"" help:"Measure placement under load and faults."`
	Evenload   evenloadCommand   `cmd:"" help:"Simulate how evenly packet flows are placed by old reports of load."`
	Soak       soakCommand       `cmd:"" help:"Run processes of packet flows under random faults, and check the guarantees."`
	Capacity   capacityCommand   `cmd:"" help:"Measure how costs grow with the size of the system, and draw plots."`
}

// Main runs the program with the arguments and returns its exit code: 0 for success, 1
// for an error, which is written to stderr.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("bergamotlab"), kong.Writers(stdout, stderr),
		kong.Description("Stand-ins and tools for tests of bergamotgw."))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "bergamotlab:", err)
		return 1
	}
	signalCtx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx.BindTo(signalCtx, (*context.Context)(nil))
	ctx.BindTo(stdout, (*io.Writer)(nil))
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, "bergamotlab:", err)
		return 1
	}
	return 0
}

type platformCommand struct {
	Listen netip.AddrPort `required:"" help:"TCP address of the service and its control endpoints."`
}

// Run serves the stand-in for the configuration service until the context ends.
func (c *platformCommand) Run(ctx context.Context) error {
	return platform.NewPlatform().Run(ctx, c.Listen)
}

type fabricCommand struct {
	Inner     netip.AddrPort   `required:"" help:"UDP address towards the balancers."`
	Admin     netip.AddrPort   `required:"" help:"TCP address of the control endpoints."`
	Addresses []netip.AddrPort `required:"" help:"Service addresses."`
	Balancers []netip.AddrPort `required:"" help:"Front addresses of the balancers."`
	Seed      uint64           `default:"1" help:"Seed of all random choices."`
}

// Run forwards datagrams until the context ends.
func (c *fabricCommand) Run(ctx context.Context) error {
	f, err := fabric.NewFabric(c.Inner, c.Addresses, c.Seed)
	if err != nil {
		return err
	}
	f.SetFaults(fabric.Faults{Balancers: c.Balancers})
	s := &http.Server{Addr: c.Admin.String(), Handler: f.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.ListenAndServe() }()
	defer func() { _ = s.Close() }()
	f.Run(ctx)
	return nil
}

type backendCommand struct {
	VM      string         `required:"" help:"Name of the VM."`
	Service string         `required:"" help:"Name of the service."`
	Listen  netip.AddrPort `required:"" help:"TCP address for requests."`
	Admin   netip.AddrPort `required:"" help:"TCP address of the health, statistics, journal and control endpoints."`
	Slots   int            `default:"2" help:"Number of requests that run concurrently."`
	Speed   float64        `default:"1" help:"Speed relative to the nominal speed."`
	ColdMs  int            `default:"0" help:"Length of the cold start, in milliseconds."`
	Journal string         `type:"path" help:"File that preserves the journal when the process is killed; none by default."`
}

// Run serves the stand-in for the backend server until the context ends.
func (c *backendCommand) Run(ctx context.Context) error {
	return backend.NewBackend(backend.Config{
		VM: c.VM, Service: c.Service, Listen: c.Listen, Admin: c.Admin, Slots: c.Slots, JournalFile: c.Journal,
		Behaviour: backend.Behaviour{Speed: c.Speed, ColdMs: c.ColdMs},
	}).Run(ctx)
}
