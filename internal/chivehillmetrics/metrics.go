// Package chivehillmetrics holds the metrics of an entry host.
package chivehillmetrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// Metrics holds the metrics of an entry host.
type Metrics struct {
	Registry *prometheus.Registry
	// Requests counts answered requests by route and outcome.
	Requests *prometheus.CounterVec
	// Refusals counts refusals by reason and outcome.
	Refusals *prometheus.CounterVec
	// Retries counts attempts after the first of a request by reason.
	Retries *prometheus.CounterVec
	// Hedges counts hedged requests by result: sent, won, no-slot, no-budget.
	Hedges *prometheus.CounterVec
	// RemoteSlots counts requests that ran on a slot of another host.
	RemoteSlots prometheus.Counter
	// AddedSeconds is the time from the arrival of a request to its dispatch.
	AddedSeconds prometheus.Histogram
	// PeerClosed counts closed peer connections by reason.
	PeerClosed *prometheus.CounterVec
	// PeerBytes counts control bytes sent to peers by scope: region or link.
	PeerBytes *prometheus.CounterVec
	// LinkBytes counts request and response bytes sent across regions.
	LinkBytes prometheus.Counter
	// Probes counts health probes by result; "withheld" ones exceeded the budget.
	Probes *prometheus.CounterVec
	// StoreCalls counts calls to the store by operation and result.
	StoreCalls *prometheus.CounterVec
	// Invariants counts invariant violations by invariant.
	Invariants *prometheus.CounterVec
	// Keys is the number of stored idempotency keys.
	Keys prometheus.Gauge
	// KeptBytes is the memory used by stored responses, in bytes.
	KeptBytes prometheus.Gauge
	// Version is the version of the configuration in force.
	Version prometheus.Gauge
	// Epoch is the epoch of the membership in force.
	Epoch prometheus.Gauge
	// Servers is the number of owned servers by pool and state.
	Servers *prometheus.GaugeVec
}

// New registers all metrics. Each refusal and retry reason starts at zero, so
// that its rate is defined before it first happens.
func New() *Metrics {
	m := &Metrics{
		Registry:     prometheus.NewRegistry(),
		Requests:     counterVec("requests_total", "Answered requests.", "route", "outcome"),
		Refusals:     counterVec("refusals_total", "Refused requests.", "reason", "outcome"),
		Retries:      counterVec("retries_total", "Further attempts of a request.", "reason"),
		Hedges:       counterVec("hedges_total", "Hedged requests.", "result"),
		RemoteSlots:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: "chivehill", Name: "remote_slots_total", Help: "Requests on a slot of another host."}),
		AddedSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "chivehill", Name: "added_seconds", Help: "Time from arrival to dispatch.", Buckets: prometheus.ExponentialBuckets(0.00002, 2, 18)}),
		PeerClosed:   counterVec("peer_closed_total", "Closed peer connections.", "reason"),
		PeerBytes:    counterVec("peer_bytes_total", "Control bytes sent to peers.", "scope"),
		LinkBytes:    prometheus.NewCounter(prometheus.CounterOpts{Namespace: "chivehill", Name: "link_bytes_total", Help: "Request and answer bytes across regions."}),
		Probes:       counterVec("probes_total", "Health probes.", "result"),
		StoreCalls:   counterVec("store_calls_total", "Calls to the store.", "operation", "result"),
		Invariants:   counterVec("invariant_violations_total", "Violated invariants.", "invariant"),
		Keys:         gauge("keys", "Remembered idempotency keys."),
		KeptBytes:    gauge("kept_answer_bytes", "Memory for kept answers."),
		Version:      gauge("configuration_version", "Configuration in force."),
		Epoch:        gauge("membership_epoch", "Membership in force."),
		Servers: prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "chivehill", Name: "servers", Help: "Owned servers."},
			[]string{"pool", "state"}),
	}
	m.Registry.MustRegister(m.Requests, m.Refusals, m.Retries, m.Hedges, m.RemoteSlots, m.AddedSeconds, m.PeerClosed,
		m.PeerBytes, m.LinkBytes, m.Probes, m.StoreCalls, m.Invariants, m.Keys, m.KeptBytes, m.Version, m.Epoch, m.Servers,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, r := range chivehillreason.Refusals {
		m.Refusals.WithLabelValues(string(r), string(chivehillreason.NotRun))
		m.Refusals.WithLabelValues(string(r), string(chivehillreason.Unknown))
	}
	for _, r := range chivehillreason.Retries {
		m.Retries.WithLabelValues(string(r))
	}
	return m
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "chivehill", Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "chivehill", Name: name, Help: help})
}

func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "chivehill", Name: name, Help: help}, labels)
}

// Refuse counts a refusal.
func (m *Metrics) Refuse(r chivehillreason.Refusal) {
	m.Refusals.WithLabelValues(string(r.Reason), string(r.Outcome)).Inc()
}

// Violation counts a violated invariant.
func (m *Metrics) Violation(name chivehillinvariant.Name) {
	m.Invariants.WithLabelValues(string(name)).Inc()
}
