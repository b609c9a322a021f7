package chivehillmember

import "github.com/chivehill/chivehill/internal/chivehillclock"

const (
	// removeAfter is the silence after which a member is removed.
	removeAfter = 3 * chivehillclock.Second
	// removeStep spreads the members that may remove a silent one, so that one of them writes.
	removeStep = 500 * chivehillclock.Millisecond
	// pauseLimit is the longest time between two observations of a process that runs.
	pauseLimit = 2500 * chivehillclock.Millisecond
)

// Silence judges which members have been silent for too long. A process that
// was itself paused heard nobody, so its pause counts against no member. It is
// not safe for concurrent use.
type Silence struct {
	last chivehillclock.Millis
	// awake is the end of the newest pause of this process.
	awake chivehillclock.Millis
}

// NewSilence returns a judge of a process that starts now.
func NewSilence(now chivehillclock.Millis) *Silence {
	return &Silence{last: now, awake: now}
}

// Observe notes that the process runs. It is called about once a second.
func (s *Silence) Observe(now chivehillclock.Millis) {
	if now-s.last > pauseLimit {
		s.awake = now
	}
	s.last = now
}

// Remove reports whether a member that was last heard at a time is to be
// removed by this host, which is the turn-th in line to do so.
func (s *Silence) Remove(now, heard chivehillclock.Millis, turn int) bool {
	return now-max(heard, s.awake) >= removeAfter+chivehillclock.Millis(turn)*removeStep
}
