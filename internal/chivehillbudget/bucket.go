// Package chivehillbudget bounds rates with token buckets on the project's clock.
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
	// burst is the most tokens held. It is positive.
	burst float64
	// tokens is at most burst. It is negative after an overdraft by Charge.
	tokens float64
	last   chivehillclock.Millis
	spent  float64
}

// NewBucket returns a full bucket.
func NewBucket(perSecond, burst float64) *Bucket {
	return &Bucket{perSecond: perSecond, burst: burst, tokens: burst}
}

// Take takes n tokens and reports whether they were there.
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

// Charge takes n tokens even if they are not there. Open reports false until
// the debt is paid.
func (b *Bucket) Charge(now chivehillclock.Millis, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens -= n
	b.spent += n
}

// Open reports whether at least one token is there.
func (b *Bucket) Open(now chivehillclock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.tokens >= 1
}

// Spent returns the tokens taken since the start.
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

// Share bounds extra work to a percentage of ordinary work: each ordinary
// request earns a fraction of a token, each extra one costs a whole token.
type Share struct {
	mu sync.Mutex
	// earn is the fraction earned for each request, from 0 to 1.
	earn float64
	// burst is the most tokens held.
	burst  float64
	tokens float64
}

// NewShare returns a budget of percent extra requests. It starts with burst tokens.
func NewShare(percent, burst float64) *Share {
	earn := max(0, percent/100)
	if earn == 0 {
		burst = 0
	}
	return &Share{earn: earn, burst: burst, tokens: burst}
}

// Earn records one ordinary request.
func (s *Share) Earn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.burst, s.tokens+s.earn)
}

// Take takes one token and reports whether it was there.
func (s *Share) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// SetBurst changes the most tokens held.
func (s *Share) SetBurst(burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.burst = burst
	s.tokens = min(s.tokens, burst)
}
