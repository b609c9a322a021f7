package chivehillmetrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// Buckets of the latency histograms, in seconds: 1 ms to about 8 s.
var secondsBuckets = prometheus.ExponentialBuckets(0.001, 2, 14)

// Gateway counts what a host does that takes its servers from a registry.
type Gateway struct {
	Registry *prometheus.Registry
	// Requests counts answers of servers by route and outcome.
	Requests *prometheus.CounterVec
	// Refusals counts refusals by reason and outcome.
	Refusals *prometheus.CounterVec
	// Retries counts further attempts by reason.
	Retries *prometheus.CounterVec
	// Probes counts health checks by result.
	Probes *prometheus.CounterVec
	// StoreCalls counts calls to the store by operation and result.
	StoreCalls *prometheus.CounterVec
	// Seconds is the time from the arrival of a request to its answer, by route.
	Seconds *prometheus.HistogramVec
	// Version is the version of the configuration in force.
	Version prometheus.Gauge
	// LogDropped counts log lines that a slow sink did not take in time.
	LogDropped prometheus.Counter
	// Down is the number of hosts that callers are not sent to.
	Down prometheus.Gauge
	// Watching is 1 while this host watches the store.
	Watching prometheus.Gauge
}

// NewGateway registers all metrics. Each refusal and retry reason starts at zero.
func NewGateway() *Gateway {
	m := &Gateway{
		Registry:   prometheus.NewRegistry(),
		Requests:   counterVec("requests_total", "Answered requests.", "route", "outcome"),
		Refusals:   counterVec("refusals_total", "Refused requests.", "reason", "outcome"),
		Retries:    counterVec("retries_total", "Further attempts of a request.", "reason"),
		Probes:     counterVec("probes_total", "Health probes.", "result"),
		StoreCalls: counterVec("store_calls_total", "Calls to the store.", "operation", "result"),
		Seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chivehill", Name: "request_seconds", Help: "Time from arrival to answer.", Buckets: secondsBuckets,
		}, []string{"route"}),
		Version:    gauge("configuration_version", "Configuration in force."),
		LogDropped: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "chivehill", Name: "log_dropped_total", Help: "Log lines dropped."}),
		Down:       gauge("hosts_down", "Hosts that callers are not sent to."),
		Watching:   gauge("watching", "1 while this host watches the store."),
	}
	m.Registry.MustRegister(m.Requests, m.Refusals, m.Retries, m.Probes, m.StoreCalls, m.Seconds, m.Version, m.LogDropped, m.Down, m.Watching,
		collectors.NewGoCollector())
	for _, r := range chivehillreason.Refusals {
		m.Refusals.WithLabelValues(string(r), string(chivehillreason.NotRun))
		m.Refusals.WithLabelValues(string(r), string(chivehillreason.Unknown))
	}
	for _, r := range chivehillreason.Retries {
		m.Retries.WithLabelValues(string(r))
	}
	return m
}

// Refuse counts a refusal.
func (m *Gateway) Refuse(r chivehillreason.Refusal) {
	m.Refusals.WithLabelValues(string(r.Reason), string(r.Outcome)).Inc()
}
