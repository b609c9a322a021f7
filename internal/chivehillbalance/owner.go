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
	// lateAnswer is the time after the deadline for which a holder may still wait
	// for the answer to a non-idempotent request.
	lateAnswer = 11 * chivehillclock.Second
	// lostHolder is the time after the deadline for which a server may still run
	// a request whose holder is gone.
	lostHolder = chivehillclock.Second
)

// leastShare of the typical time must be left for a request to be started.
const leastShare = 0.5

// cancelTime is the time within which a server notices that a request was given up.
const cancelTime = 50 * chivehillclock.Millisecond

// grant is a slot that is in use.
type grant struct {
	server chivehillid.ServerID
	// to is the host that holds the slot; this host included.
	to chivehillid.HostID
	// runUntil is the deadline of the request.
	runUntil chivehillclock.Millis
	// expires is the time at which the slot is taken back if its holder is never heard of again.
	expires chivehillclock.Millis
	// ending is set while a cold server may still run a request that was given up.
	ending *Finish
}

// grantSlot gives a slot of s to an entry.
func (p *Pool) grantSlot(now chivehillclock.Millis, s *server, e *entry) {
	cold := !s.warm
	if cold {
		chivehillinvariant.Assert(s.inFlight < s.limit, chivehillinvariant.ColdLimit,
			"server %s has %d of %d in flight", s.id, s.inFlight, s.limit)
	}
	chivehillinvariant.Assert(!s.out, chivehillinvariant.DomainOut, "server %s is out of service", s.id)
	chivehillinvariant.Assert(!s.draining, chivehillinvariant.Draining, "server %s drains", s.id)
	s.inFlight++
	p.nextGrant++
	id := p.nextGrant
	p.grants[id] = &grant{server: s.id, to: e.key.from, runUntil: e.runUntil, expires: e.runUntil + lateAnswer}
	valid := p.config.GrantValid
	if cold && p.config.ColdUnconfirmed == 0 {
		chivehillinvariant.Assert(now < p.confirmedUntil && now >= s.confirmedFrom, chivehillinvariant.ConfirmedOwner,
			"server %s is cold and its owner is not confirmed", s.id)
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

// settle takes a granted slot back. Unknown grants are ignored: they expired or
// their server moved to another owner.
func (p *Pool) settle(now chivehillclock.Millis, from chivehillid.HostID, f Finish) {
	l := p.grants[f.Grant]
	if l == nil || l.to != from {
		return
	}
	if s := p.servers[l.server]; s != nil && !s.warm && l.ending == nil && (f.Result == Cancelled || f.Result == Silent) {
		// The server may still run the request until it notices.
		l.ending = &f
		l.expires = now + cancelTime
		return
	}
	delete(p.grants, f.Grant)
	p.settleServer(now, l.server, f)
	p.serveWaiting(now)
}

// settleServer records the result of a request at an owned or retired server.
func (p *Pool) settleServer(now chivehillclock.Millis, id chivehillid.ServerID, f Finish) {
	if s := p.servers[id]; s != nil {
		s.settle(now, f, p.typical, p.config)
		return
	}
	s := p.retired[id]
	if s == nil {
		return
	}
	s.settle(now, f, p.typical, p.config)
	if s.inFlight == 0 {
		p.release(s)
	}
}

// shortenGrants takes back the slots of holders that are gone sooner.
func (p *Pool) shortenGrants(now chivehillclock.Millis) {
	for _, l := range p.grants {
		if l.to != p.config.Self && p.peers[l.to] == nil {
			l.expires = min(l.expires, max(now, l.runUntil)+lostHolder)
		}
	}
}

func (p *Pool) expireGrants(now chivehillclock.Millis) {
	for _, g := range slices.Sorted(maps.Keys(p.grants)) {
		l := p.grants[g]
		if now < l.expires {
			continue
		}
		delete(p.grants, g)
		if l.ending != nil {
			p.settleServer(now, l.server, *l.ending)
			continue
		}
		p.settleServer(now, l.server, Finish{Result: Silent, Took: chivehillclock.Minute})
	}
}

// serveWaiting gives free slots to waiting entries.
func (p *Pool) serveWaiting(now chivehillclock.Millis) {
	for p.queue.len() > 0 && p.serveNext(now) {
	}
}

// serveNext serves one entry and reports whether it could.
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

// slack returns how many requests beyond its slots a server may hold. A long
// queue takes more: each wait is long then, and idle round trips cost capacity.
func (p *Pool) slack(now chivehillclock.Millis) chivehillid.Slots {
	if p.queue.len() > p.load(now).Limit {
		return p.config.BacklogSlack
	}
	return p.config.Slack
}

// inTime reports whether an entry may still wait and can end in time.
func (p *Pool) inTime(now chivehillclock.Millis, e *entry) bool {
	return now < e.deadline && now+chivehillclock.Millis(leastShare*p.typical) < e.runUntil
}

// enqueue lets an entry wait here, or returns why it cannot.
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
		if !s.out && !s.draining && !slices.Contains(e.exclude, s.id) {
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
	return now+wait <= e.deadline && now+wait+chivehillclock.Millis(p.typical) <= e.runUntil
}

// deny tells the sender of an ask that it gets no slot here.
func (p *Pool) deny(now chivehillclock.Millis, key askKey, reason chivehillreason.Reason) {
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

// handleAsk handles an ask of a peer.
func (p *Pool) handleAsk(now chivehillclock.Millis, from chivehillid.HostID, a chivehillwire.Ask) {
	e := &entry{
		key: askKey{from: from, ask: a.Ask}, deadline: now + a.WaitMs, runUntil: now + a.LeftMs,
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
