// Package chivehillquota keeps the quotas of workspaces over all hosts together.
//
// Each host has an equal share of every quota and commits it, for a short term, to one
// owner of its region, which grants tokens to the hosts that ask. A host commits to
// another owner only once the term has passed. So the owners' shares add up to the quota
// at most, whoever reaches whom; the choice of the owner is a matter of cost, not of
// safety. The owners of regions lend each other parts of a quota.
package chivehillquota

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// Term is how long a share is committed to an owner, from a stamp of its clock.
	Term = 700 * chivehillclock.Millisecond
	// RenewPeriod is the time after which a host commits its share anew.
	RenewPeriod = 150 * chivehillclock.Millisecond
	// Lease is how long granted tokens can be used, from the time they were asked for: a bit
	// longer than requests wait for them.
	Lease = 125 * chivehillclock.Millisecond
	// MaxWait is how long a request waits for the answer of the owner.
	MaxWait = 100 * chivehillclock.Millisecond
	// LoanTerm is how long a part is lent. It is about as long as Term: a region's next
	// owner does not know what the last one lent.
	LoanTerm = 800 * chivehillclock.Millisecond
	// LoanPeriod is the interval at which owners ask those of other regions.
	LoanPeriod = 250 * chivehillclock.Millisecond

	// minRetry and maxRetry bound the time after which refused callers are told to return.
	minRetry = 50 * chivehillclock.Millisecond
	maxRetry = 3 * chivehillclock.Second
	// unansweredRetry is the same for a request that the owner did not answer in time.
	unansweredRetry = 300 * chivehillclock.Millisecond
)

// Bounds state what all hosts together may send of a workspace in any window: its rate
// times the window plus its burst, both raised by Over, plus Slack.
type Bounds struct {
	Window chivehillclock.Millis
	// Over is the part by which the quota may be exceeded.
	Over  float64
	Slack float64
}

// Enabled reports whether quotas are kept at all.
func (b Bounds) Enabled() bool { return b.Window > 0 }

// Most returns how many requests may be sent in a window.
func (b Bounds) Most(q chivehillcatalog.Quota) float64 {
	return (perMillisecond(q)*float64(b.Window)+q.Burst)*(1+b.Over) + b.Slack
}

// capacityPart is the part of what the bounds allow beyond the rate that owners may hold
// and have leased out. The rest covers leases and loans that outlive a change of the owner.
const capacityPart = 2.0 / 3

// capacity returns how many tokens owners may hold and have leased out together.
func (b Bounds) capacity(q chivehillcatalog.Quota) float64 {
	return q.Burst + capacityPart*b.Over*perMillisecond(q)*float64(b.Window) + (b.Over*q.Burst+b.Slack)/2
}

// starting returns the tokens that the shares of all hosts together bring along when they
// go to another owner, at most once in a window.
func (b Bounds) starting(q chivehillcatalog.Quota) float64 {
	return (b.Over*q.Burst + b.Slack) / 2
}

func perMillisecond(q chivehillcatalog.Quota) float64 {
	return q.PerSecond / float64(chivehillclock.Second)
}

// Result is the answer to a request that asks for a token.
type Result struct {
	OK bool
	// RetryAfter is when the caller should come back if OK is not set.
	RetryAfter chivehillclock.Millis
}

// Notice tells that a workspace began or ceased to be over its quota at an owner.
type Notice struct {
	Workspace chivehillid.WorkspaceID
	Over      bool
	Quota     chivehillcatalog.Quota
	// Share is the part of the quota that the owner held.
	Share float64
	// Demand is how many tokens a second hosts asked the owner for lately.
	Demand float64
}
