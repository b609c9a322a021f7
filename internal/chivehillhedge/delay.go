// Package chivehillhedge decides when a second copy of an idempotent request is worth sending.
package chivehillhedge

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// quantile is the share of answers that arrive before a hedge is sent.
	quantile = 0.98
	// step is the relative change of the estimate with each sample.
	step = 0.02
	// startDelay is the estimate before any answer.
	startDelay chivehillclock.Millis = 25
	// MaxWait is the longest wait of a hedge for a slot. It keeps hedges from
	// adding to an overload.
	MaxWait = 20 * chivehillclock.Millisecond
	// minDelay keeps the hedge from going out with the request itself.
	minDelay chivehillclock.Millis = 2
)

// Delay tracks a quantile of the time of answers by stochastic approximation:
// each sample moves the estimate up by its quantile or down by the rest. It is
// safe for concurrent use.
type Delay struct {
	mu sync.Mutex
	// estimate is at least minDelay.
	estimate float64
}

// NewDelay returns a tracker without samples.
func NewDelay() *Delay {
	return &Delay{estimate: float64(startDelay)}
}

// Observe records the time of one answer.
func (d *Delay) Observe(took chivehillclock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if float64(took) > d.estimate {
		d.estimate *= 1 + step*quantile
	} else {
		d.estimate *= 1 - step*(1-quantile)
	}
	d.estimate = max(d.estimate, float64(minDelay))
}

// Delay returns the time to wait before a hedge.
func (d *Delay) Delay() chivehillclock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	return chivehillclock.Millis(d.estimate)
}
