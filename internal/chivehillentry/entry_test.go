package chivehillentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehilldispatch"
	"github.com/chivehill/chivehill/internal/chivehillheader"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillkey"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillslot"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// fakeCluster is a cluster of one host with a fixed configuration.
type fakeCluster struct {
	view     *chivehillconfig.View
	mayServe bool
}

func (f *fakeCluster) View() *chivehillconfig.View { return f.view }

func (f *fakeCluster) MayServe() bool { return f.mayServe }

func (f *fakeCluster) Leaving() bool { return false }

func (f *fakeCluster) Member(chivehillid.Incarnation, chivehillid.HostID) (chivehillwire.Member, bool) {
	return chivehillwire.Member{}, false
}

func (f *fakeCluster) Hosts(chivehillid.PoolID, chivehillregion.Set) []HostWeight { return nil }

func (f *fakeCluster) RegionOf(chivehillid.DomainID) chivehillid.RegionID { return "east" }

func (f *fakeCluster) TellSuspect(chivehillid.Fingerprint, int, chivehillregion.Set) {}

// harness runs an Entry in front of real HTTP servers.
type harness struct {
	c       *qt.C
	entry   *Entry
	cluster *fakeCluster
	table   *chivehillkey.Table
	clock   *chivehillclock.Clock
	// runs counts the requests that each server received.
	runs    []*atomic.Int32
	servers []*httptest.Server
	url     string
}

func (h *harness) closeServers() {
	for _, s := range h.servers {
		s.Close()
	}
}

// newHarness starts an Entry and one warm, healthy server for each handler.
func newHarness(t testing.TB, limits chivehillwire.Limits, handlers ...http.HandlerFunc) *harness {
	h := &harness{c: qt.New(t), clock: chivehillclock.New(), cluster: &fakeCluster{mayServe: true}}
	pool := chivehillwire.PoolSpec{Pool: "pool"}
	var owned []chivehillbalance.Owned
	for i, handle := range handlers {
		runs := &atomic.Int32{}
		h.runs = append(h.runs, runs)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			handle(w, r)
		}))
		h.servers = append(h.servers, server)
		h.c.Cleanup(server.Close)
		id := chivehillid.ServerID(fmt.Sprintf("s%d", i))
		pool.Servers = append(pool.Servers, chivehillwire.ServerSpec{Server: id, Address: strings.TrimPrefix(server.URL, "http://"), FailureDomain: "east-a", Slots: 4})
		owned = append(owned, chivehillbalance.Owned{Server: id, Slots: 4, KnownLimit: 4})
	}
	h.cluster.view = chivehillconfig.NewView(chivehillwire.Configuration{
		Version: 1, Pools: []chivehillwire.PoolEntry{{Spec: pool}},
		Routes: []chivehillwire.RouteEntry{
			{Spec: chivehillwire.RouteSpec{Route: "read", PathPrefix: "/read", Pool: "pool", Idempotent: true, DeadlineMs: 2000}},
			{Spec: chivehillwire.RouteSpec{Route: "write", PathPrefix: "/write", Pool: "pool", DeadlineMs: 2000}},
			{Spec: chivehillwire.RouteSpec{Route: "quote", PathPrefix: "/write/quote", Pool: "pool", Idempotent: true, DeadlineMs: 2000}},
			{Spec: chivehillwire.RouteSpec{Route: "empty", PathPrefix: "/empty", Pool: "none", Idempotent: true, DeadlineMs: 2000}},
		},
	})
	slots := chivehillslot.New(h.clock, chivehillslot.Hooks{
		Send:     func(chivehillid.HostID, chivehillwire.PoolMessages) {},
		Released: func(chivehillid.PoolID, chivehillbalance.Released) {},
	})
	slots.Ensure([]chivehillbalance.Config{{Self: "host", Region: "east", Pool: "pool", GrantValid: 1000}})
	slots.Handle("pool", chivehillbalance.SetOwned{Servers: owned})
	slots.Handle("pool", chivehillbalance.Confirm{Until: chivehillclock.Minute})
	for _, o := range owned {
		slots.Handle("pool", chivehillbalance.Probed{Server: o.Server, Healthy: true})
	}
	limits.MaxBodyBytes = 1000
	h.table = chivehillkey.NewTable("host", "run", chivehillkey.Limits{
		MaxKeys: 100, KeptBytes: 1 << 20, Window: chivehillclock.Minute, Keep: chivehillclock.Minute,
	}, h.clock.Now())
	h.entry = New(Options{
		Self: chivehillwire.Member{Host: "host", Region: "east"}, Limits: limits, Clock: h.clock, Cluster: h.cluster, Slots: slots,
		Dispatcher: chivehilldispatch.New(h.clock, func(string) {}), Table: h.table, Adopted: chivehillkey.NewAdopted(),
		Suspects: chivehillsuspect.New(), Metrics: chivehillmetrics.New(), Log: zerolog.Nop(),
	})
	server := httptest.NewServer(h.entry)
	h.c.Cleanup(server.Close)
	h.url = server.URL
	return h
}

// response is what a caller received.
type response struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
}

// get sends a GET request, with a key header unless key is empty.
func (h *harness) get(path, key string) response {
	req, err := http.NewRequest(http.MethodGet, h.url+path, nil)
	h.c.Assert(err, qt.IsNil)
	if key != "" {
		req.Header.Set(chivehillheader.Key, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, outcome: resp.Header.Get(chivehillheader.Outcome), reason: resp.Header.Get(chivehillheader.Reason),
		body: string(body), err: err,
	}
}

func (h *harness) totalRuns() int {
	sum := 0
	for _, r := range h.runs {
		sum += int(r.Load())
	}
	return sum
}

var testLimits = chivehillwire.Limits{HedgePercent: 5, RetryPercent: 10, LinkBytesPerSecond: 1000}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(chivehillheader.NotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func truncateBody(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(2*size))
		_, _ = w.Write(make([]byte, size))
		panic(http.ErrAbortHandler)
	}
}

// sendRaw sends bytes in place of a response.
func sendRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}
}

func TestOutcomes(t *testing.T) {
	const small, large = 100, 1 << 20
	noStatus := sendRaw("HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody")
	noName := sendRaw("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more")
	cutRefusal := sendRaw("HTTP/1.1 503 Busy\r\n" + chivehillheader.NotRun + ": true\r\nContent-Length: 5\r\n\r\nbusy")
	tests := []struct {
		name    string
		servers []http.HandlerFunc
		write   bool
		outcome string
		reason  string
		// runs is the number of requests that all servers received.
		runs int
		// truncated is set if the response body must end early.
		truncated bool
	}{
		{name: "answered", servers: []http.HandlerFunc{respondOK}, outcome: "done", runs: 1},
		{name: "keyed, answered", servers: []http.HandlerFunc{respondOK}, write: true, outcome: "done", runs: 1},
		{name: "all servers refuse", servers: []http.HandlerFunc{refuseNotRun, refuseNotRun}, outcome: "not-run", reason: "server-refused", runs: 2},
		{name: "keyed, all servers refuse", servers: []http.HandlerFunc{refuseNotRun, refuseNotRun}, write: true, outcome: "not-run", reason: "server-refused", runs: 2},
		{name: "connections break until the request is suspect", servers: []http.HandlerFunc{abortConnection, abortConnection, abortConnection}, outcome: "unknown", reason: "server-broke", runs: 2},
		{name: "keyed, broken connection is not retried", servers: []http.HandlerFunc{abortConnection, abortConnection, abortConnection}, write: true, outcome: "unknown", reason: "server-broke", runs: 1},
		{name: "truncated buffered response is retried", servers: []http.HandlerFunc{truncateBody(small), truncateBody(small)}, outcome: "unknown", reason: "server-broke", runs: 2},
		{name: "keyed, truncated response is not retried", servers: []http.HandlerFunc{truncateBody(small)}, write: true, outcome: "unknown", reason: "server-broke", runs: 1},
		{name: "responses of status 000", servers: []http.HandlerFunc{noStatus, noStatus}, outcome: "unknown", reason: "server-broke", runs: 2},
		{name: "keyed, response of status 000 is not retried", servers: []http.HandlerFunc{noStatus, noStatus}, write: true, outcome: "unknown", reason: "server-broke", runs: 1},
		{name: "responses with a space in a field name", servers: []http.HandlerFunc{noName, noName}, outcome: "unknown", reason: "server-broke", runs: 2},
		{name: "keyed, response with a space in a field name is not retried", servers: []http.HandlerFunc{noName, noName}, write: true, outcome: "unknown", reason: "server-broke", runs: 1},
		{name: "keyed, refusal that is cut off is not retried", servers: []http.HandlerFunc{cutRefusal, cutRefusal}, write: true, outcome: "unknown", reason: "server-broke", runs: 1},
		{name: "truncated streamed response aborts the connection", servers: []http.HandlerFunc{truncateBody(large)}, outcome: "done", runs: 1, truncated: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, testLimits, tt.servers...)
			path, key := "/read", ""
			if tt.write {
				path, key = "/write", h.table.Prefix(h.clock.Now())+"k"
			}
			a := h.get(path, key)
			h.c.Check(a.outcome, qt.Equals, tt.outcome)
			h.c.Check(a.reason, qt.Equals, tt.reason)
			h.c.Check(a.err != nil, qt.Equals, tt.truncated, qt.Commentf("%v", a.err))
			h.c.Check(h.totalRuns(), qt.Equals, tt.runs)
			if tt.outcome == "done" && !tt.truncated {
				h.c.Check(a.body, qt.Equals, "whole")
			}
		})
	}
}

func TestRequestRefusedBeforeDispatch(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		change  func(*harness)
		outcome string
		reason  string
	}{
		{"no configuration", "/read", func(h *harness) { h.cluster.view = nil }, "not-run", "config-missing"},
		{"configuration unconfirmed", "/read", func(h *harness) { h.cluster.mayServe = false }, "not-run", "config-unconfirmed"},
		{"pool unknown", "/empty", func(*harness) {}, "not-run", "no-server"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, testLimits, respondOK)
			tt.change(h)
			a := h.get(tt.path, "")
			h.c.Check(a.outcome, qt.Equals, tt.outcome)
			h.c.Check(a.reason, qt.Equals, tt.reason)
			h.c.Check(h.totalRuns(), qt.Equals, 0)
		})
	}
}

// TestResendsShareOneRun sends one key several times during its run and once
// after it. All must get the response of a single run, and the same key with
// another path must be refused.
func TestResendsShareOneRun(t *testing.T) {
	release := make(chan struct{})
	h := newHarness(t, testLimits, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondOK(w, r)
	})
	key := h.table.Prefix(h.clock.Now()) + "k"
	responses := make([]response, 8)
	var all sync.WaitGroup
	for i := range responses {
		all.Go(func() { responses[i] = h.get("/write", key) })
	}
	for h.totalRuns() == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	all.Wait()
	for _, a := range append(responses, h.get("/write", key)) {
		h.c.Check(a.outcome, qt.Equals, "done")
		h.c.Check(a.body, qt.Equals, "whole")
	}
	h.c.Check(h.totalRuns(), qt.Equals, 1)
	h.c.Check(h.get("/write/other", key).reason, qt.Equals, "key-mismatch")
}

// TestDisconnectCancelsOnlyIdempotentRequests closes the caller's connection. A
// non-idempotent request must run on, so that a resend gets its response.
func TestDisconnectCancelsOnlyIdempotentRequests(t *testing.T) {
	tests := []struct {
		path      string
		cancelled bool
	}{
		{"/read", true},
		{"/write", false},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan bool, 1)
			release := make(chan struct{})
			h := newHarness(t, testLimits, func(w http.ResponseWriter, r *http.Request) {
				close(started)
				select {
				case <-r.Context().Done():
					ended <- true
				case <-release:
					ended <- false
					respondOK(w, r)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+tt.path, nil)
			h.c.Assert(err, qt.IsNil)
			key := h.table.Prefix(h.clock.Now()) + "k"
			req.Header.Set(chivehillheader.Key, key)
			go func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
			<-started
			cancel()
			if !tt.cancelled {
				close(release)
			}
			h.c.Check(<-ended, qt.Equals, tt.cancelled)
			if !tt.cancelled {
				h.c.Check(h.get(tt.path, key).body, qt.Equals, "whole")
			}
		})
	}
}

// TestHedgeResponseWins lets the first request hang. The hedge's response must be
// returned and counted as won.
func TestHedgeResponseWins(t *testing.T) {
	var first atomic.Bool
	hang := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			<-r.Context().Done()
			return
		}
		respondOK(w, r)
	}
	h := newHarness(t, testLimits, hang, hang)
	a := h.get("/read", "")
	h.c.Check(a.body, qt.Equals, "whole")
	h.c.Check(h.totalRuns(), qt.Equals, 2)
	h.c.Check(testutil.ToFloat64(h.entry.Metrics.Hedges.WithLabelValues("won")), qt.Equals, 1.0)
}

// TestSuspectRequestIsRefused resends a request that has broken two server
// connections. It must reach no further server.
func TestSuspectRequestIsRefused(t *testing.T) {
	h := newHarness(t, testLimits, abortConnection, abortConnection, abortConnection)
	h.c.Check(h.get("/read", "").reason, qt.Equals, "server-broke")
	a := h.get("/read", "")
	h.c.Check(a.outcome, qt.Equals, "not-run")
	h.c.Check(a.reason, qt.Equals, "suspect")
	h.c.Check(h.totalRuns(), qt.Equals, 2)
}

func BenchmarkIdempotent(b *testing.B) {
	h := newHarness(b, testLimits, respondOK, respondOK)
	req := httptest.NewRequest(http.MethodGet, "/read", nil)
	b.ReportAllocs()
	for b.Loop() {
		h.entry.ServeHTTP(httptest.NewRecorder(), req.Clone(context.Background()))
	}
}

func BenchmarkAcquire(b *testing.B) {
	h := newHarness(b, testLimits, respondOK, respondOK)
	r := chivehillbalance.Request{Deadline: chivehillclock.Minute, WaitUntil: chivehillclock.Minute, Regions: chivehillregion.Everywhere()}
	b.ReportAllocs()
	for b.Loop() {
		slot, err := h.entry.Slots.Acquire(context.Background(), "pool", r)
		if err != nil {
			b.Fatal(err)
		}
		slot.Release(chivehillbalance.Good, 1, false)
	}
}

// TestRefusalReasons covers unreachable servers, an oversized response, a stopped
// key table and a missed deadline.
func TestRefusalReasons(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxKeyedResponseBytes+1)) }
	tests := []struct {
		name    string
		path    string
		server  http.HandlerFunc
		change  func(*harness)
		outcome string
		reason  string
	}{
		{"servers unreachable", "/read", respondOK, func(h *harness) { h.closeServers() }, "not-run", "server-unreachable"},
		{"keyed, servers unreachable", "/write", respondOK, func(h *harness) { h.closeServers() }, "not-run", "server-unreachable"},
		{"keyed response too large", "/write", large, func(*harness) {}, "done", "answer-too-large"},
		{"stopping", "/write", respondOK, func(h *harness) { h.table.Stop() }, "not-run", "stopping"},
		{"no response before the deadline", "/read", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, func(*harness) {}, "unknown", "server-silent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, testLimits, tt.server)
			tt.change(h)
			a := h.get(tt.path, h.table.Prefix(h.clock.Now())+"k")
			h.c.Check(a.outcome, qt.Equals, tt.outcome)
			h.c.Check(a.reason, qt.Equals, tt.reason)
		})
	}
}

// TestRouteIsSelectedByTheDecodedPath guards against a request that needs a key, but is routed by
// its decoded path to an idempotent route and so is sent without one.
func TestRouteIsSelectedByTheDecodedPath(t *testing.T) {
	tests := []struct {
		path   string
		reason string
	}{
		{"/write/quote/1", ""},
		{"/write/quote/%20", ""},
		{"/write/quote%2F1", "key-missing"},
		{"/write/%71uote/1", "key-missing"},
		{"/write/quote/../1", "key-missing"},
		{"/write/quote/%2e%2e/1", "key-missing"},
	}
	for _, tt := range tests {
		h := newHarness(t, testLimits, respondOK)
		h.c.Check(h.get(tt.path, "").reason, qt.Equals, tt.reason, qt.Commentf("%s", tt.path))
		runs := 0
		if tt.reason == "" {
			runs = 1
		}
		h.c.Check(h.totalRuns(), qt.Equals, runs, qt.Commentf("%s", tt.path))
	}
}

// TestTruncatedRequestBodyConsumesKey closes the connection within the request
// body. No server must get the request, and the key must stay claimed.
func TestTruncatedRequestBodyConsumesKey(t *testing.T) {
	h := newHarness(t, testLimits, respondOK)
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	h.c.Assert(err, qt.IsNil)
	key := h.table.Prefix(h.clock.Now()) + "k"
	_, err = fmt.Fprintf(conn, "POST /write HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", chivehillheader.Key, key)
	h.c.Assert(err, qt.IsNil)
	_ = conn.Close()
	// The caller has disconnected too, so either reason may be counted.
	unreadable := h.entry.Metrics.Refusals.WithLabelValues("body-unreadable", "not-run")
	gone := h.entry.Metrics.Refusals.WithLabelValues("caller-gone", "unknown")
	for range 10_000 {
		if testutil.ToFloat64(unreadable)+testutil.ToFloat64(gone) > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	h.c.Assert(testutil.ToFloat64(unreadable)+testutil.ToFloat64(gone), qt.Equals, 1.0)
	h.c.Check(h.totalRuns(), qt.Equals, 0)
	h.c.Check(h.get("/write", key).reason, qt.Equals, "key-mismatch")
}
