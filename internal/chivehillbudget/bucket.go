// Package chivehillbudget limits rates, with token buckets, and memory. Callers pass in the
// time.
package chivehillbudget

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// Bucket is a token bucket. It is safe for concurrent use.
type Bucket struct {
	mu sync.Mutex
	// perSecond is the refill rate in tokens per second.
	perSecond float64
	// burst is the maximum number of tokens. It is positive.
	burst float64
	// tokens is at most burst. It is negative after Charge took more than was available.
	tokens float64
	last   chivehillclock.Millis
	spent  float64
}

// NewBucket returns a full bucket.
func NewBucket(perSecond, burst float64) *Bucket {
	return &Bucket{perSecond: perSecond, burst: burst, tokens: burst}
}

// Take takes n tokens if they are available and reports whether it did.
func (b *Bucket) Take(now chivehillclock.Millis, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	b.spent += n
	return true
}

// Charge takes n tokens even if they are not available. The balance may become
// negative; Open then reports false until it is refilled to at least one token.
func (b *Bucket) Charge(now chivehillclock.Millis, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= n
	b.spent += n
}

// Open reports whether at least one token is available.
func (b *Bucket) Open(now chivehillclock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= 1
}

// Spent returns the total number of tokens taken.
func (b *Bucket) Spent() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// PerSecond returns the refill rate in tokens per second.
func (b *Bucket) PerSecond() float64 {
	return b.perSecond
}

func (b *Bucket) refill(now chivehillclock.Millis) {
	if now <= b.last {
		return
	}
	b.tokens = min(b.burst, b.tokens+float64(now-b.last)/float64(chivehillclock.Second)*b.perSecond)
	b.last = now
}

// Share limits extra requests, such as retries and hedges, to a percentage of the
// ordinary requests. Each ordinary request adds a fraction of a token, and each extra
// request takes a whole token. It is safe for concurrent use.
type Share struct {
	mu sync.Mutex
	// perRequest is the fraction of a token that each ordinary request adds, from 0 to 1.
	perRequest float64
	// burst is the maximum number of tokens.
	burst  float64
	tokens float64
}

// NewShare returns a budget that allows percent extra requests per 100 ordinary ones.
// It starts with burst tokens, or with none if percent is not positive.
func NewShare(percent, burst float64) *Share {
	perRequest := max(0, percent/100)
	if perRequest == 0 {
		burst = 0
	}
	return &Share{perRequest: perRequest, burst: burst, tokens: burst}
}

// NewEmptyShare returns a budget that allows percent extra requests per 100 ordinary ones,
// without tokens at the start. It saves burst tokens at most.
func NewEmptyShare(percent, burst float64) *Share {
	s := NewShare(percent, burst)
	s.tokens = 0
	return s
}

// Open reports whether a token is available.
func (s *Share) Open() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens >= 1
}

// Deposit adds the tokens of one ordinary request.
func (s *Share) Deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.burst, s.tokens+s.perRequest)
}

// Take takes one token if it is available and reports whether it did.
func (s *Share) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// SetBurst changes the maximum number of tokens. Excess tokens are discarded.
func (s *Share) SetBurst(burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.burst = burst
	s.tokens = min(s.tokens, burst)
}
