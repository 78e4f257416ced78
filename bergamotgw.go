// Package bergamotgw is a layer-4 load balancer: a fleet of processes that
// carries the flows of callers to backend servers without shared state.
//
// A Balancer forwards datagrams between the fabric and agents. An Agent stands
// beside a backend server, ends flows there and places their requests. An
// OnRamp lets applications that speak TCP call a service. Each is built from
// its settings and options, and serves in Run until its context ends.
package bergamotgw

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
)

// Process is one process of the system.
type Process interface {
	// Run serves until the context ends, and then drains.
	Run(ctx context.Context) error
}

// Option configures a process.
type Option func(do.Injector)

// WithClock sets the clock; the system's clock is the default.
func WithClock(c clockwork.Clock) Option {
	return func(i do.Injector) { do.OverrideValue(i, c) }
}

// WithLogger sets the log; the default discards it.
func WithLogger(l zerolog.Logger) Option {
	return func(i do.Injector) { do.OverrideValue(i, l) }
}

// newInjector returns the services that every process starts from.
func newInjector(options []Option) do.Injector {
	i := do.New()
	do.ProvideValue(i, clockwork.NewRealClock())
	do.ProvideValue(i, zerolog.Nop())
	for _, o := range options {
		o(i)
	}
	return i
}
