package chivehillentry

import (
	"context"
	"net/http"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillslot"
)

// serveIdempotent handles a request that may run more than once.
func (e *Entry) serveIdempotent(w http.ResponseWriter, r *http.Request, c *call) {
	if reason, ok := e.readRequest(r, c, maxBufferedBytes); !ok {
		e.refuse(w, c, notRun(reason))
		return
	}
	if e.isSuspect(c) {
		e.refuse(w, c, notRun(chivehillreason.Suspect))
		return
	}
	ctx, cancel := e.callContext(r.Context(), c.deadline)
	defer cancel()
	execution := &execution{entry: e, call: c, ctx: ctx, results: make(chan *attempt, maxAttempts)}
	winner, refusal := execution.run()
	execution.cancelOthers(winner)
	if winner == nil {
		e.refuse(w, c, refusal)
		return
	}
	defer e.closeStreamed(winner)
	e.writeResponse(w, c, winner.result.Response)
}

func notRun(r chivehillreason.Reason) chivehillreason.Refusal {
	return chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: r}
}

// execution manages the attempts of one idempotent request: the first, retries
// after failures, and at most one hedge.
type execution struct {
	entry   *Entry
	call    *call
	ctx     context.Context
	results chan *attempt
	cancels []context.CancelFunc
	// tried lists the servers of all attempts so far, in the order of cancels.
	tried []chivehillid.ServerID
	// pending is the number of attempts still running.
	pending int
	// mayHaveRun is set once a server may have started the request: it was sent
	// and not refused.
	mayHaveRun bool
	hedged     bool
}

// run returns the first attempt with a response, or a refusal.
func (r *execution) run() (*attempt, chivehillreason.Refusal) {
	e, c := r.entry, r.call
	e.hedgeBudget.Deposit()
	e.retryBudget.Deposit()
	slot, err := e.acquire(r.ctx, c, nil, false)
	if err != nil {
		return nil, asRefusal(err)
	}
	e.observeAddedLatency(c)
	if reason := r.launch(slot, false); reason != "" {
		if refusal, launched := r.launchRetry(notRun(reason)); !launched {
			return nil, refusal
		}
	}
	delay := e.hedgeDelays.get(c.route.Route)
	timer := time.NewTimer(delay.Delay().Duration())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			r.hedge()
		case f := <-r.results:
			r.pending--
			if f.result.Response != nil {
				delay.Observe(e.Clock.Now() - c.arrived)
				r.countHedgeWin(f)
				return f, chivehillreason.Refusal{}
			}
			refusal, retry := r.recordFailure(f)
			if r.pending > 0 {
				continue
			}
			if !retry {
				return nil, refusal
			}
			if refusal, launched := r.launchRetry(refusal); !launched {
				return nil, refusal
			}
		}
	}
}

// launch starts one attempt. If the slot cannot be used, it releases the slot
// and returns the reason.
func (r *execution) launch(slot *chivehillslot.Slot, hedge bool) chivehillreason.Reason {
	target, reason := r.entry.checkSlot(r.call, slot)
	if reason != "" {
		slot.Release(chivehillbalance.Unused, 0, false)
		return reason
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels = append(r.cancels, cancel)
	r.tried = append(r.tried, slot.Server)
	r.pending++
	f := &attempt{slot: slot, hedge: hedge}
	r.entry.inFlight.Go(func() {
		r.entry.send(ctx, r.call, f, target)
		r.results <- f
	})
	return ""
}

// recordFailure records a failed attempt and reports whether the request may be
// retried.
func (r *execution) recordFailure(f *attempt) (chivehillreason.Refusal, bool) {
	a := f.result
	switch {
	case a.ServerNotRun:
		return r.refusal(chivehillreason.ServerRefused), true
	case !a.Sent && r.ctx.Err() == nil:
		return r.refusal(chivehillreason.ServerUnreachable), true
	}
	r.mayHaveRun = r.mayHaveRun || a.Sent
	switch a.Result {
	case chivehillbalance.Killed:
		return r.refusal(chivehillreason.ServerBroke), r.entry.recordKill(r.call)
	case chivehillbalance.Cancelled:
		return r.refusal(chivehillreason.CallerGone), false
	default:
		return r.refusal(chivehillreason.ServerSilent), false
	}
}

// refusal returns a refusal with outcome Unknown if the request may have run, and
// NotRun otherwise.
func (r *execution) refusal(reason chivehillreason.Reason) chivehillreason.Refusal {
	if r.mayHaveRun {
		return chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: reason}
	}
	return notRun(reason)
}

// launchRetry starts another attempt on a server not tried yet, within the retry
// budget. It returns a refusal if it could not.
func (r *execution) launchRetry(last chivehillreason.Refusal) (refusal chivehillreason.Refusal, launched bool) {
	e := r.entry
	for len(r.tried) < maxAttempts && e.retryBudget.Take() {
		e.Metrics.Retries.WithLabelValues(string(last.Reason)).Inc()
		slot, err := e.acquire(r.ctx, r.call, r.tried, false)
		if err != nil {
			return r.refusal(noSlotReason(err, last)), false
		}
		reason := r.launch(slot, false)
		if reason == "" {
			return last, true
		}
		last = r.refusal(reason)
		if reason != chivehillreason.SlotExpired {
			break
		}
	}
	return last, false
}

// hedge sends a second copy of the request to another server if one is idle and
// the hedge budget allows it.
func (r *execution) hedge() {
	e := r.entry
	if r.hedged || r.pending != 1 {
		return
	}
	r.hedged = true
	if !e.hedgeBudget.Take() {
		e.Metrics.Hedges.WithLabelValues("no-budget").Inc()
		return
	}
	slot, err := e.acquire(r.ctx, r.call, r.tried, true)
	if err != nil {
		e.Metrics.Hedges.WithLabelValues("no-slot").Inc()
		return
	}
	if r.launch(slot, true) == "" {
		e.Metrics.Hedges.WithLabelValues("sent").Inc()
	}
}

func (r *execution) countHedgeWin(f *attempt) {
	if f.hedge {
		r.entry.Metrics.Hedges.WithLabelValues("won").Inc()
	}
}

// cancelOthers cancels all attempts but the winner and releases their slots when
// they end.
func (r *execution) cancelOthers(winner *attempt) {
	for i, cancel := range r.cancels {
		if winner == nil || r.tried[i] != winner.slot.Server {
			cancel()
		}
	}
	if r.pending == 0 {
		return
	}
	pending := r.pending
	r.entry.inFlight.Go(func() {
		for range pending {
			r.entry.closeStreamed(<-r.results)
		}
	})
}

// noSlotReason returns the reason to report when a retry gets no slot. If no
// server is left, the failure of the last attempt is more useful to the caller.
func noSlotReason(err error, last chivehillreason.Refusal) chivehillreason.Reason {
	reason := asRefusal(err).Reason
	if reason == chivehillreason.NoServer {
		return last.Reason
	}
	return reason
}

func asRefusal(err error) chivehillreason.Refusal {
	if r, ok := err.(chivehillreason.Refusal); ok { //nolint:errorlint // the slot manager returns refusals unwrapped
		return r
	}
	return notRun(chivehillreason.Internal)
}

// remaining returns the time until a deadline, or 0 if it has passed.
func (e *Entry) remaining(deadline chivehillclock.Millis) chivehillclock.Millis {
	return max(0, deadline-e.Clock.Now())
}
