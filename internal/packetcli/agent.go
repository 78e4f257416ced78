package packetcli

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/packetagent"
	"github.com/bergamotgw/bergamotgw/internal/packetsettings"
	"github.com/bergamotgw/bergamotgw/internal/readiness"
	"github.com/bergamotgw/bergamotgw/platform"
)

// maxAgentLeave is how long a leaving agent waits for requests that run. The
// server's open flows stand still until the agent runs again, so it is short.
const maxAgentLeave = 400 * time.Millisecond

// agent is an agent process.
type agent struct {
	settings packetsettings.Agent
	clock    clockwork.Clock
	log      zerolog.Logger
	carry    *packetagent.Agent
	ready    *readiness.Server
}

func newAgent(s packetsettings.Agent, l zerolog.Logger) (*agent, error) {
	a := &agent{settings: s, clock: clockwork.NewRealClock(), log: l}
	var err error
	a.carry, err = packetagent.NewAgent(packetagent.Config{
		Service:    catalog.ServiceID(s.Service),
		Relay:      s.Relay,
		Outbound:   s.Outbound,
		Server:     s.Server,
		CallerPort: s.Callers.Port(),
		MaxFlow:    s.MaxFlow(),
		Codec:      platform.PacketCodec(),
		Clock:      a.clock,
		Log:        l,
	})
	if err != nil {
		return nil, err
	}
	a.ready, err = readiness.NewServer(s.Ready, func() bool { return true })
	return a, err
}

// Run carries packets until the context ends, and then until no request runs.
func (a *agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { a.carry.Run(serving) })
	wg.Go(func() { a.ready.Run(serving) })
	a.log.Info().Str("event", "agentStarted").Str("service", a.settings.Service).Stringer("relay", a.settings.Relay).Send()
	<-ctx.Done()
	a.carry.Leave()
	a.log.Info().Str("event", "leaveStarted").Int("requests", a.carry.Busy()).Send()
	started := a.clock.Now()
	for a.carry.Busy() > 0 && a.clock.Since(started) < maxAgentLeave {
		<-a.clock.After(maxAgentLeave / 20)
	}
	stop()
	wg.Wait()
	a.log.Info().Str("event", "agentStopped").Int("requests", a.carry.Busy()).Send()
	return nil
}
