// Package chivehillhedge decides when to hedge an idempotent request, that is, when to
// send a second copy of it.
package chivehillhedge

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// quantile is the fraction of requests that are answered before a hedge is sent.
	quantile = 0.98
	// stepSize is the relative change of the estimate per sample, before weighting.
	stepSize = 0.02
	// initialDelay is the estimate before the first sample.
	initialDelay chivehillclock.Millis = 25
	// MaxWait is the maximum time that a hedge waits for a slot. It prevents hedges
	// from adding to an overload.
	MaxWait = 20 * chivehillclock.Millisecond
	// minDelay prevents a hedge from being sent together with the request itself.
	minDelay chivehillclock.Millis = 2
)

// Delay estimates a quantile of the response time by stochastic approximation. A
// sample above the estimate raises it in proportion to quantile, any other sample
// lowers it in proportion to 1-quantile. It is safe for concurrent use.
type Delay struct {
	mu sync.Mutex
	// estimate is at least minDelay.
	estimate float64
}

// NewDelay returns an estimator without samples.
func NewDelay() *Delay {
	return &Delay{estimate: float64(initialDelay)}
}

// Observe records the response time of one request.
func (d *Delay) Observe(latency chivehillclock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if float64(latency) > d.estimate {
		d.estimate *= 1 + stepSize*quantile
	} else {
		d.estimate *= 1 - stepSize*(1-quantile)
	}
	d.estimate = max(d.estimate, float64(minDelay))
}

// Delay returns how long to wait for a response before sending a hedge.
func (d *Delay) Delay() chivehillclock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return chivehillclock.Millis(d.estimate)
}
