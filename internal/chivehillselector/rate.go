package chivehillselector

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// bucketSize is the maximum number of requests that one host sends at once to a
	// server with a bounded rate.
	bucketSize = 1
	// maxBurst is the longest time in which a server's rate limit permits as many requests
	// as all hosts together may send to it at once.
	maxBurst = 2 * chivehillclock.Second
	// rateLimitCheckInterval is the time after a server's last response from which a probe
	// may find out whether it still states its limit.
	rateLimitCheckInterval = 2 * chivehillclock.Second
)

// bucket is a token bucket of bucketSize. A request takes one token.
type bucket struct {
	tokens     float64
	refilledAt chivehillclock.Millis
}

// refill adds the tokens accrued since the last call, up to bucketSize.
func (b *bucket) refill(now chivehillclock.Millis, perSecond float64) {
	elapsed := float64(now-b.refilledAt) / float64(chivehillclock.Second)
	b.tokens = min(bucketSize, b.tokens+elapsed*perSecond)
	b.refilledAt = now
}

// withinRates reports whether this host may send one more request to a server now: within
// the rate of a cold server, if it may be cold, and within its rate limit, if it states
// one. The caller must hold the server's lock.
func (t *Table) withinRates(now chivehillclock.Millis, s *serverState) bool {
	return (!s.mayBeCold(now) || t.withinColdRate(now, s)) && (s.rateLimit == 0 || t.withinRateLimit(now, s))
}

// withinColdRate reports whether this host may send a request to a cold server now. The
// caller must hold the server's lock.
func (t *Table) withinColdRate(now chivehillclock.Millis, s *serverState) bool {
	share := t.share(s.entry, 1)
	s.coldBucket.refill(now, coldRateShare*share*t.services[s.entry.Service].ColdRequestsPerSecond)
	return share > 0 && s.coldBucket.tokens >= 1
}

// withinRateLimit reports whether the server's rate limit permits a request of this host
// now. The caller must hold the server's lock.
func (t *Table) withinRateLimit(now chivehillclock.Millis, s *serverState) bool {
	share := t.share(s.entry, sharers(s.rateLimit))
	s.rateBucket.refill(now, share*float64(s.rateLimit))
	return share > 0 && s.rateBucket.tokens >= 1
}

// sharers returns how many hosts may divide a rate limit, so that the buckets of all of
// them hold no more requests than it permits in maxBurst.
func sharers(limit chivehillupstream.RequestsPerSecond) int {
	return max(1, int(float64(limit)*float64(maxBurst/chivehillclock.Second)/bucketSize))
}
