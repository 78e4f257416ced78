// Package metrics registers the Prometheus metrics of balancers and agents.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// Agent records the metrics of requests at an agent, by service and kind. All times are
// exported in seconds.
type Agent struct {
	queueWait *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
	total     *prometheus.HistogramVec
	handover  *prometheus.HistogramVec
	refused   *prometheus.CounterVec
	verdicts  *prometheus.CounterVec
}

// NewAgent registers the metrics of requests.
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
		queueWait: histogram("queue_wait", "Time from the request preface to the grant of a slot."),
		firstByte: histogram("first_byte", "Time from the grant of a slot to the first byte of the answer."),
		total:     histogram("request", "Time from the request preface to the end of the answer."),
		handover:  histogram("handover", "Time to reserve a slot at a peer agent and to commit the hand-over."),
		refused:   counter("refused", "Requests that were refused and not run, by reason.", "reason"),
		verdicts:  counter("verdicts", "Requests that were granted a slot, by verdict.", "verdict"),
	}
}

// ObserveQueueWait records the time from the request preface to the grant of a slot.
func (a *Agent) ObserveQueueWait(service string, kind request.Kind, d time.Duration) {
	a.queueWait.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// ObserveFirstByte records the time from the grant to the first byte of the answer.
func (a *Agent) ObserveFirstByte(service string, kind request.Kind, d time.Duration) {
	a.firstByte.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// ObserveTotal records the time from the request preface to the end of the answer.
func (a *Agent) ObserveTotal(service string, kind request.Kind, d time.Duration) {
	a.total.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// ObserveHandover records the time to reserve a slot at a peer and commit.
func (a *Agent) ObserveHandover(service string, kind request.Kind, d time.Duration) {
	a.handover.WithLabelValues(service, string(kind)).Observe(d.Seconds())
}

// CountRefusal counts a refused request, by reason.
func (a *Agent) CountRefusal(service string, kind request.Kind, reason answer.Reason) {
	a.refused.WithLabelValues(service, string(boundKind(kind)), string(reason)).Inc()
}

// CountVerdict counts a granted request that has ended, by verdict.
func (a *Agent) CountVerdict(service string, kind request.Kind, v verdict.Verdict) {
	a.verdicts.WithLabelValues(service, string(kind), v.String()).Inc()
}

// boundKind replaces invalid kinds by one value, so that callers cannot create arbitrarily many
// label values.
func boundKind(kind request.Kind) request.Kind {
	if kind.Valid() {
		return kind
	}
	return "unknown"
}
