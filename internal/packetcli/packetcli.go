// Package packetcli implements the command line of the bergamotflow program, which runs the
// balancers and agents of packet flows, checks their settings and explains their logs.
package packetcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/checkcommand"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
)

// timeFormat is the format of times in the log.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// flushInterval is the time between reports of the number of suppressed log lines.
const flushInterval = time.Second

// commands are the commands of the program.
type commands struct {
	Balancer balancerCommand `cmd:"" help:"Run a balancer of packet flows."`
	Agent    agentCommand    `cmd:"" help:"Run an agent of packet flows beside a backend server."`
	Explain  explainCommand  `cmd:"" help:"Print the history of a flow or a request from logs, and the cause of its outcome."`
	Check    checkCommand    `cmd:"" help:"Check a settings file, and print every fault. With --against, compare the operator's configuration with the one in force."`
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	// The handler is installed first, because a SIGHUP without a handler would end the
	// process. One channel receives all signals, so that none is lost that arrives before
	// the process serves.
	caught := catchSignals()
	defer signal.Stop(caught)
	var c commands
	exit, exited := exitOK, false
	parser, err := kong.New(&c,
		kong.Name("bergamotflow"),
		kong.Description("Load-balances packet flows, whose transport protocol runs between caller and backend server."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit, exited = code, true }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if exited {
		return exit
	}
	if err != nil {
		parser.FatalIfErrorf(err)
		return checkcommand.ParseCode(args, max(exit, exitFailed))
	}
	ctx.BindTo(stdout, (*io.Writer)(nil))
	ctx.Bind(caught)
	if err := ctx.Run(); err != nil {
		_, _ = fmt.Fprintln(stderr, "bergamotflow:", err)
		var coded kong.ExitCoder
		if errors.As(err, &coded) {
			return coded.ExitCode()
		}
		return exitFailed
	}
	return exit
}

// process is a balancer or an agent.
type process interface {
	// Run serves until the context ends, then leaves and returns.
	Run(ctx context.Context) error
}

// run loads the settings of a process and runs it while it handles signals: SIGTERM and
// SIGINT make the process leave, SIGHUP reloads the log level.
func run[T packetsettings.Checkable](path string, caught signals, common func(T) packetsettings.Common, build func(T, *eventlog.Log) (process, error)) error {
	s, err := packetsettings.Load[T](path)
	if err != nil {
		return err
	}
	setLevel(common(s).LogLevel)
	zerolog.TimeFieldFormat = timeFormat
	log := eventlog.NewLog(os.Stdout, common(s).Name, clockwork.NewRealClock())
	defer func() { _ = log.Close() }()
	p, err := build(s, log)
	if err != nil {
		return err
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-flush.C:
			log.Flush()
		case err := <-done:
			return err
		case s := <-caught:
			if s == syscall.SIGHUP {
				reload(path, common, log)
				continue
			}
			leave()
		}
	}
}

// signals receives the signals that a process handles.
type signals chan os.Signal

func catchSignals() signals {
	caught := make(signals, 4)
	signal.Notify(caught, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return caught
}

func reload[T packetsettings.Checkable](path string, common func(T) packetsettings.Common, log *eventlog.Log) {
	s, err := packetsettings.Load[T](path)
	if err != nil {
		log.Error("reloadFailed").Err(err).Send()
		return
	}
	setLevel(common(s).LogLevel)
	log.Info("reloaded").Send()
}

func setLevel(name string) {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
}
