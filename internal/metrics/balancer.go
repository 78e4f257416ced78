package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bergamotgw/bergamotgw/internal/balancer"
)

// RegisterBalancer registers the counters of a balancer: forwarded datagrams by route, and
// dropped datagrams by reason.
func RegisterBalancer(r prometheus.Registerer, b *balancer.Balancer) {
	c := b.Counts()
	datagrams := func(direction string, value func() uint64) {
		r.MustRegister(counterFunc("datagrams_total", "Datagrams forwarded, by route.", "route", direction, value))
	}
	datagrams("established", c.Established.Load)
	datagrams("newFlow", c.NewFlow.Load)
	datagrams("answer", c.Answers.Load)
	for _, reason := range balancer.DropReasons() {
		r.MustRegister(counterFunc("drops_total", "Datagrams dropped, by reason.", "reason", reason.String(),
			func() uint64 { return b.Drops(reason) }))
	}
}

func counterFunc(name, help, label, value string, count func() uint64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name:        "bergamotgw_" + name,
		Help:        help,
		ConstLabels: prometheus.Labels{label: value},
	}, func() float64 { return float64(count()) })
}
