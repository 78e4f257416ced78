// Package inprocess runs a complete system and the stand-ins around it in one process, for the
// demo and for experiments.
package inprocess

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw"
	"github.com/bergamotgw/bergamotgw/internal/lab/backend"
	"github.com/bergamotgw/bergamotgw/internal/lab/fabric"
	"github.com/bergamotgw/bergamotgw/internal/lab/fleet"
	"github.com/bergamotgw/bergamotgw/internal/lab/platform"
)

// startupTime is the time given to balancers and agents to receive the configuration.
const startupTime = 3 * time.Second

// System is a running system.
type System struct {
	// Platform is the stand-in for the configuration service.
	Platform *platform.Platform
	// Fabric is the stand-in for the network fabric.
	Fabric *fabric.Fabric

	plan     fleet.Plan
	backends map[string]*backend.Backend
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Start writes the files of the plan, starts all parts, and waits startupTime for them to
// receive the configuration. The seed is that of the random faults of the fabric.
func Start(ctx context.Context, plan fleet.Plan, seed uint64) (*System, error) {
	if err := plan.Write(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &System{plan: plan, backends: make(map[string]*backend.Backend), cancel: cancel}
	if err := s.start(ctx, seed); err != nil {
		s.Stop()
		return nil, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(startupTime):
	}
	return s, nil
}

func (s *System) start(ctx context.Context, seed uint64) error {
	s.Platform = platform.NewPlatform()
	s.Platform.Publish(s.plan.Entries()...)
	s.running.Go(func() { _ = s.Platform.Run(ctx, s.plan.Platform()) })
	var err error
	if s.Fabric, err = fabric.NewFabric(s.plan.Fabric(), s.plan.Addresses(), seed); err != nil {
		return err
	}
	s.Fabric.SetFaults(fabric.Faults{Balancers: s.plan.Fronts()})
	s.running.Go(func() { s.Fabric.Run(ctx) })
	for i := range s.plan.Balancers {
		b, err := bergamotgw.NewBalancer(s.plan.BalancerSettings(i + 1))
		if err != nil {
			return merry.Prepend(err, "start balancer")
		}
		s.running.Go(func() { _ = b.Run(ctx) })
	}
	for _, e := range s.plan.Endpoints() {
		if err := s.startEndpoint(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startEndpoint(ctx context.Context, e fleet.Endpoint) error {
	b := backend.NewBackend(backend.Config{
		VM: e.VM, Service: e.Service.Name, Listen: s.plan.Backend(e), Admin: s.plan.BackendAdmin(e), Slots: e.Service.Slots,
	})
	s.backends[e.VM] = b
	s.running.Go(func() { _ = b.Run(ctx) })
	a, err := bergamotgw.NewAgent(s.plan.AgentSettings(e))
	if err != nil {
		return merry.Prepend(err, "start agent")
	}
	s.running.Go(func() { _ = a.Run(ctx) })
	return nil
}

// Stop stops all parts and returns when they have ended.
func (s *System) Stop() {
	s.cancel()
	s.running.Wait()
}

// Backend returns the stand-in for the backend server on the named VM.
func (s *System) Backend(name string) *backend.Backend {
	return s.backends[name]
}

// Stats returns the counts of each backend server of a service.
func (s *System) Stats(service string) []backend.Stats {
	var list []backend.Stats
	for _, e := range s.plan.Endpoints() {
		if e.Service.Name == service {
			list = append(list, s.backends[e.VM].Stats())
		}
	}
	return list
}

// Journals returns the requests that reached the backend servers, by service.
func (s *System) Journals() map[string][]backend.Record {
	journals := make(map[string][]backend.Record)
	for _, e := range s.plan.Endpoints() {
		journals[e.Service.Name] = append(journals[e.Service.Name], s.backends[e.VM].Journal()...)
	}
	return journals
}
