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
	origin     location
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

// answer is the final result of a request.
type answer struct {
	outcome chivehillreason.Outcome
	reason  chivehillreason.Reason
}

const (
	hedgePercent = 5
	retryPercent = 10
	shareBurst   = 10
	// maxSends limits the attempts of one request.
	maxSends = 4
	// lateAnswer is the time after the deadline for which the answer to a
	// non-idempotent request is still awaited.
	lateAnswer = 10 * chivehillclock.Second
	tickPeriod = 5 * chivehillclock.Millisecond
	idleTicks  = 10
	// messageBytes is the size of a message about a slot.
	messageBytes = 150
)

// world is the state shared by all hosts of a run.
type world struct {
	engine    *engine
	network   *network
	hosts     []*host
	servers   map[chivehillid.ServerID]*server
	serverIDs []chivehillid.ServerID
	record    *record
	hedging   bool
	// disabled is the mechanism that is switched off, empty for none.
	disabled Mechanism
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

func (w *world) addViolation(invariant, detail string) {
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
	world    *world
	id       chivehillid.HostID
	endpoint endpoint
	// generation increases with each restart; events of earlier generations are
	// dropped.
	generation int
	dead       bool
	paused     bool
	inbox      []func()

	pool        *chivehillbalance.Pool
	delay       *chivehillhedge.Delay
	hedgeBudget *chivehillbudget.Share
	retryBudget *chivehillbudget.Share
	next        chivehillbalance.RequestID
	pending     map[chivehillbalance.RequestID]*slotWait
	ticking     bool
	// cluster is nil in the benchmark.
	cluster *clusterState

	// weight is the share of calls that callers send here, 0 for an even share.
	weight      int
	remoteSlots int
	requests    int
}

func newHost(w *world, id chivehillid.HostID, p location) *host {
	h := &host{world: w, id: id, endpoint: endpoint{name: string(id), location: p, control: true}}
	h.reset()
	return h
}

// reset discards all state, as a restart does.
func (h *host) reset() {
	h.generation++
	h.inbox = nil
	h.pool = nil
	h.delay = chivehillhedge.NewDelay()
	h.hedgeBudget = chivehillbudget.NewShare(hedgePercent, shareBurst)
	h.retryBudget = chivehillbudget.NewShare(retryPercent, shareBurst)
	h.pending = make(map[chivehillbalance.RequestID]*slotWait)
	h.ticking = false
}

// execute runs do at the host: at once, on resume if the host is paused, or not
// at all if the host has died or restarted since.
func (h *host) execute(generation int, do func()) {
	switch {
	case h.dead || generation != h.generation:
	case h.paused:
		h.inbox = append(h.inbox, func() { h.execute(generation, do) })
	default:
		do()
	}
}

// later runs do at the host after the delay d.
func (h *host) later(d chivehillclock.Millis, do func()) {
	generation := h.generation
	h.world.engine.after(d, func() { h.execute(generation, do) })
}

// resume ends a pause and runs what arrived during it.
func (h *host) resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// request is one request at its entry host.
type request struct {
	host *host
	call *call
	// sendID identifies the transmission by the caller in the records.
	sendID       string
	tried        []chivehillid.ServerID
	attempts     []*attempt
	openAttempts int
	// maybeStarted is set once a server may have started the request.
	maybeStarted bool
	hedged       bool
	ended        bool
	reply        func(answer)
}

// slotWait is a request that waits for a slot.
type slotWait struct {
	request *request
	hedge   bool
}

// attempt is one transmission of a request to a server.
type attempt struct {
	slot  chivehillbalance.Dispatch
	job   *job
	to    *server
	at    chivehillclock.Millis
	ended bool
}

// startRequest starts a request. reply is called once.
func (h *host) startRequest(c *call, sendID string, reply func(answer)) {
	q := &request{host: h, call: c, sendID: sendID, reply: reply}
	h.hedgeBudget.Deposit()
	h.retryBudget.Deposit()
	h.requests++
	h.submit(q, false)
	left := c.deadline - h.world.engine.now
	h.later(left, q.expire)
}

func (h *host) submit(q *request, hedge bool) {
	h.next++
	h.pending[h.next] = &slotWait{request: q, hedge: hedge}
	until := q.call.deadline
	if hedge {
		until = min(until, h.world.engine.now+chivehillhedge.MaxWait)
	}
	h.handle(chivehillbalance.Submit{Request: chivehillbalance.Request{
		ID: h.next, Deadline: q.call.deadline, Tenant: q.call.tenant, Regions: q.call.regions,
		WaitUntil: until, NoSlack: hedge, Exclude: slices.Clone(q.tried), LinkOpen: h.cluster != nil && !hedge,
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
			h.sendPoolMessages(a)
		case chivehillbalance.Released:
			if h.cluster != nil {
				h.released(a)
			}
		}
	}
	h.scheduleTick()
}

func (h *host) scheduleTick() {
	if h.ticking || !h.pool.Busy() {
		return
	}
	h.ticking = true
	h.later(tickPeriod, func() {
		h.ticking = false
		h.handle(chivehillbalance.Tick{})
	})
}

func (h *host) sendPoolMessages(s chivehillbalance.Send) {
	to := h.world.host(s.To)
	if to == nil || to.dead {
		return
	}
	issued := h.world.engine.now
	generation := to.generation
	h.world.network.send(h.endpoint, to.endpoint, messageBytes, func() {
		to.execute(generation, func() {
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
	if t == nil || t.request.ended {
		h.returnSlot(d)
		return
	}
	q := t.request
	if !h.usable(q, d) {
		h.returnSlot(d)
		if q.openAttempts == 0 && !t.hedge {
			q.retry(chivehillreason.SlotExpired)
		}
		return
	}
	if d.Owner != h.id {
		h.remoteSlots++
	}
	q.sendToServer(d)
}

func (h *host) returnSlot(d chivehillbalance.Dispatch) {
	h.handle(chivehillbalance.Finish{Owner: d.Owner, Grant: d.Grant, Result: chivehillbalance.Unused})
}

// usable checks a slot right before the request is sent.
func (h *host) usable(q *request, d chivehillbalance.Dispatch) bool {
	now := h.world.engine.now
	if now >= d.ValidUntil || now >= q.call.deadline {
		return false
	}
	return h.cluster == nil || h.mayUse(q, d)
}

func (h *host) refused(r chivehillbalance.Refuse) {
	t := h.pending[r.Request]
	delete(h.pending, r.Request)
	if t == nil || t.hedge || t.request.ended || t.request.openAttempts > 0 {
		return
	}
	t.request.fail(r.Reason)
}

// sendToServer sends the request to the server of a slot.
func (q *request) sendToServer(d chivehillbalance.Dispatch) {
	h := q.host
	w := h.world
	s := w.servers[d.Server]
	work := q.call.work
	if len(q.tried) > 0 {
		work = q.call.hedge
	}
	f := &attempt{slot: d, to: s, at: w.engine.now}
	f.job = &job{call: q.call, from: h, sendID: q.sendID, work: work, sentAt: w.engine.now}
	q.tried = append(q.tried, d.Server)
	q.attempts = append(q.attempts, f)
	q.openAttempts++
	generation := h.generation
	f.job.reply = func(r reply) {
		w.network.send(s.endpoint, h.endpoint, 0, func() { h.execute(generation, func() { q.handleReply(f, r) }) })
	}
	if !w.network.send(h.endpoint, s.endpoint, 0, func() { s.arrive(f.job) }) {
		h.later(delayOtherDomain, func() { q.unreachable(f) })
		return
	}
	if q.call.idempotent && w.hedging && len(q.tried) == 1 {
		h.later(h.delay.Delay(), q.hedge)
	}
}

// hedge sends a second copy if the first is unanswered and the budget allows it.
func (q *request) hedge() {
	if q.ended || q.hedged || q.openAttempts != 1 || !q.host.hedgeBudget.Take() {
		return
	}
	q.hedged = true
	q.host.submit(q, true)
}

func (q *request) unreachable(f *attempt) {
	if f.ended {
		return
	}
	q.closeAttempt(f, chivehillbalance.Finish{Result: chivehillbalance.Killed})
	q.attemptFailed(chivehillreason.ServerUnreachable, true)
}

// closeAttempt ends an attempt and returns its slot.
func (q *request) closeAttempt(f *attempt, e chivehillbalance.Finish) {
	f.ended = true
	q.openAttempts--
	e.Owner = f.slot.Owner
	e.Grant = f.slot.Grant
	q.host.handle(e)
}

// handleReply handles the reply of a server.
func (q *request) handleReply(f *attempt, r reply) {
	if f.ended {
		return
	}
	h := q.host
	now := h.world.engine.now
	if r.result == chivehillbalance.Drains && h.world.disabled == DrainMark {
		r.result = chivehillbalance.Unused
	}
	q.closeAttempt(f, chivehillbalance.Finish{Result: r.result, Took: now - f.at, Cold: r.cold})
	switch {
	case r.result == chivehillbalance.Good:
		if q.ended {
			return
		}
		h.delay.Observe(now - f.at)
		q.finish(answer{outcome: chivehillreason.Done})
	case r.result == chivehillbalance.Failed:
		// The server's own answer, an error, is passed on.
		q.maybeStarted = true
		q.finish(answer{outcome: chivehillreason.Done, reason: chivehillreason.ServerBroke})
	case r.serverNotRun:
		q.attemptFailed(chivehillreason.ServerRefused, true)
	default:
		q.maybeStarted = true
		mayRetry := q.call.idempotent || h.world.disabled == RetryJudgement
		if h.cluster != nil {
			mayRetry = (h.recordKill(q.call) || h.world.disabled == RetryJudgement) && mayRetry
		}
		q.attemptFailed(chivehillreason.ServerBroke, mayRetry)
	}
}

// attemptFailed retries the request if mayRetry is set, and refuses it otherwise.
func (q *request) attemptFailed(reason chivehillreason.Reason, mayRetry bool) {
	if q.ended || q.openAttempts > 0 {
		return
	}
	if !mayRetry {
		q.fail(reason)
		return
	}
	q.retry(reason)
}

func (q *request) retry(reason chivehillreason.Reason) {
	if len(q.tried) >= maxSends || !q.host.retryBudget.Take() {
		q.fail(reason)
		return
	}
	q.host.submit(q, false)
}

// fail refuses the request. The outcome is unknown if a server may have run it.
func (q *request) fail(reason chivehillreason.Reason) {
	outcome := chivehillreason.NotRun
	if q.maybeStarted || q.openAttempts > 0 {
		outcome = chivehillreason.Unknown
	}
	q.finish(answer{outcome: outcome, reason: reason})
}

// finish answers the caller. It cancels open attempts of an idempotent request.
func (q *request) finish(r answer) {
	if q.ended {
		return
	}
	q.ended = true
	if q.call.idempotent {
		q.cancelOpen()
	}
	q.reply(r)
}

func (q *request) cancelOpen() {
	h := q.host
	for _, f := range q.attempts {
		if f.ended {
			continue
		}
		h.world.network.send(h.endpoint, f.to.endpoint, 0, func() { f.to.cancel(f.job) })
		result := chivehillbalance.Cancelled
		if h.world.engine.now >= q.call.deadline {
			result = chivehillbalance.Silent
		}
		q.closeAttempt(f, chivehillbalance.Finish{Result: result, Took: h.world.engine.now - f.at})
	}
}

// expire fails the request at its deadline. A non-idempotent request keeps
// running at its server, and its late reply is still accepted.
func (q *request) expire() {
	if !q.ended {
		q.fail(chivehillreason.DeadlinePassed)
	}
	if q.call.idempotent || q.openAttempts == 0 {
		return
	}
	q.host.later(lateAnswer, func() {
		for _, f := range q.attempts {
			if !f.ended {
				q.closeAttempt(f, chivehillbalance.Finish{Result: chivehillbalance.Silent})
			}
		}
	})
}
