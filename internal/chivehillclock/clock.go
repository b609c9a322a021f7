// Package chivehillclock provides the clock: milliseconds on a monotonic scale.
package chivehillclock

import (
	"sync"
	"time"
)

// Millis is a point in time or a duration, in milliseconds. Points in time
// count from an origin of the process and mean nothing to another process.
type Millis float64

// Units of Millis.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
)

// Duration converts a duration in milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// FromDuration converts a time.Duration to milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}

// Clock tells the time. The zero value is not usable; call New or NewManual.
type Clock struct {
	origin time.Time

	mu     sync.Mutex
	manual bool
	// now is the time of a manual clock. It never decreases.
	now Millis
}

// New returns a clock that follows the monotonic clock of the machine.
func New() *Clock {
	return &Clock{origin: time.Now()}
}

// NewManual returns a clock that moves only when Advance is called.
func NewManual() *Clock {
	return &Clock{manual: true}
}

// Now returns the current time.
func (c *Clock) Now() Millis {
	if !c.manual {
		return FromDuration(time.Since(c.origin))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves a manual clock forward by d. Negative values are ignored.
func (c *Clock) Advance(d Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d > 0 {
		c.now += d
	}
}
