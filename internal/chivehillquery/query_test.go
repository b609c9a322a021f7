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

// emptySource is a Source without a configuration.
type emptySource struct{}

func (emptySource) Status() Status { return Status{} }

func (emptySource) Configuration() (chivehillwire.Configuration, bool) {
	return chivehillwire.Configuration{}, false
}

func (emptySource) Ready() bool { return false }

func TestAdministrationAPIResponses(t *testing.T) {
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
		{"note accepted", "t", "POST", chivehilladmin.NotesPath, "Bearer t", note, 200, `"version":1`},
		{"note applied again", "t", "POST", chivehilladmin.NotesPath, "Bearer t", note, 200, `"already":true`},
		{"no token in request", "t", "POST", chivehilladmin.NotesPath, "", note, 401, "bearer token"},
		{"wrong token", "t", "POST", chivehilladmin.NotesPath, "Bearer x", note, 401, "bearer token"},
		{"no token configured", "", "POST", chivehilladmin.NotesPath, "Bearer ", note, 401, "bearer token"},
		{"note too large", "t", "POST", chivehilladmin.NotesPath, "Bearer t", strings.Repeat(" ", 1<<20+1), 413, "at most 1048576 bytes"},
		{"unknown field", "t", "POST", chivehilladmin.NotesPath, "Bearer t", `{"nota": 1}`, 400, "unknown field"},
		{"conflicting note", "t", "POST", chivehilladmin.NotesPath, "Bearer t", `{"note": "m", "added": [{"service": {"service": "s"}}]}`, 409, "it exists at version 1"},
		{"alive", "t", "GET", "/healthz", "", "", 200, "ok"},
		{"not ready", "t", "GET", "/readyz", "", "", 503, "not ready"},
		{"no configuration", "t", "GET", ConfigurationPath, "", "", 503, "no configuration"},
		{"metrics", "t", "GET", "/metrics", "", "", 200, `chivehill_refusals_total{outcome="not-run",reason="overload"} 0`},
		{"GET on notes not allowed", "t", "GET", chivehilladmin.NotesPath, "", "", 405, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			handler := New(emptySource{}, metrics, admin(tt.token))
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

func TestStoreOutageReturnsServiceUnavailable(t *testing.T) {
	c := qt.New(t)
	fakeStore := chivehillstandin.NewStore()
	fakeStore.SetFaults(chivehillstandin.StoreFaults{Down: true})
	store := httptest.NewServer(fakeStore.Handler())
	defer store.Close()
	admin := chivehilladmin.New(chivehilladmin.Options{
		Store: chivehillstore.NewClient(strings.TrimPrefix(store.URL, "http://")), State: chivehillstate.New(func() {}), Token: []byte("t"), Log: zerolog.Nop(),
	})
	req := httptest.NewRequest(http.MethodPost, chivehilladmin.NotesPath, strings.NewReader(`{"note": "n", "added": [{"service": {"service": "s"}}]}`))
	req.Header.Set("Authorization", "Bearer t")
	w := httptest.NewRecorder()
	New(emptySource{}, chivehillmetrics.New(), admin).ServeHTTP(w, req)
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Body.String(), qt.Contains, "store failed")
	c.Check(w.Body.String(), qt.Not(qt.Contains), "uncertain")
}
