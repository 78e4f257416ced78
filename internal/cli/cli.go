// Package cli implements the command line of the bergamotgw program, which runs balancers,
// agents and on-ramps, checks their configuration and reports their state.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw"
	"github.com/bergamotgw/bergamotgw/internal/checkcommand"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
)

// commands are the commands of the program.
type commands struct {
	Balancer balancerCommand `cmd:"" help:"Run a balancer, which forwards datagrams between the fabric and agents."`
	Agent    agentCommand    `cmd:"" help:"Run an agent, which terminates flows beside a backend server."`
	Connect  connectCommand  `cmd:"" help:"Run an on-ramp, which forwards TCP connections to a service."`
	Check    checkCommand    `cmd:"" help:"Check the configuration document or a settings file, and print every fault. With --against, compare a document with the one in force."`
	Schema   schemaCommand   `cmd:"" help:"Print the JSON Schema of the configuration document."`
	Report   reportCommand   `cmd:"" help:"Print the configuration that is in force at running processes."`
	Demo     demoCommand     `cmd:"" help:"Run a complete system with stand-ins on loopback, and inject failures."`
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands
	exit := exitOK
	parser, err := kong.New(&c,
		kong.Name("bergamotgw"),
		kong.Description("A layer-4 load balancer without shared state."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.FatalIfErrorf(err)
		return checkcommand.ParseCode(args, max(exit, exitFailed))
	}
	if ctx.Command() == "" {
		return exit
	}
	ctx.BindTo(stdout, (*io.Writer)(nil))
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, "bergamotgw:", err)
		var coded kong.ExitCoder
		if errors.As(err, &coded) {
			return coded.ExitCode()
		}
		return exitFailed
	}
	return exit
}

// serve runs a process while it handles signals: the first SIGTERM or SIGINT drains the
// process, the second stops it immediately, SIGHUP reloads its settings.
func serve(p bergamotgw.Process, log zerolog.Logger, reload func() error) error {
	ctx, drain := context.WithCancel(context.Background())
	defer drain()
	caught := make(chan os.Signal, 4)
	signal.Notify(caught, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(caught)
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case s := <-caught:
			if s == syscall.SIGHUP {
				logReload(log, reload())
				continue
			}
			if ctx.Err() != nil {
				log.Warn().Str("event", "stoppedAtOnce").Send()
				return nil
			}
			drain()
		}
	}
}

func logReload(log zerolog.Logger, err error) {
	if err != nil {
		log.Error().Str("event", "reloadFailed").Err(err).Send()
		return
	}
	log.Info().Str("event", "reloaded").Send()
}
