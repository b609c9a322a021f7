// Package chivehillclock provides the clock: milliseconds on a monotonic scale.
package chivehillclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
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

// Clock tells the time. The zero value is not usable; call New, NewBoot or NewManual.
type Clock struct {
	origin time.Time
	// boot is the origin of a clock that counts the time for which the machine
	// was suspended, 0 for other clocks.
	boot time.Duration

	mu     sync.Mutex
	manual bool
	// now is the time of a manual clock. It never decreases.
	now Millis
}

// New returns a clock that follows the monotonic clock of the machine.
func New() *Clock {
	return &Clock{origin: time.Now()}
}

// NewBoot returns a clock that also counts the time for which the machine was
// suspended. Where there is none it is the same as New.
func NewBoot() *Clock {
	c := New()
	c.boot, _ = sinceBoot()
	return c
}

// sinceBoot returns the time since the machine started, suspensions included.
func sinceBoot() (time.Duration, bool) {
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
	if c.boot > 0 {
		if now, ok := sinceBoot(); ok {
			return FromDuration(now - c.boot)
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
