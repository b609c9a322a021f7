// Package chivehillclock provides a monotonic clock with millisecond units,
// which tests can replace by a manual one.
package chivehillclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration, in milliseconds. Points in time are
// relative to the creation of the process's clock, so they cannot be compared
// with those of another process.
type Millis float64

// Units of Millis.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Duration converts a duration in milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// FromDuration converts a time.Duration to milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}

// Clock returns the current time. The zero value is not usable; call New,
// NewBoot or NewManual.
type Clock struct {
	origin time.Time
	// bootOrigin is the time since boot at which a clock of NewBoot was created.
	// It is 0 for other clocks.
	bootOrigin time.Duration

	mu     sync.Mutex
	manual bool
	// now is the current time of a manual clock. It never decreases.
	now Millis
}

// New returns a clock that reads the monotonic clock of the operating system.
func New() *Clock {
	return &Clock{origin: time.Now()}
}

// NewBoot returns a clock that also counts the time during which the machine
// was suspended. Without CLOCK_BOOTTIME it is the same as New.
func NewBoot() *Clock {
	c := New()
	c.bootOrigin, _ = timeSinceBoot()
	return c
}

// timeSinceBoot returns the time since the machine booted, including the time
// during which it was suspended. It reports false if that cannot be read.
func timeSinceBoot() (time.Duration, bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}

// NewManual returns a clock that moves only when Advance is called.
func NewManual() *Clock {
	return &Clock{manual: true}
}

// Now returns the current time.
func (c *Clock) Now() Millis {
	if c.bootOrigin > 0 {
		if now, ok := timeSinceBoot(); ok {
			return FromDuration(now - c.bootOrigin)
		}
	}
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
