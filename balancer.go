package bergamotgw

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/balancer"
	"github.com/bergamotgw/bergamotgw/internal/connid"
	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/metrics"
	"github.com/bergamotgw/bergamotgw/internal/node"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/routes"
	"github.com/bergamotgw/bergamotgw/internal/settings"
	"github.com/bergamotgw/bergamotgw/internal/status"
)

// balancerGrace is how long a leaving balancer continues to forward, so that the fabric has
// time to stop sending to it.
const balancerGrace = 5 * time.Second

// maxForwardGoroutines is the largest number of goroutines that read each socket.
const maxForwardGoroutines = 4

// Balancer forwards datagrams between the fabric and agents.
type Balancer struct {
	settings  settings.Balancer
	clock     clockwork.Clock
	log       zerolog.Logger
	ranker    rendezvous.Ranker
	forwarder *balancer.Balancer
	node      *node.Node
	drain     drainFlag
	// evacuation logs evacuations; only apply uses it.
	evacuation evacuationLog
}

// NewBalancer returns a balancer with open sockets. It returns an error if a secret cannot be
// read or a socket cannot be opened.
func NewBalancer(s settings.Balancer, options ...Option) (*Balancer, error) {
	i := newInjector(options)
	b := &Balancer{settings: s, clock: do.MustInvoke[clockwork.Clock](i), log: do.MustInvoke[zerolog.Logger](i)}
	secret, err := settings.ReadSecret(s.HashSecretFile, connid.KeyLen)
	if err != nil {
		return nil, err
	}
	b.ranker = rendezvous.NewRanker(secret)
	codec, err := s.Codec()
	if err != nil {
		return nil, err
	}
	b.forwarder, err = balancer.NewBalancer(balancer.Config{
		Front:         s.Front,
		Fabric:        s.Fabric,
		Back:          s.Back,
		AgentNetworks: s.AgentNetworks,
		Codec:         codec,
		Table:         routes.NewTable(ledger.NewLedger(b.clock), b.ranker),
	})
	if err != nil {
		return nil, err
	}
	b.node, err = node.NewNode(node.Config{
		Common:   s.Common,
		Address:  s.Back,
		Role:     "balancer",
		State:    b.drain.state,
		Counters: b.counters,
		Clock:    b.clock,
		Log:      b.log,
	})
	if err != nil {
		return nil, err
	}
	metrics.RegisterEvacuated(b.node.Registry, b.forwarder.Evacuated)
	metrics.RegisterBalancer(b.node.Registry, b.forwarder)
	return b, nil
}

// Run forwards until the context ends, and then until the grace time is over.
func (b *Balancer) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { b.node.Run(serving) })
	wg.Go(func() { b.forwarder.Run(serving, min(runtime.GOMAXPROCS(0), maxForwardGoroutines)) })
	wg.Go(func() { b.node.OnChange(serving, b.apply) })
	b.log.Info().Str("event", "balancerStarted").Stringer("front", b.settings.Front).Send()
	<-ctx.Done()
	b.drain.set()
	b.log.Info().Str("event", "drainStarted").Dur("grace", balancerGrace).Send()
	<-b.clock.After(balancerGrace)
	stop()
	wg.Wait()
	b.log.Info().Str("event", "balancerStopped").Send()
	return nil
}

// Reload applies the connection ID keys of new settings; other settings need a restart. After
// an error the former keys stay in use.
func (b *Balancer) Reload(s settings.Balancer) error {
	codec, err := s.Codec()
	if err != nil {
		return err
	}
	b.forwarder.SetCodec(codec)
	return nil
}

func (b *Balancer) apply(l *ledger.Ledger) {
	t := routes.NewTable(l, b.ranker)
	b.forwarder.SetTable(t)
	b.evacuation.record(b.log, l.List(entry.SectionPrefix), b.clock.Now())
	b.log.Debug().Str("event", "routesChanged").Int("addresses", t.Addresses()).Send()
}

func (b *Balancer) counters() []status.Counter {
	c := b.forwarder.Counts()
	list := []status.Counter{
		{Name: "establishedDatagrams", Value: c.Established.Load()},
		{Name: "newFlowDatagrams", Value: c.NewFlow.Load()},
		{Name: "answerDatagrams", Value: c.Answers.Load()},
		{Name: "evacuatedEndpoints", Value: uint64(b.forwarder.Evacuated())},
	}
	return append(list, lo.Map(balancer.DropReasons(), func(r balancer.Reason, _ int) status.Counter {
		return status.Counter{Name: "drop." + r.String(), Value: b.forwarder.Drops(r)}
	})...)
}
