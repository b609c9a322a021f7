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

// serveIdempotent serves a request that may run more than once.
func (e *Entry) serveIdempotent(w http.ResponseWriter, r *http.Request, c *call) {
	if reason, ok := e.readRequest(r, c, streamBytes); !ok {
		e.refuse(w, c, notRun(reason))
		return
	}
	if e.suspect(c) {
		e.refuse(w, c, notRun(chivehillreason.Suspect))
		return
	}
	ctx, cancel := e.callContext(r.Context(), c.deadline)
	defer cancel()
	race := &race{entry: e, call: c, ctx: ctx, results: make(chan *flight, maxAttempts)}
	winner, refusal := race.run()
	race.abandon(winner)
	if winner == nil {
		e.refuse(w, c, refusal)
		return
	}
	defer e.finish(winner)
	e.answer(w, c, winner.attempt.Response)
}

func notRun(r chivehillreason.Reason) chivehillreason.Refusal {
	return chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: r}
}

// race runs the attempts of one idempotent request: the first, retries after
// failures, and at most one hedge.
type race struct {
	entry   *Entry
	call    *call
	ctx     context.Context
	results chan *flight
	cancels []context.CancelFunc
	// used lists the servers tried so far.
	used []chivehillid.ServerID
	// open is the number of attempts without a result.
	open int
	// sent is set once any attempt may have reached a server that did not refuse it.
	sent   bool
	hedged bool
}

// run returns the attempt whose answer counts, or a refusal.
func (r *race) run() (*flight, chivehillreason.Refusal) {
	e, c := r.entry, r.call
	e.hedges.Deposit()
	e.retries.Deposit()
	slot, err := e.acquire(r.ctx, c, nil, false)
	if err != nil {
		return nil, asRefusal(err)
	}
	e.observeAdded(c)
	if reason := r.launch(slot, false); reason != "" {
		if refusal, launched := r.again(notRun(reason)); !launched {
			return nil, refusal
		}
	}
	delay := e.delays.of(c.route.Route)
	timer := time.NewTimer(delay.Delay().Duration())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			r.hedge()
		case f := <-r.results:
			r.open--
			if f.attempt.Response != nil {
				delay.Observe(e.Clock.Now() - c.arrived)
				r.countWin(f)
				return f, chivehillreason.Refusal{}
			}
			refusal, retry := r.failed(f)
			if r.open > 0 {
				continue
			}
			if !retry {
				return nil, refusal
			}
			if refusal, launched := r.again(refusal); !launched {
				return nil, refusal
			}
		}
	}
}

// launch starts one attempt. It returns a reason if the slot cannot be used.
func (r *race) launch(slot *chivehillslot.Slot, hedge bool) chivehillreason.Reason {
	target, reason := r.entry.check(r.call, slot)
	if reason != "" {
		slot.Release(chivehillbalance.Unused, 0, false)
		return reason
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels = append(r.cancels, cancel)
	r.used = append(r.used, slot.Server)
	r.open++
	f := &flight{slot: slot, hedge: hedge}
	r.entry.running.Go(func() {
		r.entry.send(ctx, r.call, f, target)
		r.results <- f
	})
	return ""
}

// failed records a failed attempt and tells whether another may follow.
func (r *race) failed(f *flight) (chivehillreason.Refusal, bool) {
	a := f.attempt
	switch {
	case a.ServerNotRun:
		return r.refusal(chivehillreason.ServerRefused), true
	case !a.Sent && r.ctx.Err() == nil:
		return r.refusal(chivehillreason.ServerUnreachable), true
	}
	r.sent = r.sent || a.Sent
	switch a.Result {
	case chivehillbalance.Killed:
		return r.refusal(chivehillreason.ServerBroke), r.entry.killed(r.call)
	case chivehillbalance.Cancelled:
		return r.refusal(chivehillreason.CallerGone), false
	default:
		return r.refusal(chivehillreason.ServerSilent), false
	}
}

// refusal returns a refusal whose outcome fits what was sent so far.
func (r *race) refusal(reason chivehillreason.Reason) chivehillreason.Refusal {
	if r.sent {
		return chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: reason}
	}
	return notRun(reason)
}

// again starts another attempt on a server not tried yet, within the budget.
// It returns a refusal if it could not.
func (r *race) again(last chivehillreason.Refusal) (refusal chivehillreason.Refusal, launched bool) {
	e := r.entry
	for len(r.used) < maxAttempts && e.retries.Take() {
		e.Metrics.Retries.WithLabelValues(string(last.Reason)).Inc()
		slot, err := e.acquire(r.ctx, r.call, r.used, false)
		if err != nil {
			return r.refusal(whyNoSlot(err, last)), false
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

// hedge sends a second copy to another server if one is idle and the budget allows.
func (r *race) hedge() {
	e := r.entry
	if r.hedged || r.open != 1 {
		return
	}
	r.hedged = true
	if !e.hedges.Take() {
		e.Metrics.Hedges.WithLabelValues("no-budget").Inc()
		return
	}
	slot, err := e.acquire(r.ctx, r.call, r.used, true)
	if err != nil {
		e.Metrics.Hedges.WithLabelValues("no-slot").Inc()
		return
	}
	if r.launch(slot, true) == "" {
		e.Metrics.Hedges.WithLabelValues("sent").Inc()
	}
}

func (r *race) countWin(f *flight) {
	if f.hedge {
		r.entry.Metrics.Hedges.WithLabelValues("won").Inc()
	}
}

// abandon cancels all attempts but the winner and gives their slots back.
func (r *race) abandon(winner *flight) {
	for i, cancel := range r.cancels {
		if winner == nil || r.used[i] != winner.slot.Server {
			cancel()
		}
	}
	if r.open == 0 {
		return
	}
	open := r.open
	r.entry.running.Go(func() {
		for range open {
			r.entry.finish(<-r.results)
		}
	})
}

// whyNoSlot returns the reason to tell when a further attempt gets no slot:
// that no server is left says less than why the last one failed.
func whyNoSlot(err error, last chivehillreason.Refusal) chivehillreason.Reason {
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

// left returns the time left until a deadline, never negative.
func (e *Entry) left(deadline chivehillclock.Millis) chivehillclock.Millis {
	return max(0, deadline-e.Clock.Now())
}
