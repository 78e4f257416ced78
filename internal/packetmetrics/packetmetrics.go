// Package packetmetrics registers the Prometheus metrics of the balancers and agents that
// forward packet flows, and serves them over HTTP.
package packetmetrics

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/directory"
	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packetagent"
	"github.com/bergamotgw/bergamotgw/internal/packetbalancer"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// namespace is the prefix of the name of every metric.
const namespace = "bergamotflow"

// headerTimeout is how long a client may take to send the header of a request.
const headerTimeout = 2 * time.Second

// Metrics holds the metrics of one process.
type Metrics struct {
	registry *prometheus.Registry
}

// NewMetrics returns the metrics that balancers and agents share: those of the log.
func NewMetrics(log *eventlog.Log) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.counter("log_lines_dropped_total", "Log lines dropped because a slow reader let the queue fill up.", log.Dropped)
	m.counter("log_lines_suppressed_total", "Log lines suppressed because their event exceeded its rate.", log.Suppressed)
	return m
}

// Registry returns the registry of the metrics.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// AddBalancer adds the metrics of a balancer.
func (m *Metrics) AddBalancer(b *packetbalancer.Balancer, d *directory.Directory) {
	c, r := b.Counts(), d.Counts()
	m.counter("packets_cached_total", "Packets forwarded to the agent in the cache.", c.Cached.Load)
	m.counter("flows_placed_total", "SYN packets of new flows sent to candidate agents.", c.Placed.Load)
	m.counter("queried_flows_total", "Flows about which the agents that may hold them were queried.", c.Queried.Load)
	m.counter("queried_first_total", "Packets of unknown flows that visited no agent before a query.", c.QueriedFirst.Load)
	m.counter("searches_total", "Packets of unknown flows sent along a search path.", c.Searches.Load)
	m.counter("packets_returned_total", "Packets returned by agents that do not hold their flow.", c.Returned.Load)
	m.counter("flows_lost_total", "Packets whose flow no agent holds or admits.", c.NotFound.Load)
	m.counter("searches_inconclusive_total", "Searches that found no holder of a flow and could not prove that there is none.", c.Inconclusive.Load)
	m.counter("flows_not_held_total", "Open flows reset because no server holds them.", c.Reset.Load)
	m.counter("flows_refused_total", "New flows reset because their service has no server, or only in evacuated zones.", c.Refused.Load)
	m.counter("cold_flows_admitted_total", "New flows offered first to a cold server with a limit and admitted there.", c.ColdAdmitted.Load)
	m.counter("cold_flows_passed_on_total", "New flows offered first to a cold server with a limit and not admitted there.", c.ColdPassedOn.Load)
	m.counter("packets_without_route_total", "Packets to addresses without a route.", c.NoRoute.Load)
	m.counter("packets_without_server_total", "Packets of services without a server.", c.NoServer.Load)
	m.counter("datagrams_malformed_total", "Datagrams that could not be decoded.", c.Malformed.Load)
	m.counter("datagrams_unsent_total", "Datagrams that could not be sent.", c.SendFailed.Load)
	m.counter("platform_reads_total", "Calls to the platform.", r.Reads.Load)
	m.counter("platform_reads_failed_total", "Reads of the platform that failed.", r.FailedReads.Load)
	m.counter("platform_readings_requested_total", "Requests of this balancer for a reading of the platform that begins later.", r.ReadingsRequested.Load)
	m.counter("platform_readings_on_demand_total", "Readings of the platform that requests of balancers caused.", r.ReadingsOnDemand.Load)
	m.counter("entries_ignored_total", "Entries of the list of servers that describe no usable server, once for each content.", r.Ignored.Load)
	m.counter("servers_refused_total", "Lists of servers refused because they were older than the list in force.", r.Refused.Load)
	m.counter("catalog_fetches_total", "Catalogs fetched from other balancers.", r.Fetches.Load)
	m.gauge("catalog_age_seconds", "Time since the catalog was read from the platform, by this balancer or another one, as far as others have stated.", func() float64 {
		age, _ := d.Age()
		return age.Seconds()
	})
	m.gauge("catalog_proved_age_seconds", "Time after which the catalog was read from the platform for certain, by this balancer's own clock, as an age.", func() float64 {
		age, _ := d.ProvedAge()
		return age.Seconds()
	})
	m.counter("platform_readings_unproved_total", "Readings of the platform that were due although other balancers stated younger ones.", r.Unproved.Load)
	m.gauge("routes_version", "Version of the routes in force.", func() float64 { return float64(d.Catalog().Routes.Version) })
	m.gauge("routes_known_seconds", "For how long every service is known that a route has led to, at most the time for which a flow may last.",
		func() float64 { return d.RoutesKnownFor().Seconds() })
	m.counter("routes_skipped_total", "Versions of the routes that another balancer has named and this one had never read.", r.SkippedRoutes.Load)
	m.gauge("servers_revision", "Revision of the platform's store at which the servers in force were read.", func() float64 { return float64(d.Catalog().Servers.Revision) })
	m.gauge("servers_epoch", "Number of times that the platform's store had returned from a backup by that reading.", func() float64 { return float64(d.Catalog().Servers.Epoch) })
	m.gauge("evacuated_zones", "Availability zones in the newest known set of evacuated ones.", func() float64 { return float64(len(d.Catalog().Servers.Evacuations.Zones)) })
	m.gauge("utilization_max", "Highest utilization of a server's slots in the reports of agents.", func() float64 { return b.Utilization().Max })
	m.gauge("utilization_imbalance", "Highest utilization of a server divided by the mean of its service, of the service where that is highest.",
		func() float64 { return b.Utilization().Imbalance })
	m.gauge("report_age_seconds", "Mean age of the reports of agents by which flows are placed.", func() float64 { return b.Utilization().ReportAge.Seconds() })
	m.gauge("stopped_servers", "Listed servers that are offered no new flow because their agents have stated that they have stopped.",
		func() float64 { return float64(b.StoppedServers()) })
	m.gauge("peers_heard", "Other balancers from which a digest was received recently.", func() float64 { return float64(d.Peers()) })
}

// AddAgent adds the metrics of an agent.
func (m *Metrics) AddAgent(a *packetagent.Agent) {
	c := a.Counts()
	m.counter("flows_admitted_total", "New flows whose SYN packet was delivered to the server.", c.Admitted.Load)
	m.counter("packets_passed_on_total", "Packets forwarded to the next candidate.", c.Forwarded.Load)
	m.counter("packets_returned_total", "Packets returned to their balancer.", c.Returned.Load)
	m.counter("flows_lost_total", "Packets whose flow no candidate holds or admits.", c.NotFound.Load)
	m.counter("flows_refused_total", "New flows reset because their expected delay reached the timeout, or because all candidates are in evacuated zones.", c.Refused.Load)
	m.counter("syns_evacuated_total", "SYN packets of new flows not delivered to the server because its zone is evacuated.", c.Evacuated.Load)
	m.counter("cold_flows_passed_on_total", "New flows passed on because the server is cold and has received as many as it can accept.", c.ColdForwarded.Load)
	m.counter("cold_flows_dropped_total", "New flows dropped for that reason whose caller's next copy can be admitted.", c.ColdDropped.Load)
	m.counter("cold_flows_refused_total", "New flows reset for that reason.", c.ColdRefused.Load)
	m.counter("server_restarts_assumed_total", "Restarts of the server that were inferred before a balancer stated them.", c.AssumedRestarts.Load)
	m.counter("flows_shed_priority_total", "New flows reset because they would have been answered late while kinds of higher priority competed.", c.ShedPriority.Load)
	m.counter("flows_shed_retry_total", "Retries of refused flows reset because they would have been answered late.", c.ShedRetry.Load)
	m.counter("clock_sets_total", "Times that the time of day was found to have been set, or the VM suspended.", c.ClockSets.Load)
	m.counter("server_probes_total", "Connection attempts to find out whether a server listens.", c.Probes.Load)
	m.counter("server_probes_refused_total", "Those of them that were refused, so that no server listened.", c.ProbesRefused.Load)
	m.counter("packets_bounced_total", "Packets that the server bounced because it does not hold their flow.", c.Bounced.Load)
	m.counter("flows_learnt_total", "Flows added to the table from packets of the server.", c.Learned.Load)
	m.counter("server_asked_total", "Packets of unknown flows delivered to the server to find out whether it holds the flow.", c.ServerQueries.Load)
	m.counter("requests_held_total", "Requests queued at the agent.", c.Held.Load)
	m.counter("requests_expired_total", "Requests that were queued until they could no longer be answered in time.", c.Expired.Load)
	m.counter("requests_overdue_total", "Requests that the server left unanswered past the overdue timeout.", c.Overdue.Load)
	m.counter("requests_answered_total", "Answers of the server to requests.", c.Answered.Load)
	m.counter("server_failures_total", "Answers with a status of 500 or more, and requests that the server reset.", c.ServerFailures.Load)
	m.counter("flows_wrong_service_total", "New flows of another service.", c.WrongService.Load)
	m.counter("datagrams_malformed_total", "Datagrams that could not be decoded.", c.Malformed.Load)
	m.counter("datagrams_unsent_total", "Datagrams that could not be sent.", c.SendFailed.Load)
	m.gauge("flows", "Flows in the table.", func() float64 { return float64(a.Flows()) })
	m.gauge("requests", "Requests that are queued or running.", func() float64 { return float64(a.PendingRequests()) })
	m.gauge("server_cold", "1 while the server counts as cold and its new flows are limited, otherwise 0.", func() float64 {
		return lo.Ternary(a.ColdLimited(), 1.0, 0)
	})
	m.gauge("server_silent", "1 while the server does not answer, otherwise 0.", func() float64 {
		return one(a.Load().State == steer.Silent)
	})
	m.gauge("listed_server_stopped", "1 while the agent states that the server that balancers list has stopped, otherwise 0.", func() float64 {
		return one(a.ListedServerStopped())
	})
	m.gauge("zone_evacuated", "1 while the zone of the server is evacuated, as far as balancers have stated, otherwise 0.", func() float64 {
		return one(a.Evacuated())
	})
}

// one returns 1 if a condition is true, and 0 otherwise.
func one(condition bool) float64 {
	return lo.Ternary(condition, 1.0, 0)
}

// Answers returns a function that records the times of each answer of a service. once is
// true if the request must not run twice, total is the time since the request was sent, and
// server the part of it after the delivery to the server.
func (m *Metrics) Answers(service string) func(once bool, total, server time.Duration) {
	totals := m.histogram("request_seconds", "Time from the sending of a request to the first bytes of its answer.", service)
	servers := m.histogram("server_seconds", "Time from the delivery of a request to the first bytes of its answer.", service)
	return func(once bool, total, server time.Duration) {
		kind := "repeatable"
		if once {
			kind = "once"
		}
		totals.WithLabelValues(kind).Observe(total.Seconds())
		servers.WithLabelValues(kind).Observe(server.Seconds())
	}
}

func (m *Metrics) histogram(name, help, service string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		ConstLabels: prometheus.Labels{"service": service},
		Buckets:     prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"kind"})
	m.registry.MustRegister(h)
	return h
}

func (m *Metrics) counter(name, help string, value func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(value()) }))
}

func (m *Metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// Serve serves the metrics over HTTP at the TCP address, path /metrics, until the context
// ends. It does nothing if the address is empty. It returns an error if the address cannot
// be bound or the server fails.
func (m *Metrics) Serve(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return merry.Prepend(err, "metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil {
		return merry.Prepend(err, "metrics")
	}
	return nil
}
