// Package chivehillquery implements the read-only endpoints of the administration
// API.
package chivehillquery

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillslot"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Paths of the read-only endpoints.
const (
	StatusPath        = "/v1/status"
	ConfigurationPath = "/v1/configuration"
)

// HostStatus is the state of an entry host as the reporting host knows it.
type HostStatus struct {
	Host          chivehillid.HostID   `json:"host"`
	Region        chivehillid.RegionID `json:"region"`
	FailureDomain chivehillid.DomainID `json:"failure-domain"`
	CallerAddress string               `json:"caller-address"`
	Reachable     bool                 `json:"reachable"`
	Leaving       bool                 `json:"leaving"`
	// Version is the newest configuration version known to be in force at the host.
	Version     chivehillid.Version   `json:"version"`
	Epoch       chivehillid.Epoch     `json:"epoch"`
	ConfigAgeMs chivehillclock.Millis `json:"config-age-ms"`
}

// ServerStatus is the state of a server that the reporting host owns.
type ServerStatus struct {
	Pool     chivehillid.PoolID    `json:"pool"`
	Server   chivehillid.ServerID  `json:"server"`
	Owner    chivehillid.HostID    `json:"owner"`
	State    string                `json:"state"`
	Limit    chivehillid.Slots     `json:"limit"`
	InFlight chivehillid.Slots     `json:"in-flight"`
	TookMs   chivehillclock.Millis `json:"took-ms"`
}

// Status is the state of the system as one host sees it. Servers lists the
// servers that this host owns.
type Status struct {
	Host       chivehillid.HostID        `json:"host"`
	Version    chivehillid.Version       `json:"version"`
	Epoch      chivehillid.Epoch         `json:"epoch"`
	MayServe   bool                      `json:"may-serve"`
	Leaving    bool                      `json:"leaving"`
	Hosts      []HostStatus              `json:"hosts"`
	Servers    []ServerStatus            `json:"servers"`
	DomainsOut []chivehillwire.DomainOut `json:"domains-out"`
}

// Source provides the state that the endpoints return.
type Source interface {
	Status() Status
	Configuration() (chivehillwire.Configuration, bool)
	Ready() bool
}

// Registrar adds routes to a router.
type Registrar interface {
	Register(*httprouter.Router)
}

// New returns the handler of the administration API: the read-only endpoints,
// metrics, profiles, and the routes that commands registers.
func New(s Source, m *chivehillmetrics.Metrics, commands Registrar) http.Handler {
	r := httprouter.New()
	r.GET(StatusPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, s.Status()) })
	r.GET(ConfigurationPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		c, found := s.Configuration()
		if !found {
			http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, c)
	})
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { _, _ = w.Write([]byte("ok\n")) })
	r.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !s.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	r.HandlerFunc(http.MethodGet, "/debug/pprof/profile", pprof.Profile)
	r.HandlerFunc(http.MethodGet, "/debug/pprof/trace", pprof.Trace)
	for _, name := range []string{"heap", "goroutine", "allocs", "mutex", "block"} {
		r.Handler(http.MethodGet, "/debug/pprof/"+name, pprof.Handler(name))
	}
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	commands.Register(r)
	return r
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// PoolServers converts the status of a pool to that of its servers.
func PoolServers(owner chivehillid.HostID, p chivehillslot.PoolStatus) []ServerStatus {
	servers := make([]ServerStatus, 0, len(p.Servers))
	for _, s := range p.Servers {
		servers = append(servers, ServerStatus{
			Pool: p.Pool, Server: s.Server, Owner: owner, State: s.State, Limit: s.Limit, InFlight: s.InFlight, TookMs: s.Took,
		})
	}
	return servers
}
