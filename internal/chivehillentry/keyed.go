package chivehillentry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehilldispatch"
	"github.com/chivehill/chivehill/internal/chivehillheader"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillkey"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// lateResponseWait is how long after the deadline the host still waits for the
// response to a non-idempotent request, so that a resend with the key can get it.
const lateResponseWait = 10 * chivehillclock.Second

// key returns the parsed key header. A missing header is an error.
func (e *Entry) key(r *http.Request) (chivehillkey.Key, error) {
	return chivehillkey.Parse(r.Header.Get(chivehillheader.Key))
}

// outcomeBeforeClaim returns the outcome of a refusal before the key is claimed.
// It is Unknown for a valid key, since the request may be a resend of one that ran.
func outcomeBeforeClaim(keyErr error) chivehillreason.Outcome {
	if keyErr != nil {
		return chivehillreason.NotRun
	}
	return chivehillreason.Unknown
}

// serveKeyed handles a request that must run at most once, as identified by its key.
func (e *Entry) serveKeyed(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key, keyErr error) {
	switch {
	case r.Header.Get(chivehillheader.Key) == "":
		e.refuse(w, c, notRun(chivehillreason.KeyMissing))
		return
	case keyErr != nil:
		e.refuse(w, c, notRun(chivehillreason.KeyMalformed))
		return
	case !e.Table.Owns(key):
		e.serveOtherOwner(w, r, c, key)
		return
	}
	switch claim := e.Table.Claim(key, requestHash(r, c), c.regions.Restricted()).(type) {
	case chivehillkey.Refused:
		e.refuse(w, c, claim.Refusal)
	case chivehillkey.Repeat:
		e.awaitResponse(w, r, c, key, claim.Entry)
	case chivehillkey.First:
		e.runNew(w, r, c, key, claim.Entry)
	}
}

// requestHash hashes the method, URI and tenant, which must be the same for all
// requests with one key.
func requestHash(r *http.Request, c *call) uint64 {
	return xxhash.Sum64String(r.Method + " " + r.URL.RequestURI() + " " + string(c.tenant))
}

// runNew runs a request whose key was not seen before. The run continues if the
// caller disconnects.
func (e *Entry) runNew(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key, entry *chivehillkey.Entry) {
	if reason, ok := e.readRequest(r, c, maxKeyedResponseBytes); !ok {
		e.Table.End(key, entry, refusedAnswer(notRun(reason)))
		e.awaitResponse(w, r, c, key, entry)
		return
	}
	c.request.Header = r.Header.Clone()
	e.inFlight.Go(func() {
		e.Table.End(key, entry, e.runKeyed(c))
	})
	e.awaitResponse(w, r, c, key, entry)
}

// awaitResponse waits until the deadline for the result of a key and writes it.
func (e *Entry) awaitResponse(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key, entry *chivehillkey.Entry) {
	timer := time.NewTimer(e.remaining(c.deadline).Duration())
	defer timer.Stop()
	select {
	case <-entry.Ended():
		e.writeKept(w, c, e.Table.Answer(key, entry))
	case <-timer.C:
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.ServerSilent})
	case <-r.Context().Done():
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.CallerGone})
	}
}

// writeKept writes the stored result of a key, or a refusal if no response is stored.
func (e *Entry) writeKept(w http.ResponseWriter, c *call, a chivehillkey.Answer) {
	if a.Status != 0 {
		e.writeResponse(w, c, &chivehilldispatch.Response{Status: a.Status, Header: a.Header, Body: a.Body})
		return
	}
	reason := a.Reason
	if reason == "" {
		reason = chivehillreason.AnswerNotKept
	}
	e.refuse(w, c, chivehillreason.Refusal{Outcome: a.Outcome, Reason: reason})
}

func refusedAnswer(r chivehillreason.Refusal) chivehillkey.Answer {
	return chivehillkey.Answer{Outcome: r.Outcome, Reason: r.Reason}
}

// runKeyed tries servers one after another until one accepts the non-idempotent
// request. Once a byte of it may have been read, it is sent again only if the
// server reports that it did not run it.
func (e *Entry) runKeyed(c *call) chivehillkey.Answer {
	ctx, cancel := e.callContext(context.Background(), c.deadline)
	defer cancel()
	if e.isSuspect(c) {
		return refusedAnswer(notRun(chivehillreason.Suspect))
	}
	e.retryBudget.Deposit()
	var tried []chivehillid.ServerID
	last := notRun(chivehillreason.NoServer)
	for try := range maxAttempts {
		if try > 0 {
			if !e.retryBudget.Take() {
				break
			}
			e.Metrics.Retries.WithLabelValues(string(last.Reason)).Inc()
		}
		slot, err := e.acquire(ctx, c, tried, false)
		if err != nil && try > 0 {
			return refusedAnswer(notRun(noSlotReason(err, last)))
		}
		if err != nil {
			return refusedAnswer(asRefusal(err))
		}
		if try == 0 {
			e.observeAddedLatency(c)
		}
		target, reason := e.checkSlot(c, slot)
		if reason != "" {
			slot.Release(chivehillbalance.Unused, 0, false)
			last = notRun(reason)
			if reason != chivehillreason.SlotExpired {
				break
			}
			continue
		}
		f := &attempt{slot: slot}
		e.sendKeyed(c, f, target)
		if answer, ended := e.keyedResult(c, f.result); ended {
			return answer
		}
		tried = append(tried, slot.Server)
		last = notRun(chivehillreason.ServerRefused)
		if !f.result.ServerNotRun {
			last = notRun(chivehillreason.ServerUnreachable)
		}
	}
	return refusedAnswer(last)
}

// sendKeyed sends the request once and waits for the response until
// lateResponseWait after the deadline.
func (e *Entry) sendKeyed(c *call, f *attempt, t chivehilldispatch.Target) {
	ctx, cancel := e.callContext(context.Background(), c.deadline+lateResponseWait)
	defer cancel()
	e.send(ctx, c, f, t)
}

// keyedResult returns the final result of the request after an attempt, or false
// if the request did not run and may be sent to another server.
func (e *Entry) keyedResult(c *call, a chivehilldispatch.Attempt) (chivehillkey.Answer, bool) {
	if a.Response != nil {
		if a.Response.Rest != nil {
			_ = a.Response.Rest.Close()
			return chivehillkey.Answer{Outcome: chivehillreason.Done, Reason: chivehillreason.AnswerTooLarge}, true
		}
		return chivehillkey.Answer{
			Outcome: chivehillreason.Done, Status: a.Response.Status, Header: a.Response.Header, Body: a.Response.Body,
		}, true
	}
	if a.ServerNotRun || !a.Sent {
		return chivehillkey.Answer{}, false
	}
	reason := chivehillreason.ServerSilent
	if a.Result == chivehillbalance.Killed {
		reason = chivehillreason.ServerBroke
		e.recordKill(c)
	}
	return refusedAnswer(chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: reason}), true
}

// serveOtherOwner handles a key that belongs to another incarnation: it writes
// the adopted result, or forwards the request to the host that owns the key.
func (e *Entry) serveOtherOwner(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key) {
	if a, known := e.Adopted.Answer(e.Clock.Now(), key); known {
		e.writeKept(w, c, a)
		return
	}
	member, found := e.Cluster.Member(key.Incarnation, key.Host)
	if !found || r.Header.Get(chivehillheader.Forwarded) != "" || !c.regions.Allows(member.Region) {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyOwnerGone})
		return
	}
	if reason, ok := e.readRequest(r, c, maxKeyedResponseBytes); !ok {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: reason})
		return
	}
	e.forward(w, r, c, chivehilldispatch.Target{Name: string(member.Host), Address: member.CallerAddress, Region: member.Region})
}

// forward sends a request to the host that owns its key. Only that host can tell
// the outcome; without a response from it the outcome is Unknown.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, c *call, t chivehilldispatch.Target) {
	chivehillinvariant.Assert(c.regions.Allows(t.Region), chivehillinvariant.HomeRegion, "request forwarded to host %s outside its allowed regions", t.Name)
	ctx, cancel := e.callContext(r.Context(), c.deadline)
	defer cancel()
	c.request.Header = r.Header.Clone()
	c.request.Header.Set(chivehillheader.Forwarded, string(e.Self.Host))
	a := e.Dispatcher.Send(ctx, c.request, t, e.remaining(c.deadline))
	e.chargeLink(t, len(c.request.Body), a.Response)
	if a.Response == nil {
		e.Log.Info().Str("step", "forward").Str("peer", t.Name).Err(a.Err).Msg("entry: host that owns the key did not respond.")
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyOwnerUnreachable})
		return
	}
	h := w.Header()
	for _, name := range []string{chivehillheader.Outcome, chivehillheader.Reason} {
		if value := a.Response.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	e.writeForwarded(w, c, a.Response)
}

// writeForwarded writes the response of another host unchanged. A response without
// an outcome header becomes a refusal with an unknown outcome.
func (e *Entry) writeForwarded(w http.ResponseWriter, c *call, resp *chivehilldispatch.Response) {
	outcome := w.Header().Get(chivehillheader.Outcome)
	reason := w.Header().Get(chivehillheader.Reason)
	if outcome == "" {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyOwnerUnreachable})
		return
	}
	e.Metrics.Requests.WithLabelValues(string(c.route.Route), outcome).Inc()
	chivehillheader.CopyEndToEnd(w.Header(), resp.Header)
	w.Header().Set(chivehillheader.Outcome, outcome)
	if reason != "" {
		w.Header().Set(chivehillheader.Reason, reason)
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
