package chivehillentry

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

// HostsPath is the path of the endpoint that lists the hosts a caller may use.
const HostsPath = "/.chivehill/hosts"

// HostWeight is a host that a caller may use, with its load balancing weight.
type HostWeight struct {
	Host    chivehillid.HostID   `json:"host"`
	Address string               `json:"address"`
	Region  chivehillid.RegionID `json:"region"`
	// Weight is the relative share of requests to send to the host. Hosts of
	// weight 0 are fallbacks for when no other host responds.
	Weight int `json:"weight"`
}

// HostsAnswer is the JSON response at HostsPath.
type HostsAnswer struct {
	Hosts  []HostWeight          `json:"hosts"`
	KeepMs chivehillclock.Millis `json:"keep-ms"`
	// KeyPrefix is the prefix of keys for non-idempotent requests sent to the
	// responding host. It is absent if that host may not run them.
	KeyPrefix string             `json:"key-prefix,omitempty"`
	Host      chivehillid.HostID `json:"host"`
}

// serveHosts lists the hosts to use for a path and tenant.
func (e *Entry) serveHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c := &call{id: requestID(r), tenant: chivehillid.TenantID(r.URL.Query().Get("tenant"))}
	view := e.Cluster.View()
	if view == nil {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.ConfigMissing})
		return
	}
	var pool chivehillid.PoolID
	regions := chivehillregion.Everywhere()
	if path := r.URL.Query().Get("path"); path != "" {
		route, found := view.Route(path, c.tenant)
		if !found {
			e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.NoRoute})
			return
		}
		pool = route.Pool
		regions = view.Regions(route.Route, c.tenant)
	}
	response := HostsAnswer{Hosts: e.Cluster.Hosts(pool, regions), KeepMs: e.Limits.AnswerKeepMs, Host: e.Self.Host}
	if regions.Allows(e.Self.Region) && !e.Cluster.Leaving() {
		response.KeyPrefix = e.Table.Prefix(e.Clock.Now())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}
