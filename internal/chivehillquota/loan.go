package chivehillquota

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// demandMargin is how much more than its demand an owner keeps or asks for, since
	// demand varies.
	demandMargin = 1.3
	// keptPart is the part of its share that an owner keeps without demand, so that the
	// first callers of its region find tokens.
	keptPart = 0.04
	// lowTime is the time, in seconds, for which the tokens of an owner that does not ask for
	// a loan must last: two rounds of requests.
	lowTime = 2 * float64(LoanPeriod/chivehillclock.Second)
	// keptTokens is how many tokens an owner keeps, or asks for, as soon as it has few: the
	// requests of small workspaces come at random, now in one region, now in the other.
	keptTokens = 4
	// activeDemand is the number of requests a second from which on an owner with demand for
	// a workspace keeps tokens: the last request is about six seconds ago.
	activeDemand = 0.025
	// minLoan is the smallest part worth a message between regions.
	minLoan = 0.02
	// lowLevel and highLevel are the parts of its capacity below which an owner begins to
	// ask for a loan, and up to which it goes on. With more it waits: the demand of small
	// workspaces varies much.
	lowLevel  = 0.5
	highLevel = 0.95
)

// loan is a part of a quota that one owner has given to another for some time.
type loan struct {
	part  float64
	until chivehillclock.Millis
}

// loans are the loans to one host of which the largest counts. They are in the order of
// their ends, and each is larger than the next.
type loans []loan

// with returns the loans and a further one, which ends last.
func (l loans) with(next loan) loans {
	return append(slices.DeleteFunc(l, func(e loan) bool { return e.part <= next.part }), next)
}

// after returns the loans that last beyond a time.
func (l loans) after(now chivehillclock.Millis) loans {
	return slices.DeleteFunc(l, func(e loan) bool { return e.until <= now })
}

// between returns the largest part, integrated over the time from one point to another.
func (l loans) between(from, to chivehillclock.Millis) float64 {
	sum := 0.0
	for _, e := range l {
		if end := min(to, e.until); end > from {
			sum += e.part * float64(end-from)
			from = end
		}
	}
	return sum
}

// needed returns the part of a quota that a demand needs.
func (b *bucket) needed(perSecond float64) float64 {
	return perSecond * demandMargin / b.quota.PerSecond
}

// level returns how full a bucket is, from 0 to 1. It is settled.
func (o *Owner) level(b *bucket) float64 {
	most := o.bounds.capacity(b.quota) * b.part(o.share)
	if most <= 0 {
		return 0
	}
	return b.tokens / most
}

// LoanWants returns the parts to ask the owners of other regions for.
func (o *Owner) LoanWants(now chivehillclock.Millis) []chivehillwire.QuotaLoan {
	o.advance(now)
	var wants []chivehillwire.QuotaLoan
	if o.share == 0 {
		return nil
	}
	for id, b := range o.buckets {
		if part := o.loanWanted(now, b); part >= minLoan {
			wants = append(wants, chivehillwire.QuotaLoan{Workspace: id, Part: part})
		}
	}
	return wants
}

// loanWanted returns the part that the demand needs, or that a borrower needs to go on
// holding the tokens that it has.
func (o *Owner) loanWanted(now chivehillclock.Millis, b *bucket) float64 {
	if !b.quota.Limited() {
		return 0
	}
	o.settle(b)
	if b.demand.perSecond(now) <= activeDemand {
		return 0
	}
	level, held := lowLevel, 0.0
	if len(b.borrowed) > 0 {
		level, held = highLevel, b.tokens/o.bounds.capacity(b.quota)
	}
	demand, needed := max(b.demand.perSecond(now), b.burst.perSecond(now)), 0.0
	if o.level(b) <= level || b.tokens < demand*lowTime {
		needed = b.needed(demand)
	}
	own := max(0, b.own(o.share))
	if o.level(b) <= lowLevel && b.tokens < keptTokens {
		needed = max(needed, own+keptTokens/o.bounds.capacity(b.quota))
	}
	return min(1, max(needed, held)) - own
}

// lend returns the parts that this owner lends to another one, and subtracts them from
// its own. It keeps what the demand of its own region needs.
func (o *Owner) lend(now chivehillclock.Millis, to chivehillid.HostID, wants []chivehillwire.QuotaLoan) []chivehillwire.QuotaLoan {
	var lent []chivehillwire.QuotaLoan
	for _, w := range wants {
		part, tokens := 0.0, 0.0
		if b := o.buckets[w.Workspace]; b != nil && b.quota.Limited() {
			part, tokens = o.lendOne(now, to, b, w.Part)
		}
		lent = append(lent, chivehillwire.QuotaLoan{Workspace: w.Workspace, Part: part, Tokens: tokens})
	}
	return lent
}

// keptFor returns the smallest part with which a demand finds tokens for the time of a
// loan, with those that the bucket holds and those that come.
func (o *Owner) keptFor(b *bucket, perSecond float64) float64 {
	const seconds = 2 * float64(LoanTerm/chivehillclock.Second)
	tokens, come := perSecond*demandMargin*seconds, b.quota.PerSecond*seconds
	return max((tokens-b.tokens)/come, tokens/(come+o.bounds.capacity(b.quota)))
}

// lendOne lends a part of one quota, and the tokens that its bucket cannot hold any more.
// An owner that borrows for demand of its own and has few tokens does not lend: parts
// would go to and fro.
func (o *Owner) lendOne(now chivehillclock.Millis, to chivehillid.HostID, b *bucket, wanted float64) (part, tokens float64) {
	o.settle(b)
	if len(b.borrowed) > 0 && b.demand.perSecond(now) > activeDemand && o.level(b) < lowLevel {
		return 0, 0
	}
	kept := keptPart * o.share
	if demand := b.demand.perSecond(now); demand > activeDemand {
		kept = max(o.keptFor(b, demand), keptTokens/o.bounds.capacity(b.quota))
	}
	available := b.own(o.share) - kept
	if earlier := b.lent[to]; len(earlier) > 0 {
		available += earlier[0].part
	}
	part = min(wanted, available)
	if part < minLoan {
		return 0, 0
	}
	held := b.tokens
	b.lent[to] = b.lent[to].with(loan{part: part, until: now + LoanTerm})
	o.settle(b)
	return part, held - b.tokens
}

// Borrow records what another owner has lent. askedAt is when this one asked for it, which
// precedes the time from which the other one counts.
func (o *Owner) Borrow(now, askedAt chivehillclock.Millis, from chivehillid.HostID, lent []chivehillwire.QuotaLoan) {
	o.advance(now)
	for _, l := range lent {
		b := o.buckets[l.Workspace]
		if b == nil {
			continue
		}
		o.settle(b)
		delete(b.borrowed, from)
		if l.Part > 0 && askedAt+LoanTerm > now {
			b.borrowed[from] = loan{part: l.Part, until: askedAt + LoanTerm}
			b.tokens += max(0, l.Tokens)
			o.settle(b)
		}
	}
}
