package chivehillselector

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// spreadFixture returns a table with servers in this host's failure domain, in another one of
// its region and in another region.
func spreadFixture(own, beside, far int) *fixture {
	var servers []chivehillcatalog.Server
	for domain, count := range map[chivehillid.DomainID]int{"e1": own, "e2": beside, "w1": far} {
		for i := range count {
			servers = append(servers, server(chivehillid.ServerID(fmt.Sprintf("%s-%d", domain, i)), domain))
		}
	}
	return newFixture(servers...)
}

func TestManyServersOfTheDomainHideThoseBesideIt(t *testing.T) {
	tests := []struct {
		about             string
		own, beside       int
		limit             int
		wantOwn, wantNext int
	}{
		{"many of both", 50, 50, 6, 4, 2},
		{"one beside", 50, 1, 6, 5, 1},
		{"none beside", 50, 0, 6, 6, 0},
		{"few of the domain", 3, 50, 6, 3, 3},
		{"none of the domain", 0, 50, 6, 0, 6},
		{"a short list", 50, 50, 2, 1, 1},
		{"a list of one", 50, 50, 1, 1, 0},
		{"few in all", 2, 1, 6, 2, 1},
	}
	for _, tt := range tests {
		got := spreadFixture(tt.own, tt.beside, 10).table.Spread(anywhere, tt.limit)
		distances := make(map[Distance]int)
		for i, c := range got {
			distances[c.Distance]++
			qt.Check(t, i == 0 || got[i-1].Distance <= c.Distance, qt.IsTrue, qt.Commentf("%s", tt.about))
		}
		qt.Check(t, distances[SameDomain], qt.Equals, tt.wantOwn, qt.Commentf("%s", tt.about))
		qt.Check(t, distances[SameRegion], qt.Equals, tt.wantNext, qt.Commentf("%s", tt.about))
		qt.Check(t, distances[OtherRegion], qt.Equals, 0, qt.Commentf("%s", tt.about))
	}
}

// TestBusyDomainLeavesTheRegionIdle plays a load above the slots of one failure domain, whose
// region has a third of its slots free. Callers must not wait for a slot, but for one in fifty
// whose six checks all met full servers.
func TestBusyDomainLeavesTheRegionIdle(t *testing.T) {
	const (
		perDomain = 50
		slots     = 4
		work      = 320
		length    = 20_000
		// offered is the load of each domain's callers, as a share of the domain's slots.
		busy, calm = 1.1, 0.25
	)
	random := rand.New(rand.NewPCG(3, 4))
	running := make(map[chivehillid.ServerID]int)
	ends := make(map[int][]chivehillid.ServerID)
	f := spreadFixture(perDomain, perDomain, 0)
	load := func(id chivehillid.ServerID) chivehillupstream.Load {
		n := running[id]
		return chivehillupstream.Load{Running: min(n, slots), Waiting: max(0, n-slots), Slots: slots, Pace: chivehillupstream.UsualPace}
	}
	start := func(now int, id chivehillid.ServerID) {
		running[id]++
		ends[now+work] = append(ends[now+work], id)
	}
	requests, waits := 0, 0
	for now := range length {
		for _, id := range ends[now] {
			running[id]--
		}
		delete(ends, now)
		f.clock.Advance(chivehillclock.Millisecond)
		if random.Float64() < calm*perDomain*slots/work {
			// The callers of the other domain are served by an idle server of it.
			for _, i := range random.Perm(perDomain) {
				if id := chivehillid.ServerID(fmt.Sprintf("e2-%d", i)); running[id] == 0 {
					start(now, id)
					break
				}
			}
		}
		if random.Float64() >= busy*perDomain*slots/work {
			continue
		}
		var best *Assessment
		for _, c := range f.table.Spread(anywhere, 6) {
			if best != nil && best.GoodEnough() {
				break
			}
			a := f.table.Assess(c, chivehillupstream.ResponseMetadata{Load: load(c.ID()), HasLoad: true}, work)
			f.table.RecordProbe(c.ID(), true, Served{Metadata: chivehillupstream.ResponseMetadata{Load: load(c.ID()), HasLoad: true}})
			if best == nil || a.Estimate < best.Estimate {
				best = &a
			}
		}
		requests++
		if best.Load.Running >= slots {
			waits++
		}
		start(now, best.Candidate.ID())
	}
	share := float64(waits) / float64(requests)
	t.Logf("%d requests, %.4f waited", requests, share)
	qt.Assert(t, share <= 0.02, qt.IsTrue, qt.Commentf("%v", share))
}
