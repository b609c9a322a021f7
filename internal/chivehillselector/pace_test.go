package chivehillselector

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const slow chivehillupstream.Percent = 500

// TestPersistenceIsLearnt lets servers stay slow for exponentially distributed times and
// reports their pace at random intervals.
func TestPersistenceIsLearnt(t *testing.T) {
	for _, mean := range []float64{100, 150, 400, 1000, 2000} {
		random := rand.New(rand.NewPCG(5, 6))
		p := newPersistence()
		for range 400 {
			left := random.ExpFloat64() * mean
			elapsed := 50 + random.Float64()*mean
			pace := chivehillupstream.UsualPace
			if left > elapsed {
				pace = slow
			}
			p.observe(chivehillclock.Millis(elapsed), pace)
		}
		got := float64(p.mean())
		t.Logf("mean %v: learnt %.0f", mean, got)
		qt.Check(t, got > mean*0.65 && got < mean*1.5, qt.IsTrue, qt.Commentf("mean %v: learnt %.0f", mean, got))
	}
}

func TestUnusableObservationsAreIgnored(t *testing.T) {
	p := newPersistence()
	for _, elapsed := range []chivehillclock.Millis{-1, 0, maxObservation + 1} {
		p.observe(elapsed, slow)
		p.observe(elapsed, chivehillupstream.UsualPace)
	}
	qt.Assert(t, p.mean(), qt.Equals, initialPersistence)
}

// TestRequestsGoToServersThatStaySlow plays requests at pairs of servers of which one is slow
// for longer than the request runs and the other has all slots but one busy. The request must
// not go to the slow one once the host has seen how long servers stay slow.
func TestRequestsGoToServersThatStaySlow(t *testing.T) {
	const work = 460
	tests := []struct {
		about string
		mean  chivehillclock.Millis
		slow  bool
	}{
		{"slow for long", 2000, false},
		{"slow for a moment", 40, true},
	}
	for _, tt := range tests {
		f := newFixture(server("slow", "e1"), server("busy", "e1"))
		random := rand.New(rand.NewPCG(7, 8))
		for range 200 {
			f.table.RecordProbe("slow", true, Served{Metadata: reporting(0, slow)})
			f.clock.Advance(100)
			pace := chivehillupstream.UsualPace
			if random.ExpFloat64()*float64(tt.mean) > 100 {
				pace = slow
			}
			f.table.RecordProbe("slow", true, Served{Metadata: reporting(0, pace)})
			f.clock.Advance(10 * chivehillclock.Second)
		}
		candidates := f.table.InRegion(anywhere, 2)
		estimate := func(metadata chivehillupstream.ResponseMetadata) chivehillclock.Millis {
			return f.table.Assess(candidates[0], metadata, work).Estimate
		}
		qt.Check(t, estimate(reporting(0, slow)) < estimate(reporting(3, chivehillupstream.UsualPace)), qt.Equals, tt.slow, qt.Commentf("%s", tt.about))
	}
}

func reporting(running int, pace chivehillupstream.Percent) chivehillupstream.ResponseMetadata {
	return chivehillupstream.ResponseMetadata{Load: chivehillupstream.Load{Running: running, Slots: 4, Pace: pace}, HasLoad: true}
}
