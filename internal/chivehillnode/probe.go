package chivehillnode

import (
	"context"
	"net/http"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillheader"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	probeTimeout = 500 * time.Millisecond
	// ProbePath is the HTTP path of a server's health check.
	ProbePath = "/healthz"
)

// probeDueServers sends health checks to failed or draining servers, limited by
// the probe budget.
func (n *Node) probeDueServers(ctx context.Context) {
	view := n.state.View()
	if view == nil {
		return
	}
	for _, pool := range n.slots.Pools() {
		for _, id := range n.slots.ProbesDue(pool) {
			server, found := view.Server(id)
			if !found {
				continue
			}
			if !n.probes.Take(n.clock.Now(), 1) {
				n.metrics.Probes.WithLabelValues("withheld").Inc()
				continue
			}
			n.slots.Handle(pool, n.probeServer(ctx, id, server.Address))
		}
	}
}

// disconnected notifies the pools of a server that it closed a connection.
func (n *Node) disconnected(address string) {
	view := n.state.View()
	if view == nil || n.leaving.Load() {
		return
	}
	for _, p := range view.Configuration.Pools {
		for _, s := range p.Spec.Servers {
			if s.Address == address {
				n.slots.Handle(p.Spec.Pool, chivehillbalance.Disconnected{Server: s.Server})
			}
		}
	}
}

func (n *Node) probeServer(ctx context.Context, id chivehillid.ServerID, address string) chivehillbalance.Probed {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p := chivehillbalance.Probed{Server: id}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ProbePath, nil)
	if err != nil {
		return p
	}
	health, err := n.dispatch.Probe(req)
	if err != nil {
		n.metrics.Probes.WithLabelValues("failed").Inc()
		return p
	}
	n.metrics.Probes.WithLabelValues("answered").Inc()
	p.Draining = health.State == chivehillheader.StateDraining
	p.Cold = health.State == chivehillheader.StateCold
	p.Healthy = health.Status < http.StatusInternalServerError || p.Draining
	return p
}
