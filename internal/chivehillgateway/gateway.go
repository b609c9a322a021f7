// Package chivehillgateway forwards requests from callers to servers. It looks up
// the route, probes servers right before it selects one, forwards the request,
// and retries only where that is safe and within the retry budget.
package chivehillgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillselector"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// HeaderCodec reads and writes the request headers of a platform.
type HeaderCodec interface {
	chivehillupstream.HeaderParser
	// RequestID returns the request identifier that the caller set.
	RequestID(h http.Header) chivehillid.RequestID
	// Timeout returns the timeout that the caller set, or false if it set none.
	Timeout(h http.Header) (chivehillclock.Millis, bool)
	// SetTarget sets the remaining time and the server that the request is meant for.
	SetTarget(h http.Header, left chivehillclock.Millis, server chivehillid.ServerID)
	// SetWorkspace sets the workspace on behalf of which a request is sent, or none if w is
	// empty. It removes what the caller stated.
	SetWorkspace(h http.Header, w chivehillid.WorkspaceID)
}

// CatalogSource gives access to the local copy of the catalog and to its freshness.
type CatalogSource interface {
	View() chivehillcatalog.View
	// ConfigurationCurrent reports whether the configuration was recently confirmed to be current.
	ConfigurationCurrent() bool
}

// Options configures a Gateway.
type Options struct {
	Catalog CatalogSource
	Table   *chivehillselector.Table
	Pools   *Pools
	Budget  *RetryBudget
	// Suspects records the requests after which a server went down.
	Suspects *chivehillsuspect.Table
	// Self is the identifier under which this host records kills in Suspects.
	Self chivehillid.HostID
	// Informed reports whether this host knows what its peers know, Suspects among it. It may be
	// nil.
	Informed func() bool
	// OnKill is called when this host has recorded one more kill; kills is the
	// number that this host has recorded for the fingerprint.
	OnKill func(f chivehillid.Fingerprint, kills int)
	// OnLeaving is called when a server's response was the first to say that it leaves.
	OnLeaving func(chivehillcatalog.Instance)
	// OnAnswer is called with each answer of a server that counts in the comparison of two
	// versions. It is nil in deployments without roll-outs.
	OnAnswer func(Answer)
	// Quota is nil if no quota is applied.
	Quota   Quota
	Headers HeaderCodec
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Gateway
	Log     zerolog.Logger
}

// Gateway handles requests from callers. It is safe for concurrent use.
type Gateway struct {
	Options

	// serviceTimes tracks the typical service time of each route.
	serviceTimes *chivehillselector.ServiceTimes
	queues       queues
	// starvedLines bounds the log lines about starved workspaces.
	starvedLines *chivehillbudget.Bucket
	// stopAt is when this host cuts off open requests, nil while it does not stop.
	stopAt atomic.Pointer[chivehillclock.Millis]
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		Options: o, serviceTimes: chivehillselector.NewServiceTimes(),
		starvedLines: chivehillbudget.NewBucket(starvedLinesPerSecond, starvedLinesPerSecond),
	}
}

// starvedLinesPerSecond bounds the log lines about starved workspaces: one shows the cause,
// and each refused request has a line of its own.
const starvedLinesPerSecond = 1

const (
	// defaultTimeout is the timeout of a request whose caller set none.
	defaultTimeout = 30 * chivehillclock.Second
	// minTimeLeft is the minimum remaining time with which a request is still sent.
	minTimeLeft = 3 * chivehillclock.Millisecond
)

// call is the state of one request while the gateway handles it.
type call struct {
	request *chivehillfront.Request
	id      chivehillid.RequestID
	route   chivehillcatalog.Route
	service chivehillcatalog.Service
	version chivehillid.Version
	caller  caller
	// deadline is when the shorter of the caller's and the route's timeout ends.
	deadline chivehillclock.Millis
	// tried holds the servers that are excluded from further attempts.
	tried []chivehillid.ServerID
	// attempts is the number of sends that may have reached a server.
	attempts int
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// probes is the number of probes sent for the request.
	probes int
	// sentAt is the time of the most recent send.
	sentAt chivehillclock.Millis
	// fingerprint identifies the request by the parts that a server sees.
	fingerprint chivehillid.Fingerprint
	// serviceTime is the expected service time at an idle server.
	serviceTime chivehillclock.Millis
	// triedVersion is set once the request was considered for a version under trial.
	triedVersion bool
}

// requirements returns the constraints on the server that runs the request.
func (c *call) requirements() chivehillselector.Requirements {
	return chivehillselector.Requirements{Service: c.service.ID, Regions: c.route.Regions, Exclude: slices.Clone(c.tried)}
}

// Idempotent implements chivehillfront.Handler.
func (g *Gateway) Idempotent(r *chivehillfront.Request) bool {
	view := g.Catalog.View()
	if view.Configuration.Version == 0 {
		// The request may have to wait for its route.
		return false
	}
	route, found := findRoute(view, r)
	return !found || route.Idempotent
}

// Serve implements chivehillfront.Handler.
func (g *Gateway) Serve(ctx context.Context, r *chivehillfront.Request) chivehillfront.Response {
	view := g.awaitLoaded(ctx, r)
	c := &call{request: r, id: g.Headers.RequestID(r.Header), version: view.Configuration.Version}
	route, found := findRoute(view, r)
	if !found {
		return g.refuse(c, g.ifConfirmed(view, chivehillreason.NoRoute), 0)
	}
	c.route = route
	if reason, ok := g.identify(c, view); !ok {
		return g.refuse(c, reason, 0)
	}
	if retryAfter, ok := g.withinQuota(ctx, c); !ok {
		return g.refuse(c, chivehillreason.QuotaExceeded, retryAfter)
	}
	target := pickTarget(route, rand.Float64())
	c.service = view.Configuration.Services[target]
	c.deadline, c.fingerprint = g.deadline(r, route), fingerprint(r)
	c.serviceTime = g.serviceTimes.Typical(route.ID, serviceTimeBound(route))
	g.Budget.Deposit(target, c.caller.workspace.ID)
	response := g.run(ctx, c)
	g.Metrics.Seconds.WithLabelValues(string(route.ID)).Observe(float64((g.Clock.Now() - r.Arrived) / chivehillclock.Second))
	return response
}

// ifConfirmed returns the reason of a refusal that another configuration may not call for. It
// is replaced if this host has no configuration or cannot tell whether its own is current.
func (g *Gateway) ifConfirmed(v chivehillcatalog.View, reason chivehillreason.Reason) chivehillreason.Reason {
	switch {
	case v.Configuration.Version == 0:
		return chivehillreason.ConfigMissing
	case !g.Catalog.ConfigurationCurrent():
		return chivehillreason.ConfigUnconfirmed
	}
	return reason
}

// deadline returns when the shorter of the caller's and the route's timeout ends.
func (g *Gateway) deadline(r *chivehillfront.Request, route chivehillcatalog.Route) chivehillclock.Millis {
	timeout := g.timeout(r)
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return r.Arrived + timeout
}

// timeout returns how long the caller waits.
func (g *Gateway) timeout(r *chivehillfront.Request) chivehillclock.Millis {
	if timeout, ok := g.Headers.Timeout(r.Header); ok {
		return timeout
	}
	return defaultTimeout
}

// serviceTimeBound returns the upper bound of a route's typical service time: the
// smaller of its objective and its timeout.
func serviceTimeBound(route chivehillcatalog.Route) chivehillclock.Millis {
	switch {
	case route.Objective <= 0:
		return route.Timeout
	case route.Timeout <= 0:
		return route.Objective
	}
	return min(route.Objective, route.Timeout)
}

// pickTarget selects a service in proportion to its weight; at is a point from 0 to 1.
func pickTarget(route chivehillcatalog.Route, at float64) chivehillid.ServiceID {
	sum := 0.0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	at *= sum
	for _, t := range route.Targets {
		at -= t.Weight
		if at < 0 {
			return t.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}

// refuse returns the response to a request for which no server gave a response that
// can be returned. If the request did not run and the status is 503 or 429, the Retry-After
// header is at least retryAfter, with jitter up to twice that time.
func (g *Gateway) refuse(c *call, reason chivehillreason.Reason, retryAfter chivehillclock.Millis) chivehillfront.Response {
	retryAfter = max(retryAfter, minRetryAfter)
	return g.refuseUntil(c, reason, retryAfter, retryAfter)
}

// quietSpread is the time over which callers come back to servers that asked for quiet.
const quietSpread = chivehillclock.Second

// refuseForCapacity refuses a request that found no server or none that took it. If all
// servers have asked for quiet, callers come back when the first of them is open again.
func (g *Gateway) refuseForCapacity(c *call, reason chivehillreason.Reason, retryAfter chivehillclock.Millis) chivehillfront.Response {
	if end, allQuiet := g.Table.QuietEnd(c.requirements()); allQuiet && !c.mayHaveRun {
		return g.refuseUntil(c, chivehillreason.ServersQuiet, end-g.Clock.Now(), quietSpread)
	}
	return g.refuse(c, reason, retryAfter)
}

// refuseUntil logs and counts a refusal. The Retry-After header, if any, is between
// retryAfter and that plus spread.
func (g *Gateway) refuseUntil(c *call, reason chivehillreason.Reason, retryAfter, spread chivehillclock.Millis) chivehillfront.Response {
	outcome := chivehillreason.NotRun
	if c.mayHaveRun {
		outcome = chivehillreason.Unknown
	}
	refusal := chivehillreason.Refusal{Outcome: outcome, Reason: reason}
	g.countRefusal(c.caller.workspace.ID, refusal)
	response := chivehillfront.Response{Status: chivehillreason.Status(outcome, reason), Header: http.Header{}}
	switch {
	case response.Status == http.StatusUnauthorized:
		response.Header.Set("WWW-Authenticate", "Bearer")
	case outcome == chivehillreason.NotRun && (response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests):
		seconds := float64((retryAfter + spread*chivehillclock.Millis(rand.Float64())) / chivehillclock.Second)
		response.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	named(g.Log.Info(), c).Uint64("version", uint64(c.version)).
		Str("reason", string(reason)).Str("outcome", string(outcome)).Int("status", response.Status).
		Str("retry-after", response.Header.Get("Retry-After")).Int("attempts", c.attempts).Int("asked", c.probes).
		Float64("age-ms", float64(g.Clock.Now()-c.request.Arrived)).Msg("gateway: refused.")
	return response
}

// named adds to a log line the names that identify a request and its caller.
func named(e *zerolog.Event, c *call) *zerolog.Event {
	e = e.Str("request", string(c.id)).Str("route", string(c.route.ID))
	if w := c.caller.workspace.ID; w != "" {
		e = e.Str("workspace", string(w))
	}
	return e
}

// minRetryAfter is the smallest value on which a Retry-After header is based.
const minRetryAfter = 50 * chivehillclock.Millisecond
