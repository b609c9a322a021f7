package chivehilldispatch

import (
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// probe sends a health check to a server that sends text.
func probe(t *testing.T, text string) (Health, error) {
	t.Helper()
	target := serve(t, func(c net.Conn) { _, _ = io.WriteString(c, text) })
	d := New(chivehillclock.New(), func(string) {})
	t.Cleanup(d.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+target.Address+"/healthz", nil)
	qt.Assert(t, err, qt.IsNil)
	return d.Probe(req)
}

// TestBrokenRefusalProvesThatTheRequestHasNotRun guards against a refusal that breaks off being
// taken for proof that the request has not run, so that it is sent again.
func TestBrokenRefusalProvesThatTheRequestHasNotRun(t *testing.T) {
	const head = "HTTP/1.1 503 Busy\r\nChivehill-Not-Run: true\r\n"
	tests := []struct {
		about  string
		text   string
		notRun bool
	}{
		{"whole", head + "Content-Length: 4\r\n\r\nbusy", true},
		{"no body", head + "Content-Length: 0\r\n\r\n", true},
		{"body that ends with the connection", head + "\r\nbusy", true},
		{"part of a body with a length", head + "Content-Length: 5\r\n\r\nbusy", false},
		{"part of a body in chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n", false},
		{"part of a head", head, false},
	}
	for _, tt := range tests {
		a, _ := send(t, serve(t, func(c net.Conn) { _, _ = io.WriteString(c, tt.text) }))
		qt.Check(t, a.ServerNotRun, qt.Equals, tt.notRun, qt.Commentf("%s", tt.about))
		qt.Check(t, a.Sent, qt.IsTrue, qt.Commentf("%s", tt.about))
		qt.Check(t, a.Response, qt.IsNil, qt.Commentf("%s", tt.about))
		want := chivehillbalance.Killed
		if tt.notRun {
			want = chivehillbalance.Shed
		}
		qt.Check(t, a.Result, qt.Equals, want, qt.Commentf("%s", tt.about))
	}
}

// TestBrokenHealthResponseCountsAsHealthy guards against a health check whose response breaks off.
func TestBrokenHealthResponseCountsAsHealthy(t *testing.T) {
	tests := []struct {
		about string
		text  string
		whole bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", true},
		{"part of a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfine", false},
		{"part of a body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n", false},
		{"part of a head", "HTTP/1.1 200 OK\r\n", false},
	}
	for _, tt := range tests {
		health, err := probe(t, tt.text)
		qt.Check(t, err == nil, qt.Equals, tt.whole, qt.Commentf("%s: %+v", tt.about, health))
	}
}

// TestResponseWithABrokenHeadCounts guards against a response whose status is none, or in whose
// head the name of a field is none.
func TestResponseWithABrokenHeadCounts(t *testing.T) {
	tests := []struct {
		about string
		text  string
	}{
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody"},
		{"status 000 without a length", "HTTP/1.1 000 Trouble\r\n\r\nbody"},
		{"status 000 behind an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody"},
		{"status 099", "HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n\r\nbody"},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{"status 101 with a protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"},
		{"space in a field name", "HTTP/1.1 200 OK\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"space behind the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more"},
		{"space in a field name of a refusal", "HTTP/1.1 503 Busy\r\nChivehill-Not-Run: true\r\nX Trouble: 1\r\nContent-Length: 0\r\n\r\n"},
		{"control byte in a field name", "HTTP/1.1 200 OK\r\nX\x01Trouble: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"tab in a field name", "HTTP/1.1 200 OK\r\nX\tTrouble: 1\r\nContent-Length: 4\r\n\r\nbody"},
	}
	for _, tt := range tests {
		a, _ := send(t, serve(t, func(c net.Conn) { _, _ = io.WriteString(c, tt.text) }))
		qt.Check(t, a.Response, qt.IsNil, qt.Commentf("%s", tt.about))
		qt.Check(t, a.ServerNotRun, qt.IsFalse, qt.Commentf("%s", tt.about))
		qt.Check(t, a.Sent, qt.IsTrue, qt.Commentf("%s", tt.about))
		qt.Check(t, a.Result, qt.Equals, chivehillbalance.Killed, qt.Commentf("%s", tt.about))
		health, err := probe(t, tt.text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("health check, %s: %+v", tt.about, health))
	}
}
