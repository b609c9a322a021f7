package chivehillgateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// newRoutesView returns a view with an idempotent route below one that is not, on host h.
func newRoutesView() chivehillcatalog.View {
	target := []chivehillcatalog.Target{{Service: "s", Weight: 1}}
	catalog := chivehillcatalog.New(chivehillcatalog.Options{Log: zerolog.Nop(), Decoder: testDecoder{configuration: chivehillcatalog.Configuration{
		Version: 1,
		Routes: []chivehillcatalog.Route{
			{ID: "charge", Hostname: "h", PathPrefix: "/charge/", Targets: target},
			{ID: "quote", Hostname: "h", PathPrefix: "/charge/quote/", Idempotent: true, Targets: target},
			{ID: "list", Hostname: "H2", PathPrefix: "/list/", Idempotent: true, Targets: target},
		},
	}}})
	catalog.Apply(chivehillcatalog.Configurations, chivehillcatalog.Update{Full: true, AsOf: 9, Records: []chivehillcatalog.Record{{Name: "main", Revision: 1}}})
	return catalog.View()
}

// parseRequest reads a request as the front does. It returns nil if it is malformed.
func parseRequest(text string) *chivehillfront.Request {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return nil
	}
	return chivehillfront.NewRequest(r, nil)
}

func TestRouteIsSelectedByOtherBytesThanThoseSent(t *testing.T) {
	tests := []struct {
		target, host string
		route        chivehillid.RouteID
		idempotent   bool
	}{
		{"/charge/1", "h", "charge", false},
		{"/charge/quote/1", "h", "quote", true},
		{"/charge/quote/1", "H:8080", "quote", true},
		{"/charge/quote/1", "h:", "quote", true},
		{"/charge/quote/1", "h.", "", false},
		{"/charge/quote/%41", "h", "quote", true},
		{"/charge/quote//1", "h", "quote", true},
		{"/charge/quote/a/../b", "h", "quote", true},
		{"/charge/quote", "h", "charge", false},
		{"/charge/quote?/charge/quote/", "h", "charge", false},
		{"/charge/quote%2F1", "h", "charge", false},
		{"/charge/quote%252F1", "h", "charge", false},
		{"/charge/%71uote/1", "h", "charge", false},
		{"/charge//quote/1", "h", "charge", false},
		{"/charge/./quote/1", "h", "charge", false},
		{"/charge/quote/../1", "h", "quote", false},
		{"/charge/quote/%2e./1", "h", "quote", false},
		{"/charge/quote/..%2F1", "h", "quote", false},
		{"/charge/quote/../../elsewhere", "h", "quote", false},
		{"/%63harge/1", "h", "", false},
		{"//charge/1", "h", "", false},
		{"http://h/charge/quote%2F1", "h2", "charge", false},
		{"http://h2/list/1", "h", "list", true},
		{"http://H2:80/list/?x", "h", "list", true},
		{"http://h", "h", "", false},
		{"*", "h", "", false},
	}
	view := newRoutesView()
	for _, tt := range tests {
		r := parseRequest("POST " + tt.target + " HTTP/1.1\r\nHost: " + tt.host + "\r\n\r\n")
		qt.Assert(t, r, qt.IsNotNil, qt.Commentf("%s", tt.target))
		route, _ := findRoute(view, r)
		qt.Check(t, route.ID, qt.Equals, tt.route, qt.Commentf("%s at %s", tt.target, tt.host))
		qt.Check(t, route.Idempotent, qt.Equals, tt.idempotent, qt.Commentf("%s at %s", tt.target, tt.host))
		qt.Check(t, r.URI, qt.Equals, tt.target)
	}
}

// FuzzRequests checks that no request is taken for an idempotent one unless the bytes of its
// request line select an idempotent route.
func FuzzRequests(f *testing.F) {
	for _, target := range []string{
		"/charge/quote/1", "/charge/quote%2F1", "/charge/quote/../1", "http://h/charge/quote/1", "/charge//quote/", "*", "/charge/quote/%2e%2e/", "http://h?/charge/quote/",
	} {
		f.Add("POST "+target+" HTTP/1.1", "h", "X: y\r\n z\r\nContent-Length: 0\r\nContent-Length: 0")
	}
	view := newRoutesView()
	f.Fuzz(func(t *testing.T, line, host, rest string) {
		r := parseRequest(line + "\r\nHost: " + host + "\r\n" + rest + "\r\n\r\n")
		if r == nil {
			return
		}
		route, found := findRoute(view, r)
		if !found || !route.Idempotent {
			return
		}
		firstLine, _, _ := strings.Cut(line, "\n")
		fields := strings.Split(strings.TrimSuffix(firstLine, "\r"), " ")
		path, _, _ := strings.Cut(fields[1], "?")
		if strings.Contains(path, "://") && !strings.HasPrefix(path, "/") {
			_, path, _ = strings.Cut(path, "://")
			_, path, _ = strings.Cut(path, "/")
			path = "/" + path
		}
		if !strings.HasPrefix(path, "/charge/quote/") && !strings.HasPrefix(path, "/list/") {
			t.Fatalf("idempotent by route %s: %q", route.ID, line)
		}
		if r.URI != fields[1] {
			t.Fatalf("%q is forwarded as %q", fields[1], r.URI)
		}
	})
}
