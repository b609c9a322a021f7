package chivehillquery

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehilladmin"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillstandin"
	"github.com/chivehill/chivehill/internal/chivehillstate"
	"github.com/chivehill/chivehill/internal/chivehillstore"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// source is a host without a configuration.
type source struct{}

func (source) Status() Status { return Status{} }

func (source) Configuration() (chivehillwire.Configuration, bool) {
	return chivehillwire.Configuration{}, false
}

func (source) Ready() bool { return false }

func TestOperatorsAddress(t *testing.T) {
	store := httptest.NewServer(chivehillstandin.NewStore().Handler())
	defer store.Close()
	metrics := chivehillmetrics.New()
	admin := func(token string) *chivehilladmin.Admin {
		return chivehilladmin.New(chivehilladmin.Options{
			Store: chivehillstore.NewClient(strings.TrimPrefix(store.URL, "http://")), State: chivehillstate.New(func() {}),
			Token: []byte(token), Log: zerolog.Nop(), Metrics: metrics,
			InForce: func() map[chivehillid.HostID]chivehillid.Version { return nil },
		})
	}
	const note = `{"note": "n", "added": [{"service": {"service": "s"}}]}`
	tests := []struct {
		name   string
		token  string
		method string
		path   string
		header string
		body   string
		status int
		want   string
	}{
		{"accepted", "t", "POST", chivehilladmin.NotesPath, "Bearer t", note, 200, `"version":1`},
		{"accepted again", "t", "POST", chivehilladmin.NotesPath, "Bearer t", note, 200, `"already":true`},
		{"no token sent", "t", "POST", chivehilladmin.NotesPath, "", note, 401, "bearer token"},
		{"wrong token", "t", "POST", chivehilladmin.NotesPath, "Bearer x", note, 401, "bearer token"},
		{"no token set", "", "POST", chivehilladmin.NotesPath, "Bearer ", note, 401, "bearer token"},
		{"too large", "t", "POST", chivehilladmin.NotesPath, "Bearer t", strings.Repeat(" ", 1<<20+1), 413, "at most 1048576 bytes"},
		{"unknown field", "t", "POST", chivehilladmin.NotesPath, "Bearer t", `{"nota": 1}`, 400, "unknown field"},
		{"conflict", "t", "POST", chivehilladmin.NotesPath, "Bearer t", `{"note": "m", "added": [{"service": {"service": "s"}}]}`, 409, "it exists at version 1"},
		{"alive", "t", "GET", "/healthz", "", "", 200, "ok"},
		{"not ready", "t", "GET", "/readyz", "", "", 503, "not ready"},
		{"no configuration", "t", "GET", ConfigurationPath, "", "", 503, "no configuration"},
		{"metrics", "t", "GET", "/metrics", "", "", 200, `chivehill_refusals_total{outcome="not-run",reason="overload"} 0`},
		{"notes cannot be read", "t", "GET", chivehilladmin.NotesPath, "", "", 405, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			handler := New(source{}, metrics, admin(tt.token))
			req := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			if tt.header != "" {
				req.Header.Set("Authorization", tt.header)
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, req)
			c.Check(w.Code, qt.Equals, tt.status)
			c.Check(w.Body.String(), qt.Contains, tt.want)
		})
	}
}

func TestStoreOutageIsTold(t *testing.T) {
	c := qt.New(t)
	stand := chivehillstandin.NewStore()
	stand.SetFaults(chivehillstandin.StoreFaults{Down: true})
	store := httptest.NewServer(stand.Handler())
	defer store.Close()
	admin := chivehilladmin.New(chivehilladmin.Options{
		Store: chivehillstore.NewClient(strings.TrimPrefix(store.URL, "http://")), State: chivehillstate.New(func() {}), Token: []byte("t"), Log: zerolog.Nop(),
	})
	req := httptest.NewRequest(http.MethodPost, chivehilladmin.NotesPath, strings.NewReader(`{"note": "n", "added": [{"service": {"service": "s"}}]}`))
	req.Header.Set("Authorization", "Bearer t")
	w := httptest.NewRecorder()
	New(source{}, chivehillmetrics.New(), admin).ServeHTTP(w, req)
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Body.String(), qt.Contains, "store failed")
	c.Check(w.Body.String(), qt.Not(qt.Contains), "uncertain")
}
