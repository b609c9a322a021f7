package chivehillsim

import (
	"math"
	"math/rand/v2"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// Slow periods, as specified for the platform: noisy neighbours slow a server
// down for milliseconds.
const (
	slowMinMs, slowMaxMs         = 1.0, 50.0
	slowMinFactor, slowMaxFactor = 2.0, 20.0
)

// slowPeriod is a slow period and the start of the next one.
type slowPeriod struct {
	until  chivehillclock.Millis
	factor float64
	next   chivehillclock.Millis
}

// slowPeriodAt returns the slow period that begins at a time. It depends only on
// the server and the time, so that all jobs see the same periods.
func (s *server) slowPeriodAt(start chivehillclock.Millis) slowPeriod {
	random := rand.New(rand.NewPCG(s.seed, math.Float64bits(float64(start))))
	until := start + chivehillclock.Millis(slowMinMs+(slowMaxMs-slowMinMs)*random.Float64())
	return slowPeriod{
		until: until, factor: slowMinFactor + (slowMaxFactor-slowMinFactor)*random.Float64(),
		next: until + chivehillclock.Millis(random.ExpFloat64())*s.model.slowPeriodGap,
	}
}

// finishAt returns when work that starts now ends, including slow periods.
func (s *server) finishAt(work float64) chivehillclock.Millis {
	t, current := s.engine.now, s.slowPeriod
	for {
		if t < current.until {
			doable := float64(current.until-t) / current.factor
			if work <= doable {
				return t + chivehillclock.Millis(work*current.factor)
			}
			work -= doable
			t = current.until
		}
		if work <= float64(current.next-t) {
			return t + chivehillclock.Millis(work)
		}
		work -= float64(current.next - t)
		t = current.next
		current = s.slowPeriodAt(t)
	}
}

// advanceSlowPeriods moves to the current slow period.
func (s *server) advanceSlowPeriods() {
	for s.engine.now >= s.slowPeriod.next {
		s.slowPeriod = s.slowPeriodAt(s.slowPeriod.next)
	}
}
