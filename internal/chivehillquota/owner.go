package chivehillquota

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// unknownRetry is when callers of a workspace that the owner does not know yet come back.
const unknownRetry = 200 * chivehillclock.Millisecond

// Owner grants tokens from the shares that hosts commit to it. Every host has one; those
// to which no host commits grant nothing. It takes the time as an argument and is not safe
// for concurrent use.
type Owner struct {
	bounds Bounds
	// countsFrom is when the first members count. By then what an earlier run of this host
	// has lent is over.
	countsFrom chivehillclock.Millis
	members    map[chivehillid.HostID]member
	// share is the sum of the members' shares, at most 1.
	share float64
	// shareTime is share integrated over time, in milliseconds.
	shareTime float64
	// at is the time up to which shareTime holds.
	at      chivehillclock.Millis
	buckets map[chivehillid.WorkspaceID]*bucket
	notices []Notice
}

// member is a host that has committed its share.
type member struct {
	share float64
	until chivehillclock.Millis
}

// NewOwner returns an owner to which no host has committed.
func NewOwner(b Bounds, now chivehillclock.Millis) *Owner {
	return &Owner{bounds: b, at: now, countsFrom: now + LoanTerm, members: make(map[chivehillid.HostID]member), buckets: make(map[chivehillid.WorkspaceID]*bucket)}
}

// SetBounds changes the bounds.
func (o *Owner) SetBounds(now chivehillclock.Millis, b Bounds) {
	o.advance(now)
	o.bounds = b
	o.settleAll()
}

// SetWorkspaces takes the quotas over from a configuration. A bucket is cut to a lower
// quota at once; a new one begins empty.
func (o *Owner) SetWorkspaces(now chivehillclock.Millis, workspaces map[chivehillid.WorkspaceID]chivehillcatalog.Workspace) {
	o.advance(now)
	for id, b := range o.buckets {
		w, listed := workspaces[id]
		if !listed {
			delete(o.buckets, id)
			continue
		}
		o.settle(b)
		b.quota = w.Quota
		o.settle(b)
	}
	for id, w := range workspaces {
		if o.buckets[id] == nil {
			o.buckets[id] = newBucket(w.Quota, now, o.shareTime)
		}
	}
}

// Handle answers a request of a host.
func (o *Owner) Handle(now chivehillclock.Millis, from chivehillid.HostID, ask chivehillwire.QuotaAsk) chivehillwire.QuotaAnswer {
	o.advance(now)
	if ask.Stamp > 0 && ask.Stamp <= now {
		o.commit(from, ask)
	}
	answer := chivehillwire.QuotaAnswer{Stamp: now}
	for _, w := range ask.Wants {
		answer.Grants = append(answer.Grants, o.grant(now, w))
	}
	answer.Loans = o.lend(now, from, ask.Loans)
	return answer
}

// advance brings shareTime up to date and removes the members whose term has passed.
func (o *Owner) advance(now chivehillclock.Millis) {
	if now <= o.at {
		return
	}
	gained, left := 0.0, false
	for id, m := range o.members {
		gained += m.share * float64(max(0, min(now, m.until)-o.at))
		if m.until <= now {
			delete(o.members, id)
			left = true
		}
	}
	o.shareTime += min(gained, float64(now-o.at))
	o.at = now
	if left {
		o.updateShare()
	}
}

// commit adds the share of a host, or renews it.
func (o *Owner) commit(from chivehillid.HostID, ask chivehillwire.QuotaAsk) {
	until := ask.Stamp + Term
	if until <= o.at || o.at < o.countsFrom {
		return
	}
	old, found := o.members[from]
	o.members[from] = member{share: min(1, max(0, ask.Share)), until: max(old.until, until)}
	if found && old.share == o.members[from].share {
		return
	}
	o.updateShare()
	if !ask.Fresh {
		return
	}
	for _, b := range o.buckets {
		b.tokens += o.bounds.starting(b.quota) * o.members[from].share
		o.settle(b)
	}
}

// updateShare computes the share after a change of the members. The buckets are settled
// first to the shares of before and then to the new one.
func (o *Owner) updateShare() {
	sum := 0.0
	for _, m := range o.members {
		sum += m.share
	}
	o.share = min(1, sum)
	o.settleAll()
}

func (o *Owner) settleAll() {
	for _, b := range o.buckets {
		o.settle(b)
	}
}

// settle brings a bucket up to the time of the owner.
func (o *Owner) settle(b *bucket) {
	b.settle(o.at, o.shareTime, o.share, o.bounds.capacity(b.quota))
}

// grant grants as many of the tokens asked for as there are.
func (o *Owner) grant(now chivehillclock.Millis, w chivehillwire.QuotaWant) chivehillwire.QuotaGrant {
	b := o.buckets[w.Workspace]
	switch {
	case w.Tokens <= 0:
		return chivehillwire.QuotaGrant{}
	case b == nil:
		return chivehillwire.QuotaGrant{RetryMs: unknownRetry}
	case !b.quota.Limited():
		return chivehillwire.QuotaGrant{Tokens: w.Tokens}
	}
	o.settle(b)
	n := b.take(now, w.Tokens)
	if n == w.Tokens {
		return chivehillwire.QuotaGrant{Tokens: n}
	}
	retry := b.refuse(now, w.Tokens-n, o.share)
	if !b.over {
		b.over = true
		o.notices = append(o.notices, o.notice(now, w.Workspace, b))
	}
	return chivehillwire.QuotaGrant{Tokens: n, RetryMs: retry}
}

func (o *Owner) notice(now chivehillclock.Millis, id chivehillid.WorkspaceID, b *bucket) Notice {
	return Notice{Workspace: id, Over: b.over, Quota: b.quota, Share: b.part(o.share), Demand: b.demand.perSecond(now)}
}

// Notices returns the workspaces that began or ceased to be over their quota since the
// last call.
func (o *Owner) Notices(now chivehillclock.Millis) []Notice {
	o.advance(now)
	for id, b := range o.buckets {
		if b.over && now-b.refusedAt >= overTime {
			b.over = false
			o.notices = append(o.notices, o.notice(now, id, b))
		}
	}
	notices := o.notices
	o.notices = nil
	return notices
}

// Members returns how many hosts have committed their share to the owner.
func (o *Owner) Members() int { return len(o.members) }

// Share returns the part of all quotas that was committed to the owner.
func (o *Owner) Share() float64 { return o.share }
