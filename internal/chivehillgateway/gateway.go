// Package chivehillgateway carries the requests of callers to servers: it finds
// the route, asks servers right before it chooses one, sends, and sends again
// only where that is safe and within the budget.
package chivehillgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillplace"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// Dialect reads and writes the headers of requests.
type Dialect interface {
	chivehillupstream.Dialect
	// RequestID returns the identifier that the caller gave to a request.
	RequestID(h http.Header) chivehillid.RequestID
	// Wait returns how long the caller waits, false if it does not say so.
	Wait(h http.Header) (chivehillclock.Millis, bool)
	// Address sets the time left and the server for which a request is meant.
	Address(h http.Header, left chivehillclock.Millis, server chivehillid.ServerID)
}

// Beliefs are what the host believes and how sure it may be.
type Beliefs interface {
	View() chivehillcatalog.View
	// Confirmed reports whether the configuration was confirmed lately.
	Confirmed() bool
}

// Options of a gateway.
type Options struct {
	Beliefs Beliefs
	Table   *chivehillplace.Table
	Servers *Servers
	Budget  *RetryBudget
	// Suspects are the requests after which servers were down.
	Suspects *chivehillsuspect.Table
	// Self names this host to Suspects.
	Self chivehillid.HostID
	// Suspected is called when this host has seen one more server go down.
	Suspected func(f chivehillid.Fingerprint, kills int)
	Dialect   Dialect
	Clock     *chivehillclock.Clock
	Metrics   *chivehillmetrics.Gateway
	Log       zerolog.Logger
}

// Gateway answers the requests of callers. It is safe for concurrent use.
type Gateway struct {
	Options

	work   *chivehillplace.Work
	queues queues
}

// New returns a gateway.
func New(o Options) *Gateway { return &Gateway{Options: o, work: chivehillplace.NewWork()} }

const (
	// defaultWait is how long a caller waits that does not say so.
	defaultWait = 30 * chivehillclock.Second
	// fewestMillis is the least time left for which a request is still sent.
	fewestMillis = 3 * chivehillclock.Millisecond
)

// call is one request on its way.
type call struct {
	request *chivehillfront.Request
	id      chivehillid.RequestID
	route   chivehillcatalog.Route
	service chivehillcatalog.Service
	version chivehillid.Version
	// deadline is when the caller or the route gives up.
	deadline chivehillclock.Millis
	used     []chivehillid.ServerID
	// attempts is the number of sends that may have reached a server.
	attempts int
	// sent is set once a server may have run the request.
	sent bool
	// asked is the number of health checks made.
	asked int
	// sentAt is when the request was sent last.
	sentAt chivehillclock.Millis
	// fingerprint tells the request apart by what servers see of it.
	fingerprint chivehillid.Fingerprint
	// work is how long the work takes at an idle server.
	work chivehillclock.Millis
}

// need returns what the request needs of a server.
func (c *call) need() chivehillplace.Need {
	return chivehillplace.Need{Service: c.service.ID, Regions: c.route.Regions, Used: slices.Clone(c.used)}
}

// Idempotent implements chivehillfront.Handler.
func (g *Gateway) Idempotent(r *chivehillfront.Request) bool {
	route, found := g.Beliefs.View().Find(hostname(r.Host), r.Path)
	return !found || route.Idempotent
}

// Serve implements chivehillfront.Handler.
func (g *Gateway) Serve(ctx context.Context, r *chivehillfront.Request) chivehillfront.Response {
	view := g.Beliefs.View()
	id := g.Dialect.RequestID(r.Header)
	route, found := view.Find(hostname(r.Host), r.Path)
	if !found {
		return g.refuse(&call{request: r, id: id, version: view.Configuration.Version}, g.whyNoRoute(view), 0)
	}
	target := pickTarget(route, rand.Float64())
	c := &call{
		request: r, id: id, route: route, service: view.Configuration.Services[target], version: view.Configuration.Version,
		deadline: g.deadline(r, route), fingerprint: fingerprint(r), work: g.work.Typical(route.ID, usualBound(route)),
	}
	g.Budget.Earn(target)
	response := g.run(ctx, c)
	g.Metrics.Seconds.WithLabelValues(string(route.ID)).Observe(float64((g.Clock.Now() - r.Arrived) / chivehillclock.Second))
	return response
}

func (g *Gateway) whyNoRoute(v chivehillcatalog.View) chivehillreason.Reason {
	switch {
	case v.Configuration.Version == 0:
		return chivehillreason.ConfigMissing
	case !g.Beliefs.Confirmed():
		return chivehillreason.ConfigUnconfirmed
	}
	return chivehillreason.NoRoute
}

// deadline returns when the caller or the route gives up, whichever is first.
func (g *Gateway) deadline(r *chivehillfront.Request, route chivehillcatalog.Route) chivehillclock.Millis {
	wait, told := g.Dialect.Wait(r.Header)
	if !told {
		wait = defaultWait
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return r.Arrived + wait
}

// usualBound returns the time within which a route's answers usually have to come.
func usualBound(route chivehillcatalog.Route) chivehillclock.Millis {
	switch {
	case route.Objective <= 0:
		return route.Timeout
	case route.Timeout <= 0:
		return route.Objective
	}
	return min(route.Objective, route.Timeout)
}

// hostname returns the name of a host without its port.
func hostname(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		switch {
		case host[i] == ':':
			return host[:i]
		case host[i] < '0' || host[i] > '9':
			return host
		}
	}
	return host
}

// pickTarget chooses a service by weight; at is from 0 to 1.
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

// refuse answers without a server's answer.
func (g *Gateway) refuse(c *call, reason chivehillreason.Reason, comeBack chivehillclock.Millis) chivehillfront.Response {
	outcome := chivehillreason.NotRun
	if c.sent {
		outcome = chivehillreason.Unknown
	}
	refusal := chivehillreason.Refusal{Outcome: outcome, Reason: reason}
	g.Metrics.Refuse(refusal)
	response := chivehillfront.Response{Status: chivehillreason.Status(outcome, reason), Header: http.Header{}}
	if outcome == chivehillreason.NotRun && response.Status == http.StatusServiceUnavailable {
		comeBack = max(comeBack, minComeBack)
		seconds := float64(comeBack/chivehillclock.Second) * (1 + rand.Float64())
		response.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	g.Log.Info().Str("request", string(c.id)).Str("route", string(c.route.ID)).Uint64("version", uint64(c.version)).
		Str("reason", string(reason)).Str("outcome", string(outcome)).Int("status", response.Status).
		Str("retry-after", response.Header.Get("Retry-After")).Int("attempts", c.attempts).Int("asked", c.asked).
		Float64("age-ms", float64(g.Clock.Now()-c.request.Arrived)).Msg("gateway: refused.")
	return response
}

// minComeBack is the shortest time after which a refused caller is told to return.
const minComeBack = 50 * chivehillclock.Millisecond
