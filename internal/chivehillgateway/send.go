package chivehillgateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillplace"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// step is what follows an attempt.
type step struct {
	// answer is set if the attempt brought the answer for the caller.
	answer *chivehillupstream.Answer
	// reason tells why there is none.
	reason chivehillreason.Reason
	// again is set if another server may be tried.
	again bool
}

// run tries servers until one answers or no further attempt is allowed.
func (g *Gateway) run(ctx context.Context, c *call) chivehillfront.Response {
	last := step{reason: chivehillreason.NoServer}
	for {
		if g.isSuspect(c) {
			return g.refuse(c, chivehillreason.Suspect, comeBackPart*(c.deadline-g.Clock.Now()))
		}
		if ctx.Err() != nil {
			return g.refuse(c, chivehillreason.CallerGone, 0)
		}
		if g.Clock.Now()+fewestMillis >= c.deadline {
			return g.refuse(c, chivehillreason.DeadlinePassed, 0)
		}
		chosen := g.find(ctx, c)
		if chosen == nil {
			return g.refuse(c, last.reason, max(comeBackNoServer, comeBackPart*(c.deadline-g.Clock.Now())))
		}
		if c.attempts > 0 && !g.Budget.Take(c.service.ID) {
			chosen.release()
			return g.refuse(c, last.reason, comeBackBusy)
		}
		last = g.attempt(ctx, c, chosen)
		if last.answer != nil {
			return g.answer(c, chosen.opinion, *last.answer)
		}
		if !last.again || c.attempts >= c.route.MaxAttempts {
			return g.refuse(c, last.reason, comeBackBusy)
		}
		g.Metrics.Retries.WithLabelValues(string(last.reason)).Inc()
	}
}

const (
	// comeBackBusy is when a caller should return that found servers busy.
	comeBackBusy = 60 * chivehillclock.Millisecond
	// comeBackNoServer is when a caller should return that found no server.
	comeBackNoServer = 150 * chivehillclock.Millisecond
	// comeBackPart is the part of the time left after which a caller should return
	// that waited for room in vain; it is spread up to twice that part.
	comeBackPart = 0.16
)

// attempt sends the request to the chosen server.
func (g *Gateway) attempt(ctx context.Context, c *call, chosen *choice) step {
	candidate := chosen.opinion.Candidate
	if !g.Table.Claim(candidate) {
		chosen.release()
		c.used = append(c.used, candidate.ID())
		return step{reason: chivehillreason.NoServer, again: true}
	}
	lease, err := g.connect(ctx, chosen)
	if err != nil {
		g.Table.Released(candidate.ID(), chivehillplace.Unreachable{})
		c.used = append(c.used, candidate.ID())
		g.logAttempt(c, chosen, chivehillreason.ServerUnreachable, err)
		return step{reason: chivehillreason.ServerUnreachable, again: true}
	}
	c.attempts++
	c.used = append(c.used, candidate.ID())
	c.sentAt = g.Clock.Now()
	answer, err := g.send(ctx, c, candidate, lease)
	result, outcome := g.assess(ctx, c, answer, err)
	g.Table.Released(candidate.ID(), outcome)
	if err == nil && answer.Remarks.HasLoad {
		g.offer(candidate, answer.Remarks.Load)
	}
	if result.answer != nil && chivehillplace.HasRoom(chosen.opinion.Load) {
		g.work.Observe(c.route.ID, usualBound(c.route), g.Clock.Now()-c.sentAt)
	}
	if result.answer == nil {
		g.logAttempt(c, chosen, result.reason, err)
	}
	if result.reason == chivehillreason.ServerBroke {
		go g.checkCrash(c, candidate.Server)
	}
	return result
}

func (g *Gateway) connect(ctx context.Context, chosen *choice) (*chivehillupstream.Lease, error) {
	if chosen.lease != nil {
		return chosen.lease, nil
	}
	candidate := chosen.opinion.Candidate
	return g.Servers.Pool(candidate.Server).Take(ctx, dialTime(candidate))
}

// send sends the request on a connection. An idempotent request ends with its
// caller; another one runs on, so that its outcome is known.
func (g *Gateway) send(ctx context.Context, c *call, candidate chivehillplace.Candidate, lease *chivehillupstream.Lease) (chivehillupstream.Answer, error) {
	left := c.deadline - g.Clock.Now()
	header := c.request.Header.Clone()
	g.Dialect.Address(header, left, candidate.ID())
	if !c.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	answer, usable, err := lease.Do(ctx, &chivehillupstream.Request{
		ID: c.id, Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Header: header,
		Body: c.request.Body, HasBody: c.request.HasBody,
	})
	if usable {
		lease.Release()
	}
	return answer, err
}

// assess tells what an attempt means for the request and for the server.
func (g *Gateway) assess(ctx context.Context, c *call, answer chivehillupstream.Answer, err error) (step, chivehillplace.Outcome) {
	switch {
	case err != nil && ctx.Err() != nil:
		c.sent = true
		return step{reason: chivehillreason.CallerGone}, chivehillplace.GivenUp{}
	case errors.Is(err, chivehillupstream.ErrTimeout):
		c.sent = true
		return step{reason: chivehillreason.ServerSilent}, chivehillplace.Failed{}
	case err != nil:
		c.sent = true
		return step{reason: chivehillreason.ServerBroke, again: c.route.Idempotent}, chivehillplace.Failed{}
	case answer.Remarks.Misdirected:
		return step{reason: chivehillreason.ServerMoved, again: true}, chivehillplace.Moved{}
	case answer.Remarks.NotExecuted:
		return step{reason: chivehillreason.ServerRefused, again: true}, chivehillplace.Refused{Remarks: answer.Remarks}
	case answer.Succeeded() && !answer.Remarks.Signed:
		c.sent = true
		return step{reason: chivehillreason.ServerSpoiled, again: c.route.Idempotent}, chivehillplace.Failed{}
	case answer.Status >= http.StatusInternalServerError && c.route.Idempotent && c.attempts < c.route.MaxAttempts && !c.sent:
		c.sent = true
		return step{reason: chivehillreason.ServerFailed, again: true}, chivehillplace.Failed{}
	case answer.Status >= http.StatusInternalServerError:
		return step{answer: &answer}, chivehillplace.Failed{}
	}
	return step{answer: &answer}, chivehillplace.Served{Remarks: answer.Remarks}
}

// answer passes the answer of a server on.
func (g *Gateway) answer(c *call, o chivehillplace.Opinion, a chivehillupstream.Answer) chivehillfront.Response {
	g.Metrics.Requests.WithLabelValues(string(c.route.ID), string(chivehillreason.Done)).Inc()
	g.Log.Debug().Str("request", string(c.id)).Str("route", string(c.route.ID)).Str("server", string(c.used[len(c.used)-1])).
		Int("status", a.Status).Int("attempts", c.attempts).Int("asked", c.asked).
		Float64("sent-at-ms", float64(c.sentAt-c.request.Arrived)).Float64("work-ms", float64(o.Work)).
		Float64("estimate-ms", float64(o.Estimate)).Object("load", o.Load).Int("distance", int(o.Candidate.Distance)).
		Float64("age-ms", float64(g.Clock.Now()-c.request.Arrived)).Msg("gateway: answered.")
	return chivehillfront.Response{Status: a.Status, Header: chivehillfront.EndToEnd(a.Header), Body: a.Body}
}

func (g *Gateway) logAttempt(c *call, chosen *choice, reason chivehillreason.Reason, err error) {
	g.Log.Info().Str("request", string(c.id)).Str("route", string(c.route.ID)).
		Str("server", string(chosen.opinion.Candidate.ID())).Str("peer", chosen.opinion.Candidate.Server.Address).
		Float64("estimate-ms", float64(chosen.opinion.Estimate)).Str("reason", string(reason)).Int("attempts", c.attempts).
		Float64("age-ms", float64(g.Clock.Now()-c.request.Arrived)).Float64("left-ms", float64(c.deadline-g.Clock.Now())).
		Err(err).Msg("gateway: attempt failed.")
}
