package chivehillsim

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillhedge"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// call is one request of a caller.
type call struct {
	id         int
	origin     place
	tenant     chivehillid.TenantID
	regions    chivehillregion.Set
	idempotent bool
	// crash marks a request that breaks each server that runs it.
	crash    bool
	sentAt   chivehillclock.Millis
	deadline chivehillclock.Millis
	work     float64
	hedge    float64
}

// answer ends an attempt.
type answer struct {
	outcome chivehillreason.Outcome
	reason  chivehillreason.Reason
}

const (
	hedgePercent = 5
	retryPercent = 10
	shareBurst   = 10
	// maxSends bounds the sendings of one attempt.
	maxSends = 4
	// lateAnswer is the time after the deadline for which the answer to a
	// non-idempotent request is still awaited.
	lateAnswer = 10 * chivehillclock.Second
	tickPeriod = 5 * chivehillclock.Millisecond
	idleTicks  = 10
	// messageBytes is the size of a message about a slot.
	messageBytes = 150
)

// world is what hosts share in a run.
type world struct {
	engine  *engine
	network *network
	hosts   []*host
	servers map[chivehillid.ServerID]*server
	order   []chivehillid.ServerID
	record  *record
	hedging bool
	// off is the mechanism that is switched off, empty for none.
	off Mechanism
	// store is nil in the benchmark.
	store      *store
	violations []Violation
}

// Violation is a broken invariant.
type Violation struct {
	Invariant string
	At        chivehillclock.Millis
	Detail    string
}

func (w *world) violate(invariant, detail string) {
	w.violations = append(w.violations, Violation{Invariant: invariant, At: w.engine.now, Detail: detail})
}

func (w *world) host(id chivehillid.HostID) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// host is the part of an entry host that places requests: the pool state
// machine, retries and hedging.
type host struct {
	world *world
	id    chivehillid.HostID
	end   end
	// life grows with each restart; events of an earlier life are dropped.
	life   int
	dead   bool
	paused bool
	inbox  []func()

	pool    *chivehillbalance.Pool
	delay   *chivehillhedge.Delay
	hedges  *chivehillbudget.Share
	retries *chivehillbudget.Share
	next    chivehillbalance.RequestID
	pending map[chivehillbalance.RequestID]*try
	ticking bool
	// cluster is nil in the benchmark.
	cluster *clusterState

	// weight is the share of calls that callers send here, 0 for an even share.
	weight int
	remote int
	first  int
}

func newHost(w *world, id chivehillid.HostID, p place) *host {
	h := &host{world: w, id: id, end: end{name: string(id), place: p, control: true}}
	h.reset()
	return h
}

// reset forgets everything, as a restart does.
func (h *host) reset() {
	h.life++
	h.inbox = nil
	h.pool = nil
	h.delay = chivehillhedge.NewDelay()
	h.hedges = chivehillbudget.NewShare(hedgePercent, shareBurst)
	h.retries = chivehillbudget.NewShare(retryPercent, shareBurst)
	h.pending = make(map[chivehillbalance.RequestID]*try)
	h.ticking = false
}

// act runs do at the host: now, when it wakes, or never if it died meanwhile.
func (h *host) act(life int, do func()) {
	switch {
	case h.dead || life != h.life:
	case h.paused:
		h.inbox = append(h.inbox, func() { h.act(life, do) })
	default:
		do()
	}
}

// later runs do at the host after d.
func (h *host) later(d chivehillclock.Millis, do func()) {
	life := h.life
	h.world.engine.after(d, func() { h.act(life, do) })
}

// wake runs what came in while the host was paused.
func (h *host) wake() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// attempt is one request at its entry host.
type attempt struct {
	host *host
	call *call
	// send names this sending of the caller, for the records.
	send    string
	used    []chivehillid.ServerID
	flights []*flight
	open    int
	// sent is set once a server may have taken the request up.
	sent   bool
	hedged bool
	ended  bool
	reply  func(answer)
}

// try is a wait for a slot.
type try struct {
	attempt *attempt
	hedge   bool
}

// flight is one sending to a server.
type flight struct {
	slot  chivehillbalance.Dispatch
	job   *job
	to    *server
	at    chivehillclock.Millis
	ended bool
}

// begin starts a request. reply is called once.
func (h *host) begin(c *call, send string, reply func(answer)) {
	a := &attempt{host: h, call: c, send: send, reply: reply}
	h.hedges.Deposit()
	h.retries.Deposit()
	h.first++
	h.submit(a, false)
	left := c.deadline - h.world.engine.now
	h.later(left, a.deadline)
}

func (h *host) submit(a *attempt, hedge bool) {
	h.next++
	h.pending[h.next] = &try{attempt: a, hedge: hedge}
	until := a.call.deadline
	if hedge {
		until = min(until, h.world.engine.now+chivehillhedge.MaxWait)
	}
	h.handle(chivehillbalance.Submit{Request: chivehillbalance.Request{
		ID: h.next, Deadline: a.call.deadline, Tenant: a.call.tenant, Regions: a.call.regions,
		WaitUntil: until, NoSlack: hedge, Exclude: slices.Clone(a.used), LinkOpen: h.cluster != nil && !hedge,
	}})
}

// handle applies an event to the pool and carries out the actions.
func (h *host) handle(e chivehillbalance.Event) {
	if h.pool == nil {
		return
	}
	for _, a := range h.pool.Handle(h.world.engine.now, e) {
		switch a := a.(type) {
		case chivehillbalance.Dispatch:
			h.dispatched(a)
		case chivehillbalance.Refuse:
			h.refused(a)
		case chivehillbalance.Send:
			h.sendPool(a)
		case chivehillbalance.Released:
			if h.cluster != nil {
				h.released(a)
			}
		}
	}
	h.tickLater()
}

func (h *host) tickLater() {
	if h.ticking || !h.pool.Busy() {
		return
	}
	h.ticking = true
	h.later(tickPeriod, func() {
		h.ticking = false
		h.handle(chivehillbalance.Tick{})
	})
}

func (h *host) sendPool(s chivehillbalance.Send) {
	to := h.world.host(s.To)
	if to == nil || to.dead {
		return
	}
	issued := h.world.engine.now
	life := to.life
	h.world.network.send(h.end, to.end, messageBytes, func() {
		to.act(life, func() {
			to.handle(chivehillbalance.Receive{From: h.id, Messages: copyMessages(s.Messages), Issued: issued})
		})
	})
}

func copyMessages(m chivehillwire.PoolMessages) chivehillwire.PoolMessages {
	load := *m.Load
	m.Load = &load
	return m
}

func (h *host) dispatched(d chivehillbalance.Dispatch) {
	t := h.pending[d.Request]
	delete(h.pending, d.Request)
	if t == nil || t.attempt.ended {
		h.returnSlot(d)
		return
	}
	a := t.attempt
	if !h.usable(a, d) {
		h.returnSlot(d)
		if a.open == 0 && !t.hedge {
			a.again(chivehillreason.SlotExpired)
		}
		return
	}
	if d.Owner != h.id {
		h.remote++
	}
	a.launch(d)
}

func (h *host) returnSlot(d chivehillbalance.Dispatch) {
	h.handle(chivehillbalance.Finish{Owner: d.Owner, Grant: d.Grant, Result: chivehillbalance.Unused})
}

// usable checks a slot right before the request is sent.
func (h *host) usable(a *attempt, d chivehillbalance.Dispatch) bool {
	now := h.world.engine.now
	if now >= d.ValidUntil || now >= a.call.deadline {
		return false
	}
	return h.cluster == nil || h.mayUse(a, d)
}

func (h *host) refused(r chivehillbalance.Refuse) {
	t := h.pending[r.Request]
	delete(h.pending, r.Request)
	if t == nil || t.hedge || t.attempt.ended || t.attempt.open > 0 {
		return
	}
	t.attempt.end(r.Reason)
}

// launch sends the request to the server of a slot.
func (a *attempt) launch(d chivehillbalance.Dispatch) {
	h := a.host
	w := h.world
	s := w.servers[d.Server]
	work := a.call.work
	if len(a.used) > 0 {
		work = a.call.hedge
	}
	f := &flight{slot: d, to: s, at: w.engine.now}
	f.job = &job{call: a.call, from: h, send: a.send, work: work, sentAt: w.engine.now}
	a.used = append(a.used, d.Server)
	a.flights = append(a.flights, f)
	a.open++
	life := h.life
	f.job.reply = func(r reply) {
		w.network.send(s.end, h.end, 0, func() { h.act(life, func() { a.replied(f, r) }) })
	}
	if !w.network.send(h.end, s.end, 0, func() { s.arrive(f.job) }) {
		h.later(delayOtherDomain, func() { a.unreachable(f) })
		return
	}
	if a.call.idempotent && w.hedging && len(a.used) == 1 {
		h.later(h.delay.Delay(), a.hedge)
	}
}

// hedge sends a second copy if one is still missing and the budget allows.
func (a *attempt) hedge() {
	if a.ended || a.hedged || a.open != 1 || !a.host.hedges.Take() {
		return
	}
	a.hedged = true
	a.host.submit(a, true)
}

func (a *attempt) unreachable(f *flight) {
	if f.ended {
		return
	}
	a.close(f, chivehillbalance.Finish{Result: chivehillbalance.Killed})
	a.failed(chivehillreason.ServerUnreachable, true)
}

// close gives the slot of a flight back.
func (a *attempt) close(f *flight, e chivehillbalance.Finish) {
	f.ended = true
	a.open--
	e.Owner = f.slot.Owner
	e.Grant = f.slot.Grant
	a.host.handle(e)
}

// replied handles what a server said.
func (a *attempt) replied(f *flight, r reply) {
	if f.ended {
		return
	}
	h := a.host
	now := h.world.engine.now
	if r.result == chivehillbalance.Drains && h.world.off == DrainMark {
		r.result = chivehillbalance.Unused
	}
	a.close(f, chivehillbalance.Finish{Result: r.result, Took: now - f.at, Cold: r.cold})
	switch {
	case r.result == chivehillbalance.Good:
		if a.ended {
			return
		}
		h.delay.Observe(now - f.at)
		a.finish(answer{outcome: chivehillreason.Done})
	case r.result == chivehillbalance.Failed:
		// The server's own answer, an error, is passed on.
		a.sent = true
		a.finish(answer{outcome: chivehillreason.Done, reason: chivehillreason.ServerBroke})
	case r.serverNotRun:
		a.failed(chivehillreason.ServerRefused, true)
	default:
		a.sent = true
		may := a.call.idempotent || h.world.off == RetryJudgement
		if h.cluster != nil {
			may = (h.killed(a.call) || h.world.off == RetryJudgement) && may
		}
		a.failed(chivehillreason.ServerBroke, may)
	}
}

// failed ends the attempt or sends it again.
func (a *attempt) failed(reason chivehillreason.Reason, may bool) {
	if a.ended || a.open > 0 {
		return
	}
	if !may {
		a.end(reason)
		return
	}
	a.again(reason)
}

func (a *attempt) again(reason chivehillreason.Reason) {
	if len(a.used) >= maxSends || !a.host.retries.Take() {
		a.end(reason)
		return
	}
	a.host.submit(a, false)
}

// end refuses the request.
func (a *attempt) end(reason chivehillreason.Reason) {
	outcome := chivehillreason.NotRun
	if a.sent || a.open > 0 {
		outcome = chivehillreason.Unknown
	}
	a.finish(answer{outcome: outcome, reason: reason})
}

// finish answers the caller and cancels what is still open.
func (a *attempt) finish(r answer) {
	if a.ended {
		return
	}
	a.ended = true
	if a.call.idempotent {
		a.cancelOpen()
	}
	a.reply(r)
}

func (a *attempt) cancelOpen() {
	h := a.host
	for _, f := range a.flights {
		if f.ended {
			continue
		}
		h.world.network.send(h.end, f.to.end, 0, func() { f.to.cancel(f.job) })
		result := chivehillbalance.Cancelled
		if h.world.engine.now >= a.call.deadline {
			result = chivehillbalance.Silent
		}
		a.close(f, chivehillbalance.Finish{Result: result, Took: h.world.engine.now - f.at})
	}
}

// deadline ends the attempt when its time is over. A non-idempotent request is
// left at its server; its late answer is still taken.
func (a *attempt) deadline() {
	if !a.ended {
		a.end(chivehillreason.DeadlinePassed)
	}
	if a.call.idempotent || a.open == 0 {
		return
	}
	a.host.later(lateAnswer, func() {
		for _, f := range a.flights {
			if !f.ended {
				a.close(f, chivehillbalance.Finish{Result: chivehillbalance.Silent})
			}
		}
	})
}
