package cli

import (
	"os"

	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw"
	"github.com/bergamotgw/bergamotgw/internal/logs"
	"github.com/bergamotgw/bergamotgw/internal/settings"
)

type balancerCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON."`
}

// Run runs a balancer until SIGTERM or SIGINT makes it drain, and until it has drained.
func (c *balancerCommand) Run() error {
	return run(c.Settings, settings.Balancer.Logging, func(s settings.Balancer, l zerolog.Logger) (reloadable[settings.Balancer], error) {
		return bergamotgw.NewBalancer(s, bergamotgw.WithLogger(l.With().Str("vm", s.Name).Logger()))
	})
}

type agentCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON."`
}

// Run runs an agent until SIGTERM or SIGINT makes it drain, and until it has drained.
func (c *agentCommand) Run() error {
	return run(c.Settings, settings.Agent.Logging, func(s settings.Agent, l zerolog.Logger) (reloadable[settings.Agent], error) {
		return bergamotgw.NewAgent(s, bergamotgw.WithLogger(l.With().Str("vm", s.Name).Logger()))
	})
}

type connectCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON."`
}

// Run runs an on-ramp until SIGTERM or SIGINT makes it drain, and until no connection is left.
func (c *connectCommand) Run() error {
	return run(c.Settings, settings.OnRamp.Logging, func(s settings.OnRamp, l zerolog.Logger) (reloadable[settings.OnRamp], error) {
		o, err := bergamotgw.NewOnRamp(s, bergamotgw.WithLogger(l))
		return staticProcess[settings.OnRamp]{o}, err
	})
}

// reloadable is a process that applies parts of new settings while it runs.
type reloadable[T any] interface {
	bergamotgw.Process
	Reload(s T) error
}

// staticProcess is a process that applies no new settings but the log level.
type staticProcess[T any] struct {
	bergamotgw.Process
}

// Reload ignores the settings.
func (staticProcess[T]) Reload(T) error {
	return nil
}

// run loads the settings of a process and serves it, with a reload of the file on SIGHUP.
func run[T settings.Checkable](path string, logging func(T) settings.Log, build func(T, zerolog.Logger) (reloadable[T], error)) error {
	s, err := settings.Load[T](path)
	if err != nil {
		return err
	}
	log := logs.NewLogger(os.Stderr, logging(s))
	p, err := build(s, log)
	if err != nil {
		return err
	}
	return serve(p, log, func() error {
		s, err := settings.Load[T](path)
		if err != nil {
			return err
		}
		logs.SetLevel(logging(s))
		return p.Reload(s)
	})
}
