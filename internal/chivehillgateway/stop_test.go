package chivehillgateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// newRequest returns a request on the route of a scenario.
func newRequest(g *Gateway) *chivehillfront.Request {
	return &chivehillfront.Request{Method: "GET", URI: "/r/x", Path: "/r/x", Host: "h", Header: http.Header{"Id": {"a"}}, Arrived: g.Clock.Now()}
}

// TestRequestIsSentThoughTheHostStopsBeforeItsDeadline guards against a request that is cut off
// while a server runs it, because its host stopped.
func TestRequestIsSentThoughTheHostStopsBeforeItsDeadline(t *testing.T) {
	tests := []struct {
		about         string
		nonIdempotent bool
		// stopAt is relative to the deadline of the request.
		stopAt chivehillclock.Millis
		status int
		sends  int
	}{
		{"idempotent, stop after the deadline", false, 1, 200, 1},
		{"idempotent, stop before the deadline", false, -1, 503, 0},
		{"not idempotent, stop after the deadline", true, 1, 200, 1},
		{"not idempotent, stop before the deadline", true, -1, 503, 0},
	}
	for _, tt := range tests {
		sends := make(chan struct{}, 9)
		server := func(s *scriptedServer, c net.Conn) {
			sends <- struct{}{}
			signed(s, c)
		}
		g := scenario{nonIdempotent: tt.nonIdempotent, servers: handlers{server}}.gateway(t)
		r := newRequest(g)
		g.StopAt(r.Arrived + testTimeout + tt.stopAt)
		response := g.Serve(t.Context(), r)
		qt.Check(t, response.Status, qt.Equals, tt.status, qt.Commentf("%s", tt.about))
		qt.Check(t, sends, qt.HasLen, tt.sends, qt.Commentf("%s", tt.about))
	}
}

// TestWaitingRequestIsHeldThoughTheHostStops guards against a request that keeps waiting for
// capacity, or is then sent, after its host began to stop.
func TestWaitingRequestIsHeldThoughTheHostStops(t *testing.T) {
	g := scenario{}.gateway(t)
	const stopDelay = 100 * time.Millisecond
	time.AfterFunc(stopDelay, func() { g.StopAt(g.Clock.Now()) })
	started := time.Now()
	response := g.Serve(t.Context(), newRequest(g))
	qt.Check(t, response.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, testutil.ToFloat64(g.Metrics.Refusals.WithLabelValues(string(chivehillreason.Stopping), string(chivehillreason.NotRun))), qt.Equals, 1.0)
	qt.Check(t, time.Since(started) < testObjective.Duration()/2, qt.IsTrue, qt.Commentf("refused after %v", time.Since(started)))
}

// TestRequestIsRetriedThoughTheHostStops guards against a retry that is cut off at the end of
// the stop grace. The host begins to stop while the first server handles the request.
func TestRequestIsRetriedThoughTheHostStops(t *testing.T) {
	tests := []struct {
		about         string
		nonIdempotent bool
		first         func(*scriptedServer, net.Conn)
		status        int
	}{
		{"server refuses", true, refused, 503},
		{"server breaks", false, closeConnection, 502},
	}
	for _, tt := range tests {
		sends := make(chan struct{}, 9)
		var stopping atomic.Pointer[Gateway]
		server := func(s *scriptedServer, c net.Conn) {
			sends <- struct{}{}
			stopping.Load().StopAt(0)
			tt.first(s, c)
		}
		g := scenario{nonIdempotent: tt.nonIdempotent, servers: handlers{server, server}}.gateway(t)
		stopping.Store(g)
		response := g.Serve(t.Context(), newRequest(g))
		qt.Check(t, response.Status, qt.Equals, tt.status, qt.Commentf("%s", tt.about))
		qt.Check(t, sends, qt.HasLen, 1, qt.Commentf("%s", tt.about))
	}
}
