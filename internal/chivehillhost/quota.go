package chivehillhost

import (
	"net/http"

	"github.com/chivehill/chivehill/internal/chivehillquota"
)

// newQuotas returns what keeps the quotas of workspaces on this host.
func (h *Host) newQuotas() *chivehillquota.Service {
	return chivehillquota.New(chivehillquota.Options{
		Self: h.self, Bounds: h.quotaBounds, View: h.catalog.View, Live: h.live, Leaving: h.leaving.Load,
		Clock: h.clock, Metrics: chivehillquota.NewMetrics(h.metrics.Registry), Log: h.log,
	})
}

// quotaBounds returns the bounds of the settings on quotas.
func (h *Host) quotaBounds() chivehillquota.Bounds {
	b := h.bounds.Load()
	return chivehillquota.Bounds{Window: seconds(b.QuotaWindowSeconds), Over: b.QuotaOver, Slack: b.QuotaSlack}
}

// peerHandler returns the handler of connections from other hosts.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(chivehillquota.Path, h.quotas)
	mux.Handle("/", h.relay)
	return mux
}
