package chivehillhost

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// HTTP paths that a host serves to operators at its metrics address.
const (
	// MetricsPath is the path of the metrics.
	MetricsPath = "/metrics"
	// RolloutsPath is the path of the roll-outs as this host sees them, a JSON array of
	// RolloutStatus.
	RolloutsPath = "/rollouts"
)

// operatorsHandler serves what operators ask a host.
func (h *Host) operatorsHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, MetricsPath, promhttp.HandlerFor(h.metrics.Registry, promhttp.HandlerOpts{}))
	router.GET(RolloutsPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the operator has disconnected.
		_ = json.NewEncoder(w).Encode(h.rollouts.status())
	})
	return router
}
