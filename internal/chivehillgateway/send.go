package chivehillgateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillselector"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	// response is the server's response to return to the caller, or nil.
	response *chivehillupstream.Response
	// reason is why the attempt failed, if response is nil.
	reason chivehillreason.Reason
	// retryable is set if the request may be sent to another server.
	retryable bool
}

// run sends the request to one server after another until one answers or no
// further attempt is allowed.
func (g *Gateway) run(ctx context.Context, c *call) chivehillfront.Response {
	last := attemptResult{reason: chivehillreason.NoServer}
	for {
		if g.isSuspect(c) {
			return g.refuse(c, chivehillreason.Suspect, retryAfterFraction*(c.deadline-g.Clock.Now()))
		}
		if g.stopsBefore(c.deadline) {
			return g.refuse(c, chivehillreason.Stopping, 0)
		}
		if ctx.Err() != nil {
			return g.refuse(c, chivehillreason.CallerGone, 0)
		}
		if g.Clock.Now()+minTimeLeft >= c.deadline {
			return g.refuse(c, chivehillreason.DeadlinePassed, 0)
		}
		chosen := g.chooseTrial(c)
		if chosen == nil {
			chosen = g.findServer(ctx, c)
		}
		if g.stopsBefore(c.deadline) {
			chosen.release()
			return g.refuse(c, chivehillreason.Stopping, 0)
		}
		if chosen == nil {
			return g.refuseForCapacity(c, last.reason, max(retryAfterNoServer, retryAfterFraction*(c.deadline-g.Clock.Now())))
		}
		if c.attempts > 0 && !g.Budget.Take(c.service.ID, c.caller.workspace.ID) {
			chosen.release()
			return g.refuseForCapacity(c, last.reason, retryAfterBusy)
		}
		last = g.attempt(ctx, c, chosen)
		if last.response != nil {
			return g.respond(c, chosen.assessment, *last.response)
		}
		if !last.retryable || c.attempts >= c.route.MaxAttempts {
			return g.refuseForCapacity(c, last.reason, retryAfterBusy)
		}
		g.Metrics.Retries.WithLabelValues(string(last.reason)).Inc()
	}
}

const (
	// retryAfterBusy is the base of Retry-After when attempts were made and failed.
	retryAfterBusy = 60 * chivehillclock.Millisecond
	// retryAfterNoServer is the minimum base of Retry-After when no server was found.
	retryAfterNoServer = 150 * chivehillclock.Millisecond
	// retryAfterFraction is the fraction of the remaining time on which Retry-After
	// is based when a request waited for capacity without success or is suspect.
	// Jitter spreads the header over up to twice that time.
	retryAfterFraction = 0.16
)

// attempt sends the request to the chosen server.
func (g *Gateway) attempt(ctx context.Context, c *call, chosen *choice) attemptResult {
	candidate := chosen.assessment.Candidate
	if !g.Table.Claim(candidate) {
		chosen.release()
		c.tried = append(c.tried, candidate.ID())
		return attemptResult{reason: chivehillreason.NoServer, retryable: true}
	}
	warm := g.Table.IsWarm(candidate.ID())
	lease, err := g.connect(ctx, chosen)
	if errors.Is(err, chivehillupstream.ErrNoConnection) {
		g.Table.Release(candidate.ID(), chivehillselector.Abandoned{})
		g.logFailedAttempt(c, chosen, chivehillreason.NoServer, err)
		return attemptResult{reason: chivehillreason.NoServer}
	}
	if err != nil {
		g.Table.Release(candidate.ID(), chivehillselector.Unreachable{})
		c.tried = append(c.tried, candidate.ID())
		g.logFailedAttempt(c, chosen, chivehillreason.ServerUnreachable, err)
		return attemptResult{reason: chivehillreason.ServerUnreachable, retryable: true}
	}
	c.attempts++
	c.tried = append(c.tried, candidate.ID())
	c.sentAt = g.Clock.Now()
	response, err := g.send(ctx, c, candidate, lease)
	if err == nil && !response.Metadata.Misdirected {
		g.recordNotice(candidate.Server, response.Metadata)
	}
	result, outcome := g.classify(ctx, c, response, err)
	g.Table.Release(candidate.ID(), outcome)
	if warm {
		g.compare(c, candidate, outcome)
	}
	if err == nil && response.Metadata.HasLoad {
		g.offerCapacity(candidate, response.Metadata.Load)
	}
	if result.response != nil && chivehillselector.HasCapacity(chosen.assessment.Load) {
		g.serviceTimes.Observe(c.route.ID, serviceTimeBound(c.route), g.Clock.Now()-c.sentAt)
	}
	if result.response == nil {
		g.logFailedAttempt(c, chosen, result.reason, err)
	}
	if result.reason == chivehillreason.ServerBroke {
		go g.checkCrash(c, candidate.Server)
	}
	return result
}

// recordNotice records what a server asks of its callers in a response, and tells the other
// hosts if it leaves.
func (g *Gateway) recordNotice(server chivehillcatalog.Server, metadata chivehillupstream.ResponseMetadata) {
	if !g.Table.RecordNotice(server, metadata) {
		return
	}
	g.Metrics.Leaves.Inc()
	g.OnLeaving(server.Instance())
}

func (g *Gateway) connect(ctx context.Context, chosen *choice) (*chivehillupstream.Lease, error) {
	if chosen.lease != nil {
		return chosen.lease, nil
	}
	candidate := chosen.assessment.Candidate
	return g.Pools.Get(candidate.Server).Take(ctx, dialTimeoutFor(candidate))
}

// send sends the request on a connection. An idempotent request is cancelled when
// its caller leaves. Any other request continues, so that its outcome is known.
func (g *Gateway) send(ctx context.Context, c *call, candidate chivehillselector.Candidate, lease *chivehillupstream.Lease) (chivehillupstream.Response, error) {
	left := c.deadline - g.Clock.Now()
	header := c.request.Header.Clone()
	g.Headers.SetTarget(header, left, candidate.ID())
	g.setCaller(header, c.caller)
	if !c.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	response, usable, err := lease.Do(ctx, &chivehillupstream.Request{
		ID: c.id, Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Header: header,
		Body: c.request.Body, HasBody: c.request.HasBody,
	})
	if usable {
		lease.Release()
	}
	return response, err
}

// classify derives from an attempt the result for the request and the outcome that
// is recorded for the server.
func (g *Gateway) classify(ctx context.Context, c *call, response chivehillupstream.Response, err error) (attemptResult, chivehillselector.Outcome) {
	switch {
	case err != nil && ctx.Err() != nil:
		c.mayHaveRun = true
		return attemptResult{reason: chivehillreason.CallerGone}, chivehillselector.Abandoned{}
	case errors.Is(err, chivehillupstream.ErrTimeout):
		c.mayHaveRun = true
		return attemptResult{reason: chivehillreason.ServerSilent}, chivehillselector.Failed{}
	case err != nil:
		c.mayHaveRun = true
		return attemptResult{reason: chivehillreason.ServerBroke, retryable: c.route.Idempotent}, chivehillselector.Failed{}
	case response.Metadata.Misdirected:
		// The address now belongs to another server: Misdirected, ServerMoved, Moved and
		// the probe result "moved" all mean this.
		return attemptResult{reason: chivehillreason.ServerMoved, retryable: true}, chivehillselector.Moved{}
	case response.Metadata.NotExecuted:
		return attemptResult{reason: chivehillreason.ServerRefused, retryable: true}, chivehillselector.Refused{Metadata: response.Metadata}
	case response.Succeeded() && !response.Metadata.Signed:
		c.mayHaveRun = true
		return attemptResult{reason: chivehillreason.ServerSpoiled, retryable: c.route.Idempotent}, chivehillselector.Failed{}
	case !c.route.Idempotent && chivehillreason.PromisesNotRun(response.Status):
		c.mayHaveRun = true
		return attemptResult{reason: chivehillreason.ServerFailed}, chivehillselector.Failed{}
	case response.Status >= http.StatusInternalServerError && c.route.Idempotent && c.attempts < c.route.MaxAttempts && !c.mayHaveRun:
		c.mayHaveRun = true
		return attemptResult{reason: chivehillreason.ServerFailed, retryable: true}, chivehillselector.Failed{}
	case response.Status >= http.StatusInternalServerError:
		return attemptResult{response: &response}, chivehillselector.Failed{}
	}
	return attemptResult{response: &response}, chivehillselector.Served{Metadata: response.Metadata}
}

// respond returns a server's response to the caller.
func (g *Gateway) respond(c *call, assessment chivehillselector.Assessment, response chivehillupstream.Response) chivehillfront.Response {
	g.Metrics.Requests.WithLabelValues(string(c.route.ID), string(chivehillreason.Done)).Inc()
	if w := c.caller.workspace.ID; w != "" {
		g.Metrics.WorkspaceRequests.WithLabelValues(string(w)).Inc()
	}
	named(g.Log.Debug(), c).Str("server", string(c.tried[len(c.tried)-1])).
		Int("status", response.Status).Int("attempts", c.attempts).Int("asked", c.probes).
		Float64("sent-at-ms", float64(c.sentAt-c.request.Arrived)).Float64("work-ms", float64(assessment.ServiceTime)).
		Float64("estimate-ms", float64(assessment.Estimate)).Object("load", assessment.Load).Int("distance", int(assessment.Candidate.Distance)).
		Float64("age-ms", float64(g.Clock.Now()-c.request.Arrived)).Msg("gateway: answered.")
	return chivehillfront.Response{Status: response.Status, Header: chivehillfront.EndToEnd(response.Header), Body: response.Body}
}

func (g *Gateway) logFailedAttempt(c *call, chosen *choice, reason chivehillreason.Reason, err error) {
	named(g.Log.Info(), c).
		Str("server", string(chosen.assessment.Candidate.ID())).Str("peer", chosen.assessment.Candidate.Server.Address).
		Float64("estimate-ms", float64(chosen.assessment.Estimate)).Str("reason", string(reason)).Int("attempts", c.attempts).
		Float64("age-ms", float64(g.Clock.Now()-c.request.Arrived)).Float64("left-ms", float64(c.deadline-g.Clock.Now())).
		Err(err).Msg("gateway: attempt failed.")
}
