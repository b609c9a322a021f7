package chivehillquota

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what a host asks for, gets and grants.
type Metrics struct {
	// Asks counts requests to owners by result: answered or failed.
	Asks *prometheus.CounterVec
	// Tokens counts tokens that this host got, by what became of them: granted, or lapsed
	// as well, since no request needed them in time.
	Tokens *prometheus.CounterVec
	// Refused counts requests refused by this host, by workspace.
	Refused *prometheus.CounterVec
	// Bytes counts bytes of messages sent and received, by direction.
	Bytes *prometheus.CounterVec
	// Members is the number of hosts that have committed their share to this one.
	Members prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counters := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "chivehill", Name: name, Help: help}, []string{label})
	}
	m := &Metrics{
		Asks:    counters("quota_asks_total", "Requests for tokens to owners.", "result"),
		Tokens:  counters("quota_tokens_total", "Tokens that this host got.", "fate"),
		Refused: counters("quota_refused_total", "Requests refused for the quota.", "workspace"),
		Bytes:   counters("quota_bytes_total", "Bytes of messages about quotas.", "direction"),
		Members: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "chivehill", Name: "quota_members", Help: "Hosts that have committed their share to this one."}),
	}
	r.MustRegister(m.Asks, m.Tokens, m.Refused, m.Bytes, m.Members)
	return m
}
