package chivehillselector

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// TestServerGetsMoreThanItsRateLimitFromManyHosts lets all hosts send as fast as Claim
// permits, each after a probe.
func TestServerGetsMoreThanItsRateLimitFromManyHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 60).Draw(t, "limit")
		var hosts []*fixture
		n := rapid.IntRange(1, 25).Draw(t, "hosts")
		for i := range n {
			h := newFixture(server("a", "e1"))
			h.hosts, h.position = n, i
			hosts = append(hosts, h)
		}
		stated := Served{Metadata: chivehillupstream.ResponseMetadata{RateLimit: chivehillupstream.RequestsPerSecond(limit)}}
		var sent []chivehillclock.Millis
		now := chivehillclock.Millis(0)
		for range 300 {
			step := chivehillclock.Millis(rapid.IntRange(0, 120).Draw(t, "step"))
			now += step
			for _, h := range hosts {
				h.clock.Advance(step)
				for _, c := range h.candidates(anywhere) {
					h.table.RecordProbe("a", true, stated)
					if h.table.Claim(c) {
						sent = append(sent, now)
						h.table.Release("a", stated)
					}
				}
			}
		}
		checkWindows(t, sent, 4*chivehillclock.Second, 1.5*limit*4+5)
	})
}

// checkWindows fails if more than bound of the times, which are in order, lie within a
// window of the given length.
func checkWindows(t *rapid.T, times []chivehillclock.Millis, window chivehillclock.Millis, bound float64) {
	first := 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		if n := i - first + 1; float64(n) > bound {
			t.Fatalf("%d requests within %v ms, want at most %v", n, float64(window), bound)
		}
	}
}

func TestRateLimitIsUsed(t *testing.T) {
	const limit, seconds = 5, 20
	f := newFixture(server("a", "e1"))
	sent := 0
	for range 100 * seconds {
		f.clock.Advance(10)
		for _, c := range f.candidates(anywhere) {
			f.table.RecordProbe("a", true, Served{Metadata: chivehillupstream.ResponseMetadata{RateLimit: limit}})
			if f.table.Claim(c) {
				sent++
				f.table.Release("a", Abandoned{})
			}
		}
	}
	qt.Assert(t, sent >= limit*(seconds-1) && sent <= limit*seconds+1, qt.IsTrue, qt.Commentf("%d requests in %d s", sent, seconds))
}

func TestRateLimitEndsWithTheFirstResponseWithoutIt(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(*fixture)
		may   bool
	}{
		{"host without a share", func(*fixture) {}, false},
		{"response states no limit", func(f *fixture) { f.table.RecordProbe("a", true, Served{}) }, true},
		{"server restarted", func(f *fixture) {
			s := f.view.Servers["a"]
			s.Started = 99
			f.view.Servers["a"] = s
			f.sync()
			f.table.RecordProbe("a", true, Served{})
		}, true},
		{"request failed", func(f *fixture) { f.table.RecordProbe("a", true, Failed{}) }, false},
	}
	for _, tt := range tests {
		f := newFixture(server("a", "e1"))
		f.table.RecordProbe("a", true, Served{Metadata: chivehillupstream.ResponseMetadata{RateLimit: 10}})
		f.responsible = false
		tt.setUp(f)
		qt.Check(t, f.table.MayClaim("a"), qt.Equals, tt.may, qt.Commentf("%s", tt.name))
	}
}

func TestLiftedRateLimitIsNeverNoticedWithoutAProbe(t *testing.T) {
	f := newFixture(server("a", "e1"))
	f.table.RecordProbe("a", true, Served{Metadata: chivehillupstream.ResponseMetadata{RateLimit: 10}})
	f.responsible = false
	qt.Assert(t, f.candidates(anywhere), qt.HasLen, 0)
	f.clock.Advance(rateLimitCheckInterval)
	candidates := f.candidates(anywhere)
	qt.Assert(t, candidates, qt.HasLen, 1)
	qt.Assert(t, f.table.Claim(candidates[0]), qt.IsFalse)
}
