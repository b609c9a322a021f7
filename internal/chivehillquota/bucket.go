package chivehillquota

import (
	"math"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// slotLength is the resolution at which leases are counted.
	slotLength = 25 * chivehillclock.Millisecond
	// leaseSlots is one more than fit into a lease, since the oldest is partly over.
	leaseSlots = int64(Lease/slotLength) + 1
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * chivehillclock.Second
	// burstTime is the same for demand that begins at once.
	burstTime = 300 * chivehillclock.Millisecond
	// overTime is how long after its last refusal a workspace counts as over its quota.
	overTime = 5 * chivehillclock.Second
)

// bucket is what an owner keeps of one workspace.
type bucket struct {
	quota chivehillcatalog.Quota
	// tokens is not negative. Together with the leased ones it is at most the owner's part
	// of the capacity, except for leases that were given out while that part was larger.
	tokens float64
	// at is when the bucket was last settled.
	at chivehillclock.Millis
	// shareTime is the owner's shareTime at that time.
	shareTime float64
	leases    leases
	// lent holds the parts lent to each host.
	lent map[chivehillid.HostID]loans
	// borrowed holds the part borrowed from each host.
	borrowed map[chivehillid.HostID]loan
	// demand counts the tokens asked for; burst does over a shorter time.
	demand average
	burst  average
	// retryAt is when the caller that was refused last was told to come back.
	retryAt chivehillclock.Millis
	// refusedAt is when a caller was last refused. It is meaningful only if over is set.
	refusedAt chivehillclock.Millis
	over      bool
}

func newBucket(q chivehillcatalog.Quota, at chivehillclock.Millis, shareTime float64) *bucket {
	return &bucket{
		quota: q, at: at, shareTime: shareTime, demand: average{over: demandTime}, burst: average{over: burstTime},
		lent: make(map[chivehillid.HostID]loans), borrowed: make(map[chivehillid.HostID]loan),
	}
}

// settle adds the tokens of the time since the last call. shareTime is the owner's share
// integrated over time, share is the present one, capacity that of the whole quota.
func (b *bucket) settle(now chivehillclock.Millis, shareTime, share, capacity float64) {
	gained := shareTime - b.shareTime
	for _, l := range b.borrowed {
		gained += l.part * float64(max(0, min(now, l.until)-b.at))
	}
	for _, l := range b.lent {
		gained -= l.between(b.at, now)
	}
	b.at, b.shareTime = now, shareTime
	b.pruneLoans(now)
	most := max(0, capacity*b.part(share)-b.leases.sum(now))
	b.tokens = min(most, max(0, b.tokens+gained*perMillisecond(b.quota)))
}

// pruneLoans removes the loans that have ended.
func (b *bucket) pruneLoans(now chivehillclock.Millis) {
	for id, l := range b.borrowed {
		if l.until <= now {
			delete(b.borrowed, id)
		}
	}
	for id, l := range b.lent {
		if l = l.after(now); len(l) == 0 {
			delete(b.lent, id)
		} else {
			b.lent[id] = l
		}
	}
}

// own returns the part of the quota that the share leaves after what is lent. It is
// negative if the share shrank meanwhile. The bucket is settled.
func (b *bucket) own(share float64) float64 {
	for _, l := range b.lent {
		share -= l[0].part
	}
	return share
}

// part returns the part of the quota that the owner may grant. The bucket is settled.
func (b *bucket) part(share float64) float64 {
	part := b.own(share)
	for _, l := range b.borrowed {
		part += l.part
	}
	return min(1, max(0, part))
}

// take takes up to n tokens and returns how many. The bucket is settled.
func (b *bucket) take(now chivehillclock.Millis, n int) int {
	b.demand.add(now, float64(n))
	b.burst.add(now, float64(n))
	// tolerance absorbs rounding, so that one whole token is one.
	const tolerance = 1e-9
	n = min(n, int(math.Floor(b.tokens+tolerance)))
	b.tokens = max(0, b.tokens-float64(n))
	b.leases.add(now, float64(n))
	return n
}

// refuse records n refused requests and returns when their callers should come back: when
// enough tokens have come for them and for those who were refused before.
func (b *bucket) refuse(now chivehillclock.Millis, n int, share float64) chivehillclock.Millis {
	b.refusedAt = now
	perToken := maxRetry
	if rate := perMillisecond(b.quota) * b.part(share); rate > 0 {
		perToken = min(maxRetry, chivehillclock.Millis(1/rate))
	}
	b.retryAt = min(now+maxRetry, max(now, b.retryAt)+perToken*chivehillclock.Millis(n))
	return max(minRetry, b.retryAt-now)
}

// leases counts the tokens that were granted within the last Lease.
type leases struct {
	counts [leaseSlots]float64
	// newest is the number of the newest slot.
	newest int64
}

func (l *leases) move(now chivehillclock.Millis) {
	slot := int64(now / slotLength)
	for i := max(l.newest+1, slot-leaseSlots+1); i <= slot; i++ {
		l.counts[i%leaseSlots] = 0
	}
	l.newest = max(l.newest, slot)
}

func (l *leases) add(now chivehillclock.Millis, n float64) {
	l.move(now)
	l.counts[l.newest%leaseSlots] += n
}

func (l *leases) sum(now chivehillclock.Millis) float64 {
	l.move(now)
	sum := 0.0
	for _, n := range l.counts {
		sum += n
	}
	return sum
}

// average is an exponentially weighted rate of events.
type average struct {
	over  chivehillclock.Millis
	count float64
	at    chivehillclock.Millis
}

func (a *average) add(now chivehillclock.Millis, n float64) {
	a.decay(now)
	a.count += n
}

func (a *average) perSecond(now chivehillclock.Millis) float64 {
	a.decay(now)
	return a.count / float64(a.over/chivehillclock.Second)
}

func (a *average) decay(now chivehillclock.Millis) {
	if now > a.at {
		a.count *= math.Exp(-float64((now - a.at) / a.over))
		a.at = now
	}
}
