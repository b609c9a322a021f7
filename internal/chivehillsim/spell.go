package chivehillsim

import (
	"math"
	"math/rand/v2"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// Slow spells of the brief: noisy neighbours slow a server for milliseconds.
const (
	slowMinMs, slowMaxMs         = 1.0, 50.0
	slowMinFactor, slowMaxFactor = 2.0, 20.0
)

// spell is a slow spell and the start of the one after it.
type spell struct {
	until  chivehillclock.Millis
	factor float64
	next   chivehillclock.Millis
}

// spellAt returns the spell that begins at a time. It depends only on the
// server and the time, so that all jobs see the same spells.
func (s *server) spellAt(start chivehillclock.Millis) spell {
	random := rand.New(rand.NewPCG(s.seed, math.Float64bits(float64(start))))
	until := start + chivehillclock.Millis(slowMinMs+(slowMaxMs-slowMinMs)*random.Float64())
	return spell{
		until: until, factor: slowMinFactor + (slowMaxFactor-slowMinFactor)*random.Float64(),
		next: until + chivehillclock.Millis(random.ExpFloat64())*s.model.slowGap,
	}
}

// finishAt returns when work that starts now ends, given the slow spells.
func (s *server) finishAt(work float64) chivehillclock.Millis {
	t, current := s.engine.now, s.spell
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
		current = s.spellAt(t)
	}
}

// advanceSpells moves to the spell of the present.
func (s *server) advanceSpells() {
	for s.engine.now >= s.spell.next {
		s.spell = s.spellAt(s.spell.next)
	}
}
