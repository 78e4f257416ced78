package bergamotgw

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"github.com/bergamotgw/bergamotgw/internal/onramp"
	"github.com/bergamotgw/bergamotgw/internal/settings"
	"github.com/bergamotgw/bergamotgw/pkg/caller"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// OnRamp accepts TCP connections of applications and carries each as one stream to a service.
type OnRamp struct {
	settings settings.OnRamp
	log      zerolog.Logger
	listener net.Listener
	caller   *caller.Caller
}

// NewOnRamp returns an on-ramp with an open listening socket. It returns an error if the
// authority's certificate cannot be read or the socket cannot be opened.
func NewOnRamp(s settings.OnRamp, options ...Option) (*OnRamp, error) {
	i := newInjector(options)
	o := &OnRamp{settings: s, log: do.MustInvoke[zerolog.Logger](i)}
	pem, err := os.ReadFile(s.AuthorityFile)
	if err != nil {
		return nil, merry.Prepend(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, merry.Errorf("authority file %s: no PEM certificate", s.AuthorityFile)
	}
	if o.listener, err = net.Listen("tcp4", s.Listen.String()); err != nil {
		return nil, merry.Prepend(err, "listen")
	}
	o.caller, err = caller.NewCaller(s.Address, s.Service, caller.WithTLS(&tls.Config{RootCAs: pool}))
	return o, err
}

// Run serves until the context ends, and then until the last connection is closed.
func (o *OnRamp) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = o.listener.Close() })
	defer stop()
	defer func() { _ = o.caller.Close() }()
	bridge := onramp.Bridge{Caller: o.caller, Kind: request.Kind(o.settings.Kind), Log: o.log}
	o.log.Info().Str("event", "onRampStarted").Stringer("listen", o.settings.Listen).Send()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := o.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return merry.Prepend(err, "accept")
		}
		wg.Go(func() { bridge.Serve(context.WithoutCancel(ctx), c.(*net.TCPConn)) })
	}
}
