// Package bergamotgw is a layer-4 load balancer: a fleet of processes that carries the flows of
// callers to backend servers without shared state.
//
// A Balancer forwards datagrams between the fabric and agents. An Agent runs beside a backend
// server, terminates flows and places their requests. An OnRamp lets applications call a
// service over TCP. Each is created from its settings and options, and serves in Run until its
// context ends.
package bergamotgw

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
)

// Process is a balancer, an agent or an on-ramp.
type Process interface {
	// Run serves until the context ends, drains and returns.
	Run(ctx context.Context) error
}

// Option configures a process.
type Option func(do.Injector)

// WithClock sets the clock. The default is the system's clock.
func WithClock(c clockwork.Clock) Option {
	return func(i do.Injector) { do.OverrideValue(i, c) }
}

// WithLogger sets the logger. The default discards all lines.
func WithLogger(l zerolog.Logger) Option {
	return func(i do.Injector) { do.OverrideValue(i, l) }
}

// newInjector returns an injector that provides the clock and the logger, with the options
// applied.
func newInjector(options []Option) do.Injector {
	i := do.New()
	do.ProvideValue(i, clockwork.NewRealClock())
	do.ProvideValue(i, zerolog.Nop())
	for _, o := range options {
		o(i)
	}
	return i
}
