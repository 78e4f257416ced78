// Package metrics holds the metrics of the processes, per service and kind.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// Agent are the metrics of requests at an agent. All times are in seconds.
type Agent struct {
	wait      *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
	total     *prometheus.HistogramVec
	handover  *prometheus.HistogramVec
	refused   *prometheus.CounterVec
	verdicts  *prometheus.CounterVec
}

// NewAgent registers the metrics.
func NewAgent(r prometheus.Registerer) *Agent {
	labels := []string{"service", "kind"}
	histogram := func(name, help string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bergamotgw_" + name + "_seconds",
			Help:    help,
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, labels)
		r.MustRegister(h)
		return h
	}
	counter := func(name, help, label string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamotgw_" + name + "_total",
			Help: help,
		}, append(labels, label))
		r.MustRegister(c)
		return c
	}
	return &Agent{
		wait:      histogram("queue_wait", "Time from the request preface to the grant."),
		firstByte: histogram("first_byte", "Time from the grant to the first byte of the answer."),
		total:     histogram("request", "Time from the request preface to the end of the answer."),
		handover:  histogram("handover", "Time to reserve a slot at a peer and commit."),
		refused:   counter("refused", "Requests that were refused and not run.", "reason"),
		verdicts:  counter("verdicts", "Requests that were granted, by verdict.", "verdict"),
	}
}

// Waited notes the time to the grant.
func (a *Agent) Waited(service string, kind request.Kind, d time.Duration) {
	a.wait.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// FirstByte notes the time to the first byte of the answer.
func (a *Agent) FirstByte(service string, kind request.Kind, d time.Duration) {
	a.firstByte.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// Total notes the time to the end of the answer.
func (a *Agent) Total(service string, kind request.Kind, d time.Duration) {
	a.total.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// HandedOver notes the time to hand a request to a peer.
func (a *Agent) HandedOver(service string, kind request.Kind, d time.Duration) {
	a.handover.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// Refused counts a refusal.
func (a *Agent) Refused(service string, kind request.Kind, reason answer.Reason) {
	a.refused.WithLabelValues(service, string(known(kind)), string(reason)).Inc()
}

// Ended counts the end of a granted request.
func (a *Agent) Ended(service string, kind request.Kind, v verdict.Verdict) {
	a.verdicts.WithLabelValues(service, string(kind), v.String()).Inc()
}

// known keeps the number of label values bounded.
func known(kind request.Kind) request.Kind {
	if kind.Valid() {
		return kind
	}
	return "unknown"
}
