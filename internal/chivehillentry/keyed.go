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

// lateAnswer is the time after the deadline for which the answer to a
// non-idempotent request is still awaited, so that a resend can get it.
const lateAnswer = 10 * chivehillclock.Second

// key reads the key header. A missing header is an error too.
func (e *Entry) key(r *http.Request) (chivehillkey.Key, error) {
	return chivehillkey.Parse(r.Header.Get(chivehillheader.Key))
}

// earlyOutcome returns the outcome of a refusal before the key was presented:
// a request with a valid key may have been sent before, and may have run.
func earlyOutcome(keyErr error) chivehillreason.Outcome {
	if keyErr != nil {
		return chivehillreason.NotRun
	}
	return chivehillreason.Unknown
}

// serveKeyed serves a request that must run at most once.
func (e *Entry) serveKeyed(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key, keyErr error) {
	switch {
	case r.Header.Get(chivehillheader.Key) == "":
		e.refuse(w, c, notRun(chivehillreason.KeyMissing))
		return
	case keyErr != nil:
		e.refuse(w, c, notRun(chivehillreason.KeyMalformed))
		return
	case !e.Table.Owns(key):
		e.serveForeign(w, r, c, key)
		return
	}
	switch claim := e.Table.Claim(key, head(r, c), c.regions.Restricted()).(type) {
	case chivehillkey.Refused:
		e.refuse(w, c, claim.Refusal)
	case chivehillkey.Repeat:
		e.await(w, r, c, key, claim.Entry)
	case chivehillkey.First:
		e.first(w, r, c, key, claim.Entry)
	}
}

// head hashes what must not differ between two sends of a key.
func head(r *http.Request, c *call) uint64 {
	return xxhash.Sum64String(r.Method + " " + r.URL.RequestURI() + " " + string(c.tenant))
}

// first runs a key that was not seen before. The run outlives the caller.
func (e *Entry) first(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key, entry *chivehillkey.Entry) {
	if reason, ok := e.readRequest(r, c, keyedBytes); !ok {
		e.Table.End(key, entry, refused(notRun(reason)))
		e.await(w, r, c, key, entry)
		return
	}
	c.request.Header = r.Header.Clone()
	e.running.Go(func() {
		e.Table.End(key, entry, e.runKeyed(c))
	})
	e.await(w, r, c, key, entry)
}

// await waits for the answer of a key until the deadline.
func (e *Entry) await(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key, entry *chivehillkey.Entry) {
	timer := time.NewTimer(e.left(c.deadline).Duration())
	defer timer.Stop()
	select {
	case <-entry.Ended():
		e.answerKept(w, c, e.Table.Answer(key, entry))
	case <-timer.C:
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.ServerSilent})
	case <-r.Context().Done():
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.CallerGone})
	}
}

// answerKept answers with what is known of a key that ended.
func (e *Entry) answerKept(w http.ResponseWriter, c *call, a chivehillkey.Answer) {
	if a.Status != 0 {
		e.answer(w, c, &chivehilldispatch.Response{Status: a.Status, Header: a.Header, Body: a.Body})
		return
	}
	reason := a.Reason
	if reason == "" {
		reason = chivehillreason.AnswerNotKept
	}
	e.refuse(w, c, chivehillreason.Refusal{Outcome: a.Outcome, Reason: reason})
}

func refused(r chivehillreason.Refusal) chivehillkey.Answer {
	return chivehillkey.Answer{Outcome: r.Outcome, Reason: r.Reason}
}

// runKeyed sends a non-idempotent request to one server after another until
// one takes it up. Once a byte may have been taken up it is never sent again.
func (e *Entry) runKeyed(c *call) chivehillkey.Answer {
	ctx, cancel := e.callContext(context.Background(), c.deadline)
	defer cancel()
	if e.suspect(c) {
		return refused(notRun(chivehillreason.Suspect))
	}
	e.retries.Deposit()
	var used []chivehillid.ServerID
	last := notRun(chivehillreason.NoServer)
	for try := range maxAttempts {
		if try > 0 {
			if !e.retries.Take() {
				break
			}
			e.Metrics.Retries.WithLabelValues(string(last.Reason)).Inc()
		}
		slot, err := e.acquire(ctx, c, used, false)
		if err != nil && try > 0 {
			return refused(notRun(whyNoSlot(err, last)))
		}
		if err != nil {
			return refused(asRefusal(err))
		}
		if try == 0 {
			e.observeAdded(c)
		}
		target, reason := e.check(c, slot)
		if reason != "" {
			slot.Release(chivehillbalance.Unused, 0, false)
			last = notRun(reason)
			if reason != chivehillreason.SlotExpired {
				break
			}
			continue
		}
		f := &flight{slot: slot}
		e.sendKeyed(c, f, target)
		if answer, ended := e.endOf(c, f.attempt); ended {
			return answer
		}
		used = append(used, slot.Server)
		last = notRun(chivehillreason.ServerRefused)
		if !f.attempt.ServerNotRun {
			last = notRun(chivehillreason.ServerUnreachable)
		}
	}
	return refused(last)
}

// sendKeyed sends once and waits for the answer beyond the deadline.
func (e *Entry) sendKeyed(c *call, f *flight, t chivehilldispatch.Target) {
	ctx, cancel := e.callContext(context.Background(), c.deadline+lateAnswer)
	defer cancel()
	e.send(ctx, c, f, t)
}

// endOf tells how an attempt ended the request, or false if the request may
// go to another server.
func (e *Entry) endOf(c *call, a chivehilldispatch.Attempt) (chivehillkey.Answer, bool) {
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
		e.killed(c)
	}
	return refused(chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: reason}), true
}

// serveForeign serves a key that names another incarnation: it passes the
// request on to the host that may answer it.
func (e *Entry) serveForeign(w http.ResponseWriter, r *http.Request, c *call, key chivehillkey.Key) {
	if a, known := e.Adopted.Answer(e.Clock.Now(), key); known {
		e.answerKept(w, c, a)
		return
	}
	member, found := e.Cluster.Member(key.Incarnation, key.Host)
	if !found || r.Header.Get(chivehillheader.Forwarded) != "" || !c.regions.Allows(member.Region) {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyOwnerGone})
		return
	}
	if reason, ok := e.readRequest(r, c, keyedBytes); !ok {
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: reason})
		return
	}
	e.forward(w, r, c, chivehilldispatch.Target{Name: string(member.Host), Address: member.CallerAddress, Region: member.Region})
}

// forward passes a request on to the host that owns its key. Only that host's
// own word counts; its silence is an unknown outcome.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, c *call, t chivehilldispatch.Target) {
	chivehillinvariant.Assert(c.regions.Allows(t.Region), chivehillinvariant.HomeRegion, "request bound elsewhere is forwarded to %s", t.Name)
	ctx, cancel := e.callContext(r.Context(), c.deadline)
	defer cancel()
	c.request.Header = r.Header.Clone()
	c.request.Header.Set(chivehillheader.Forwarded, string(e.Self.Host))
	a := e.Dispatcher.Send(ctx, c.request, t, e.left(c.deadline))
	e.chargeLink(t, len(c.request.Body), a.Response)
	if a.Response == nil {
		e.Log.Info().Str("step", "forward").Str("peer", t.Name).Err(a.Err).Msg("entry: owner of key did not answer.")
		e.refuse(w, c, chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyOwnerUnreachable})
		return
	}
	h := w.Header()
	for _, name := range []string{chivehillheader.Outcome, chivehillheader.Reason} {
		if value := a.Response.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	e.pass(w, c, a.Response)
}

// pass writes an answer of another host as it is.
func (e *Entry) pass(w http.ResponseWriter, c *call, resp *chivehilldispatch.Response) {
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
