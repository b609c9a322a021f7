package chivehillbalance

import (
	"maps"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// lateAnswerTimeout is how long after the deadline the holder of a slot may still
	// wait for the response to a non-idempotent request.
	lateAnswerTimeout = 11 * chivehillclock.Second
	// lostHolderTimeout is how long after the deadline a server may still run a
	// request whose slot holder is no longer a peer.
	lostHolderTimeout = chivehillclock.Second
)

// minTimeShare is the fraction of the average latency that must be left before
// the deadline for a request to be started.
const minTimeShare = 0.5

// cancelDelay is the time within which a server notices that a request was cancelled.
const cancelDelay = 50 * chivehillclock.Millisecond

// grant is a granted slot.
type grant struct {
	server chivehillid.ServerID
	// to is the host that holds the slot, which may be this host.
	to chivehillid.HostID
	// requestDeadline is the deadline of the request.
	requestDeadline chivehillclock.Millis
	// expires is the time at which the slot is reclaimed if its holder does not release it.
	expires chivehillclock.Millis
	// pendingFinish is the result to record at expires. It is set while a cold server
	// may still run a request that was cancelled or timed out.
	pendingFinish *Finish
}

// grantSlot grants a slot of s to an entry.
func (p *Pool) grantSlot(now chivehillclock.Millis, s *server, e *entry) {
	cold := !s.warm
	if cold {
		chivehillinvariant.Assert(s.inFlight < s.limit, chivehillinvariant.ColdLimit,
			"cold server %s already has %d of %d requests in flight", s.id, s.inFlight, s.limit)
	}
	chivehillinvariant.Assert(!s.outOfService, chivehillinvariant.DomainOut, "server %s is out of service", s.id)
	chivehillinvariant.Assert(!s.draining, chivehillinvariant.Draining, "server %s is draining", s.id)
	s.inFlight++
	p.nextGrant++
	id := p.nextGrant
	p.grants[id] = &grant{server: s.id, to: e.key.from, requestDeadline: e.requestDeadline, expires: e.requestDeadline + lateAnswerTimeout}
	valid := p.config.GrantValid
	if cold && p.config.ColdUnconfirmed == 0 {
		chivehillinvariant.Assert(now < p.confirmedUntil && now >= s.exclusiveFrom, chivehillinvariant.ConfirmedOwner,
			"server %s is cold and its ownership is not confirmed", s.id)
		valid = min(valid, p.confirmedUntil-now)
	}
	if e.key.from == p.config.Self {
		p.acceptGrant(now, RequestID(e.key.ask), Dispatch{
			Request: RequestID(e.key.ask), Owner: p.config.Self, Grant: id, Server: s.id, ValidUntil: now + valid, Cold: cold,
		})
		return
	}
	p.out.to(e.key.from).Grants = append(p.out.to(e.key.from).Grants, chivehillwire.Grant{
		Ask: e.key.ask, Grant: id, Server: s.id, ValidMs: valid, Cold: cold,
	})
}

// endGrant ends a grant whose slot was released. Unknown grants are ignored: they
// expired or their server moved to another owner.
func (p *Pool) endGrant(now chivehillclock.Millis, from chivehillid.HostID, f Finish) {
	g := p.grants[f.Grant]
	if g == nil || g.to != from {
		return
	}
	if s := p.servers[g.server]; s != nil && !s.warm && g.pendingFinish == nil && (f.Result == Cancelled || f.Result == Silent) {
		// The server may still run the request until it notices the cancellation.
		g.pendingFinish = &f
		g.expires = now + cancelDelay
		return
	}
	delete(p.grants, f.Grant)
	p.recordServerResult(now, g.server, f)
	p.serveWaiting(now)
}

// recordServerResult records the result of a request at an owned or retired server.
func (p *Pool) recordServerResult(now chivehillclock.Millis, id chivehillid.ServerID, f Finish) {
	if s := p.servers[id]; s != nil {
		s.recordResult(now, f, p.averageLatency, p.config)
		return
	}
	s := p.retired[id]
	if s == nil {
		return
	}
	s.recordResult(now, f, p.averageLatency, p.config)
	if s.inFlight == 0 {
		p.release(s)
	}
}

// shortenGrants brings forward the expiry of grants to hosts that are no longer peers.
func (p *Pool) shortenGrants(now chivehillclock.Millis) {
	for _, g := range p.grants {
		if g.to != p.config.Self && p.peers[g.to] == nil {
			g.expires = min(g.expires, max(now, g.requestDeadline)+lostHolderTimeout)
		}
	}
}

func (p *Pool) expireGrants(now chivehillclock.Millis) {
	for _, id := range slices.Sorted(maps.Keys(p.grants)) {
		g := p.grants[id]
		if now < g.expires {
			continue
		}
		delete(p.grants, id)
		if g.pendingFinish != nil {
			p.recordServerResult(now, g.server, *g.pendingFinish)
			continue
		}
		p.recordServerResult(now, g.server, Finish{Result: Silent, Took: chivehillclock.Minute})
	}
}

// serveWaiting grants available slots to queued entries.
func (p *Pool) serveWaiting(now chivehillclock.Millis) {
	for p.queue.len() > 0 && p.serveNext(now) {
	}
}

// serveNext grants a slot to one entry or denies it, and reports whether it did either.
func (p *Pool) serveNext(now chivehillclock.Millis) bool {
	slack := p.slack(now)
	for _, e := range p.queue.order() {
		if !p.inTime(now, e) {
			p.queue.remove(e.key)
			p.deny(now, e.key, chivehillreason.DeadlinePassed)
			return true
		}
		s := p.pick(now, e.exclude, slack)
		if s == nil {
			continue
		}
		p.queue.take(e)
		p.grantSlot(now, s, e)
		return true
	}
	return false
}

// slack returns how many requests beyond its slots a server may hold. It is larger
// with a long queue: requests wait long in any case, and slots that are idle
// during round trips cost capacity.
func (p *Pool) slack(now chivehillclock.Millis) chivehillid.Slots {
	if p.queue.len() > p.load(now).Limit {
		return p.config.BacklogSlack
	}
	return p.config.Slack
}

// inTime reports whether an entry may still wait and its request can be started in time.
func (p *Pool) inTime(now chivehillclock.Millis, e *entry) bool {
	return now < e.waitUntil && now+chivehillclock.Millis(minTimeShare*p.averageLatency) < e.requestDeadline
}

// enqueue queues an entry, or returns the reason why it cannot be queued.
func (p *Pool) enqueue(now chivehillclock.Millis, e *entry) chivehillreason.Reason {
	limit := p.load(now).Limit
	if !p.mayServe(e) {
		return chivehillreason.NoServer
	}
	if !p.config.Off.Admission && !p.fits(now, e, limit) {
		return chivehillreason.Overload
	}
	p.queue.push(e)
	p.serveWaiting(now)
	return ""
}

// mayServe reports whether any owned server can serve an entry without a
// change of configuration or ownership.
func (p *Pool) mayServe(e *entry) bool {
	for _, s := range p.servers {
		if !s.outOfService && !s.draining && !slices.Contains(e.exclude, s.id) {
			return true
		}
	}
	return false
}

// fits reports whether the tenant's share of the slots can serve the entry by
// its deadline.
func (p *Pool) fits(now chivehillclock.Millis, e *entry, limit int) bool {
	share := p.queue.active()
	if p.queue.tenantLen(e.tenant) == 0 {
		share++
	}
	ahead := min(p.queue.len(), p.queue.tenantLen(e.tenant)*max(1, share))
	wait := p.expectedWait(max(1, limit), ahead)
	return now+wait <= e.waitUntil && now+wait+chivehillclock.Millis(p.averageLatency) <= e.requestDeadline
}

// deny rejects a slot request.
func (p *Pool) deny(now chivehillclock.Millis, key slotRequestKey, reason chivehillreason.Reason) {
	if key.from == p.config.Self {
		p.handleDenial(now, RequestID(key.ask), p.config.Self, reason)
		return
	}
	p.out.to(key.from).Denials = append(p.out.to(key.from).Denials, chivehillwire.Denial{Ask: key.ask, Reason: string(reason)})
}

func (p *Pool) denyAll(now chivehillclock.Millis, reason chivehillreason.Reason) {
	for _, e := range p.queue.all() {
		p.queue.remove(e.key)
		p.deny(now, e.key, reason)
	}
}

// handleSlotRequest handles a slot request from a peer.
func (p *Pool) handleSlotRequest(now chivehillclock.Millis, from chivehillid.HostID, a chivehillwire.Ask) {
	e := &entry{
		key: slotRequestKey{from: from, ask: a.Ask}, waitUntil: now + a.WaitMs, requestDeadline: now + a.LeftMs,
		tenant: a.Tenant, exclude: a.Exclude,
	}
	if p.queue.len() == 0 {
		if s := p.pick(now, e.exclude, 0); s != nil {
			p.grantSlot(now, s, e)
			return
		}
	}
	if a.WaitMs <= 0 {
		p.deny(now, e.key, chivehillreason.NoIdleSlot)
		return
	}
	if reason := p.enqueue(now, e); reason != "" {
		p.deny(now, e.key, reason)
	}
}
