package chivehillmember

import "github.com/chivehill/chivehill/internal/chivehillclock"

const (
	// removeAfter is how long a member must be silent before it is removed.
	removeAfter = 3 * chivehillclock.Second
	// removeStagger is the delay between consecutive hosts that may remove a silent
	// member, so that normally only one of them writes.
	removeStagger = 500 * chivehillclock.Millisecond
	// maxObserveGap is the longest time between two calls of Observe for which the
	// process is not taken to have been paused.
	maxObserveGap = 2500 * chivehillclock.Millisecond
)

// SilenceDetector detects members that have been silent for too long. While this process is
// paused it cannot hear any member, so silence is counted only from the end of its
// last pause. It is not safe for concurrent use.
type SilenceDetector struct {
	// lastObserved is the time of the last call of Observe.
	lastObserved chivehillclock.Millis
	// resumedAt is the end of the last pause of this process.
	resumedAt chivehillclock.Millis
}

// NewSilenceDetector returns a detector for a process that starts now.
func NewSilenceDetector(now chivehillclock.Millis) *SilenceDetector {
	return &SilenceDetector{lastObserved: now, resumedAt: now}
}

// Observe records that the process is running. It must be called about once a
// second: a gap longer than maxObserveGap counts as a pause.
func (s *SilenceDetector) Observe(now chivehillclock.Millis) {
	if now-s.lastObserved > maxObserveGap {
		s.resumedAt = now
	}
	s.lastObserved = now
}

// ShouldRemove reports whether this host is to remove a member that was last heard from
// at lastHeard. rank is the position of this host among those that may remove the
// member; each position waits removeStagger longer.
func (s *SilenceDetector) ShouldRemove(now, lastHeard chivehillclock.Millis, rank int) bool {
	return now-max(lastHeard, s.resumedAt) >= removeAfter+chivehillclock.Millis(rank)*removeStagger
}
