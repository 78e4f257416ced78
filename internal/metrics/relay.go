package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bergamotgw/bergamotgw/internal/relay"
)

// RegisterEvacuated registers the number of endpoints in evacuated zones, as far as the process
// routes to them or serves them.
func RegisterEvacuated(r prometheus.Registerer, endpoints func() int) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bergamotgw_evacuated_endpoints",
		Help: "Endpoints in evacuated zones: at a balancer of all services, at an agent its own.",
	}, func() float64 { return float64(endpoints()) }))
}

// RegisterRelay registers the counters of an agent's packet connection, and the number of its
// open flows.
func RegisterRelay(r prometheus.Registerer, c *relay.Counts, flows func() int) {
	drop := func(reason string, value func() uint64) {
		r.MustRegister(counterFunc("drops_total", "Datagrams dropped, by reason.", "reason", reason, value))
	}
	drop("wrongService", c.WrongService.Load)
	drop("otherHolder", c.OtherHolder.Load)
	drop("foreign", c.Foreign.Load)
	drop("malformed", c.Malformed.Load)
	drop("refused", c.Refused.Load)
	drop("noPath", c.NoPath.Load)
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bergamotgw_passed_on_total",
		Help: "Datagrams of new flows forwarded to the next candidate.",
	}, func() float64 { return float64(c.Forwarded.Load()) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bergamotgw_flows",
		Help: "Open flows.",
	}, func() float64 { return float64(flows()) }))
}
