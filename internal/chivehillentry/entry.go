// Package chivehillentry handles requests from callers: it acquires a slot on a
// server, forwards the request, and reports whether the request ran, did not
// run or may have run.
package chivehillentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehilldispatch"
	"github.com/chivehill/chivehill/internal/chivehillheader"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillkey"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillslot"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehilltarget"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// requestIDBytes is the number of random bytes in a generated request ID.
	requestIDBytes = 8
	maxRequestID   = 64
	// maxBufferedBytes is the size up to which the response to an idempotent
	// request is buffered before it is sent to the caller; larger ones are streamed.
	maxBufferedBytes = 64 << 10
	// maxKeyedResponseBytes is the largest response body accepted for a
	// non-idempotent request.
	maxKeyedResponseBytes = 8 << 20
)

// Cluster gives an entry the configuration and the membership of the cluster.
type Cluster interface {
	// View returns the configuration in force, or nil.
	View() *chivehillconfig.View
	// MayServe reports whether the configuration in force is currently confirmed.
	MayServe() bool
	// Leaving reports whether this host is shutting down gracefully.
	Leaving() bool
	// Member returns the reachable member with the given incarnation, or the
	// successor that holds that incarnation's key table.
	Member(i chivehillid.Incarnation, host chivehillid.HostID) (chivehillwire.Member, bool)
	// Hosts returns the hosts that accept requests for a pool.
	Hosts(pool chivehillid.PoolID, regions chivehillregion.Set) []HostWeight
	// RegionOf returns the region of a failure domain.
	RegionOf(d chivehillid.DomainID) chivehillid.RegionID
	// TellSuspect reports to the members in the allowed regions how many server
	// connections a request has broken.
	TellSuspect(f chivehillid.Fingerprint, kills int, regions chivehillregion.Set)
}

// Options configures an Entry.
type Options struct {
	Self       chivehillwire.Member
	Limits     chivehillwire.Limits
	Clock      *chivehillclock.Clock
	Cluster    Cluster
	Slots      *chivehillslot.Manager
	Dispatcher *chivehilldispatch.Dispatcher
	Table      *chivehillkey.Table
	Adopted    *chivehillkey.Adopted
	Suspects   *chivehillsuspect.Table
	Metrics    *chivehillmetrics.Metrics
	Log        zerolog.Logger
}

// Entry is the HTTP handler for requests from callers.
type Entry struct {
	Options
	router      *httprouter.Router
	linkBudget  *chivehillbudget.Bucket
	hedgeBudget *chivehillbudget.Share
	retryBudget *chivehillbudget.Share
	hedgeDelays hedgeDelays
	// inFlight tracks attempts and non-idempotent requests, which can outlive the
	// caller's connection.
	inFlight conc.WaitGroup
}

// New returns an Entry with its routes and budgets set up.
func New(o Options) *Entry {
	const budgetBurst = 10
	e := &Entry{
		Options:     o,
		router:      httprouter.New(),
		linkBudget:  chivehillbudget.NewBucket(float64(o.Limits.LinkBytesPerSecond), float64(o.Limits.LinkBytesPerSecond)),
		hedgeBudget: chivehillbudget.NewShare(o.Limits.HedgePercent, budgetBurst),
		retryBudget: chivehillbudget.NewShare(o.Limits.RetryPercent, budgetBurst),
	}
	e.router.GET(HostsPath, e.serveHosts)
	e.router.RedirectTrailingSlash = false
	e.router.RedirectFixedPath = false
	e.router.HandleMethodNotAllowed = false
	e.router.NotFound = http.HandlerFunc(e.serve)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

// Wait blocks until all attempts and non-idempotent requests have ended.
func (e *Entry) Wait() {
	e.inFlight.Wait()
}

// call is the state of one request from a caller.
type call struct {
	id          string
	tenant      chivehillid.TenantID
	arrived     chivehillclock.Millis
	deadline    chivehillclock.Millis
	route       chivehillwire.RouteSpec
	regions     chivehillregion.Set
	request     chivehilldispatch.Request
	fingerprint chivehillid.Fingerprint
}

// serve resolves the route and the deadline of a request and handles it as
// idempotent or keyed.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{id: requestID(r), arrived: e.Clock.Now(), tenant: chivehillid.TenantID(r.Header.Get(chivehillheader.Tenant))}
	w.Header().Set(chivehillheader.RequestID, c.id)
	key, keyErr := e.key(r)
	outcome := outcomeBeforeClaim(keyErr)
	view := e.Cluster.View()
	if view == nil {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: outcome, Reason: chivehillreason.ConfigMissing})
		return
	}
	route, found := findRoute(view, r.RequestURI, c.tenant)
	if !found {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: outcome, Reason: chivehillreason.NoRoute})
		return
	}
	c.route = route
	c.regions = view.Regions(route.Route, c.tenant)
	if !c.regions.Allows(e.Self.Region) {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: outcome, Reason: chivehillreason.RegionForbidden})
		return
	}
	if !e.setDeadline(c, r) {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: outcome, Reason: chivehillreason.BadDeadline})
		return
	}
	if route.Idempotent {
		e.serveIdempotent(w, r, c)
		return
	}
	e.serveKeyed(w, r, c, key, keyErr)
}

// findRoute returns the route that a request target selects by its path as sent. The route
// counts as idempotent only if a server that normalizes the path finds an idempotent route as well.
func findRoute(v *chivehillconfig.View, target string, tenant chivehillid.TenantID) (chivehillwire.RouteSpec, bool) {
	sent := chivehilltarget.Path(target)
	route, found := v.Route(sent, tenant)
	route.Idempotent = chivehilltarget.HoldsForAllReadings(sent, func(path string) bool {
		other, found := v.Route(path, tenant)
		return found && other.Idempotent
	})
	return route, found
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(chivehillheader.RequestID); id != "" && len(id) <= maxRequestID {
		return id
	}
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// setDeadline sets the earlier of the route's and the caller's deadline. It
// returns false if the caller's deadline header is invalid.
func (e *Entry) setDeadline(c *call, r *http.Request) bool {
	timeout := c.route.DeadlineMs
	if text := r.Header.Get(chivehillheader.DeadlineMs); text != "" {
		requested, err := strconv.Atoi(text)
		if err != nil || requested < 1 {
			return false
		}
		timeout = min(timeout, chivehillclock.Millis(requested))
	}
	c.deadline = c.arrived + timeout
	return true
}

// readRequest reads the body, up to MaxBodyBytes, builds the request to forward
// and computes its fingerprint. It returns a reason if the body cannot be used.
func (e *Entry) readRequest(r *http.Request, c *call, maxBuffered int64) (chivehillreason.Reason, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(e.Limits.MaxBodyBytes)+1))
	if err != nil {
		return chivehillreason.BodyUnreadable, false
	}
	if len(body) > int(e.Limits.MaxBodyBytes) {
		return chivehillreason.BodyTooLarge, false
	}
	c.request = chivehilldispatch.Request{
		Method: r.Method, Target: r.URL.RequestURI(), Header: r.Header, Body: body, BufferBytes: maxBuffered, Regions: c.regions,
	}
	c.request.Header.Set(chivehillheader.RequestID, c.id)
	h := xxhash.New()
	for _, part := range []string{string(c.route.Route), string(c.tenant), r.Method, r.URL.RequestURI()} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	c.fingerprint = chivehillid.Fingerprint(h.Sum64())
	return "", true
}

// callContext returns a context that is cancelled at the given clock time.
func (e *Entry) callContext(ctx context.Context, until chivehillclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (until - e.Clock.Now()).Duration())
}

// refusalBody is the JSON body of a refusal response.
type refusalBody struct {
	Outcome   chivehillreason.Outcome `json:"outcome"`
	Reason    chivehillreason.Reason  `json:"reason"`
	RequestID string                  `json:"request-id"`
}

// refuse writes a refusal, the response to a request without a server's result.
func (e *Entry) refuse(w http.ResponseWriter, c *call, r chivehillreason.Refusal) {
	e.Metrics.Refuse(r)
	e.Metrics.Requests.WithLabelValues(string(c.route.Route), string(r.Outcome)).Inc()
	h := w.Header()
	h.Set(chivehillheader.Outcome, string(r.Outcome))
	h.Set(chivehillheader.Reason, string(r.Reason))
	h.Set("Content-Type", "application/json")
	if e.Cluster.Leaving() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(chivehillreason.Status(r.Outcome, r.Reason))
	_ = json.NewEncoder(w).Encode(refusalBody{Outcome: r.Outcome, Reason: r.Reason, RequestID: c.id})
}

// writeResponse writes a server's response to the caller. If the body ends early,
// it aborts the caller's connection, so that a truncated body is not taken for a
// complete one.
func (e *Entry) writeResponse(w http.ResponseWriter, c *call, resp *chivehilldispatch.Response) {
	e.Metrics.Requests.WithLabelValues(string(c.route.Route), string(chivehillreason.Done)).Inc()
	h := w.Header()
	chivehillheader.CopyEndToEnd(h, resp.Header)
	h.Set(chivehillheader.Outcome, string(chivehillreason.Done))
	h.Set(chivehillheader.RequestID, c.id)
	if e.Cluster.Leaving() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(resp.Status)
	_, err := w.Write(resp.Body)
	if resp.Rest == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, resp.Rest)
	}
	_ = resp.Rest.Close()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
