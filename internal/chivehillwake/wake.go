// Package chivehillwake wakes a goroutine that waits for work.
package chivehillwake

// Signal wakes one goroutine that receives from it. Wakes that come before it receives count
// as one.
type Signal chan struct{}

// New returns a signal that was not given.
func New() Signal { return make(Signal, 1) }

// Wake gives the signal. It never blocks.
func (s Signal) Wake() {
	select {
	case s <- struct{}{}:
	default:
	}
}
