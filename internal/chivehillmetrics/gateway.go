package chivehillmetrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// secondsBuckets are the buckets of the latency histogram: 1 ms to about 8 s.
var secondsBuckets = prometheus.ExponentialBuckets(0.001, 2, 14)

// Gateway holds the metrics of a gateway, a host that reads its servers from the
// platform's store.
type Gateway struct {
	Registry *prometheus.Registry
	// Requests counts responses of servers by route and outcome.
	Requests *prometheus.CounterVec
	// Refusals counts refusals by reason and outcome.
	Refusals *prometheus.CounterVec
	// WorkspaceRequests counts responses of servers by workspace.
	WorkspaceRequests *prometheus.CounterVec
	// WorkspaceRefusals counts refusals by workspace and reason. Requests without a
	// workspace are not counted.
	WorkspaceRefusals *prometheus.CounterVec
	// WorkspaceWaits counts waits for capacity by workspace and result: assigned, expired or
	// given-up.
	WorkspaceWaits *prometheus.CounterVec
	// Retries counts attempts after the first of a request by reason.
	Retries *prometheus.CounterVec
	// Probes counts health checks by result.
	Probes *prometheus.CounterVec
	// StoreCalls counts calls to the store by operation and result.
	StoreCalls *prometheus.CounterVec
	// Seconds is the time from the arrival of a request to its response, by route.
	Seconds *prometheus.HistogramVec
	// Version is the version of the configuration in force.
	Version prometheus.Gauge
	// RecordsIgnored counts records of the catalog that could not be decoded, by collection.
	RecordsIgnored *prometheus.CounterVec
	// LogDropped counts log lines dropped because the sink was too slow.
	LogDropped prometheus.Counter
	// Down is the number of hosts that the directory leaves out because they are
	// down.
	Down prometheus.Gauge
	// Watching is 1 while this host watches the store.
	Watching prometheus.Gauge
	// RateLimited is the number of servers that state a rate limit.
	RateLimited prometheus.Gauge
	// Leaves counts servers whose response to this host was the first to say that they leave.
	Leaves prometheus.Counter
	// Leaving is the number of listed servers that leave by their own word.
	Leaving prometheus.Gauge
	// TrialAnswers counts the answers that are compared while a version is under trial, by
	// service, version and result.
	TrialAnswers *prometheus.CounterVec
	// RolloutActions counts what this host did for roll-outs, by service and action.
	RolloutActions *prometheus.CounterVec
	// Quiet is the number of listed servers that want nothing from this host for now.
	Quiet prometheus.Gauge
	// MemoryHeld is the memory held for others, by kind.
	MemoryHeld *prometheus.GaugeVec
	// MemoryLimit is the total of all kinds up to which a kind may take more.
	MemoryLimit *prometheus.GaugeVec
}

// NewGateway registers all metrics. Each refusal and retry reason starts at zero,
// so that its rate is defined before it first happens.
func NewGateway() *Gateway {
	m := &Gateway{
		Registry:       prometheus.NewRegistry(),
		Requests:       counterVec("requests_total", "Answered requests.", "route", "outcome"),
		Refusals:       counterVec("refusals_total", "Refused requests.", "reason", "outcome"),
		Retries:        counterVec("retries_total", "Further attempts of a request.", "reason"),
		Probes:         counterVec("probes_total", "Health probes.", "result"),
		RecordsIgnored: counterVec("records_ignored_total", "Records of the catalog that could not be decoded.", "collection"),

		WorkspaceRequests: counterVec("workspace_requests_total", "Answered requests of a workspace.", "workspace"),
		WorkspaceRefusals: counterVec("workspace_refusals_total", "Refused requests of a workspace.", "workspace", "reason"),
		TrialAnswers:      counterVec("trial_answers_total", "Answers that are compared while a version is under trial.", "service", "version", "result"),
		RolloutActions:    counterVec("rollout_actions_total", "What this host did for roll-outs.", "service", "action"),
		WorkspaceWaits:    counterVec("workspace_waits_total", "Ended waits for capacity of a workspace's requests.", "workspace", "result"),

		StoreCalls: counterVec("store_calls_total", "Calls to the store.", "operation", "result"),
		Seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chivehill", Name: "request_seconds", Help: "Time from arrival to answer.", Buckets: secondsBuckets,
		}, []string{"route"}),
		Version:    gauge("configuration_version", "Configuration in force."),
		LogDropped: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "chivehill", Name: "log_dropped_total", Help: "Log lines dropped."}),
		Down:       gauge("hosts_down", "Hosts that callers are not sent to."),
		Watching:   gauge("watching", "1 while this host watches the store."),

		MemoryHeld:  gaugeVec("memory_held_bytes", "Memory held for others.", "kind"),
		MemoryLimit: gaugeVec("memory_limit_bytes", "Memory held for others up to which a kind may take more.", "kind"),
		RateLimited: gauge("servers_rate_limited", "Servers that state a rate limit."),
		Leaving:     gauge("servers_leaving", "Listed servers that leave by their own word."),
		Quiet:       gauge("servers_quiet", "Listed servers that want nothing from this host for now."),
		Leaves:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: "chivehill", Name: "server_leaves_total", Help: "Servers that were first heard to leave by this host."}),
	}
	m.Registry.MustRegister(m.Requests, m.Refusals, m.WorkspaceRequests, m.WorkspaceRefusals, m.WorkspaceWaits, m.Retries, m.Probes, m.StoreCalls, m.RecordsIgnored, m.Seconds, m.Version, m.LogDropped, m.Down, m.Watching, m.RateLimited, m.Leaving, m.Quiet, m.Leaves, m.MemoryHeld, m.MemoryLimit, m.TrialAnswers, m.RolloutActions,
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
