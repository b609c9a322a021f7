package chivehillselector

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const coldPerSecond = 8.0

type fixture struct {
	table       *Table
	clock       *chivehillclock.Clock
	view        chivehillcatalog.View
	responsible bool
	// hosts is the number of hosts that divide bounded rates, 0 for one, and position this
	// host's place among them.
	hosts    int
	position int
}

func newFixture(servers ...chivehillcatalog.Server) *fixture {
	f := &fixture{clock: chivehillclock.NewManual(), responsible: true}
	location := Location{Domain: "e1", Region: "e", Regions: map[chivehillid.DomainID]chivehillid.RegionID{"e1": "e", "e2": "e", "w1": "w"}}
	f.table = NewTable(location, f.clock, f.share, zerolog.Nop())
	f.view = chivehillcatalog.View{
		Configuration: chivehillcatalog.Configuration{Services: map[chivehillid.ServiceID]chivehillcatalog.Service{"s": {ID: "s", ColdRequestsPerSecond: coldPerSecond}}},
		Servers:       make(map[chivehillid.ServerID]chivehillcatalog.Server), Withdrawn: make(map[chivehillid.DomainID]bool), ServersSynced: true,
	}
	for _, s := range servers {
		f.view.Servers[s.ID] = s
	}
	f.sync()
	for _, s := range servers {
		f.table.RecordProbe(s.ID, true, Served{})
	}
	return f
}

// share gives equal parts to the responsible hosts among the first sharers.
func (f *fixture) share(_ chivehillcatalog.Server, sharers int) float64 {
	if !f.responsible || f.position >= sharers {
		return 0
	}
	return 1 / float64(min(sharers, max(1, f.hosts)))
}

func (f *fixture) sync() { f.table.Sync(func() chivehillcatalog.View { return f.view }) }

// candidates returns all servers that are eligible for a request.
func (f *fixture) candidates(requirements Requirements) []Candidate {
	all := len(f.view.Servers)
	return append(f.table.InRegion(requirements, all), f.table.InOtherRegions(requirements, all)...)
}

func server(id chivehillid.ServerID, domain chivehillid.DomainID) chivehillcatalog.Server {
	return chivehillcatalog.Server{ID: id, Service: "s", Address: string(id), Domain: domain, Slots: 4}
}

func ids(candidates []Candidate) []chivehillid.ServerID {
	var list []chivehillid.ServerID
	for _, c := range candidates {
		list = append(list, c.ID())
	}
	return list
}

var anywhere = Requirements{Service: "s", Regions: chivehillregion.Everywhere()}

func TestCandidatesAreOrderedByDistance(t *testing.T) {
	f := newFixture(server("far", "w1"), server("near", "e1"), server("beside", "e2"))
	qt.Assert(t, ids(f.candidates(anywhere)), qt.DeepEquals, []chivehillid.ServerID{"near", "beside", "far"})
	bound := Requirements{Service: "s", Regions: chivehillregion.Only("w")}
	qt.Assert(t, ids(f.candidates(bound)), qt.DeepEquals, []chivehillid.ServerID{"far"})
	used := Requirements{Service: "s", Regions: chivehillregion.Everywhere(), Exclude: []chivehillid.ServerID{"near"}}
	qt.Assert(t, ids(f.candidates(used)), qt.DeepEquals, []chivehillid.ServerID{"beside", "far"})
}

func TestUnavailableServersAreExcluded(t *testing.T) {
	tests := []struct {
		name     string
		setUp    func(*fixture)
		excluded bool
	}{
		{"healthy", func(*fixture) {}, false},
		{"draining", func(f *fixture) {
			s := f.view.Servers["a"]
			s.Draining = true
			f.view.Servers["a"] = s
			f.sync()
		}, true},
		{"its failure domain is withdrawn", func(f *fixture) { f.view.Withdrawn = map[chivehillid.DomainID]bool{"e1": true}; f.sync() }, true},
		{"removed", func(f *fixture) { f.view.Servers = nil; f.sync() }, true},
		{"server unreachable", func(f *fixture) { f.table.RecordProbe("a", false, Unreachable{}) }, true},
		{"server unreachable, ejection time over", func(f *fixture) {
			f.table.RecordProbe("a", false, Unreachable{})
			f.clock.Advance(unreachableEjectionTime)
		}, false},
		{"address belongs to another server", func(f *fixture) { f.table.RecordProbe("a", false, Moved{}) }, true},
		{"reports that it is unhealthy", func(f *fixture) { f.table.RecordProbe("a", false, Served{}) }, true},
		{"one failure among successes", func(f *fixture) { f.sendWithOutcomes(Served{}, Served{}, Failed{}, Served{}) }, false},
		{"repeated failures", func(f *fixture) { f.sendWithOutcomes(Failed{}, Failed{}, Failed{}) }, true},
		{"probe pending for too long", func(f *fixture) { f.table.ProbeStarted("a"); f.clock.Advance(unresponsiveAfter) }, true},
		{"late probe ended", func(f *fixture) {
			f.table.ProbeStarted("a")
			f.clock.Advance(unresponsiveAfter)
			f.table.ProbeEnded("a")
		}, false},
	}
	for _, tt := range tests {
		f := newFixture(server("a", "e1"))
		tt.setUp(f)
		qt.Check(t, len(f.candidates(anywhere)) == 0, qt.Equals, tt.excluded, qt.Commentf("%s", tt.name))
	}
}

// sendWithOutcomes claims each candidate and ends a request of server a, once for each
// outcome.
func (f *fixture) sendWithOutcomes(outcomes ...Outcome) {
	for _, o := range outcomes {
		for _, c := range f.candidates(anywhere) {
			f.table.Claim(c)
		}
		f.table.Release("a", o)
	}
}

func TestOnlyTheResponsibleHostSendsToColdServers(t *testing.T) {
	cold := server("a", "e1")
	f := newFixture(cold)
	f.table.RecordProbe("a", true, Served{Metadata: chivehillupstream.ResponseMetadata{ColdRemaining: 3000}})
	candidates := f.candidates(anywhere)
	qt.Assert(t, candidates, qt.HasLen, 1)
	f.responsible = false
	qt.Assert(t, f.candidates(anywhere), qt.HasLen, 0)
	qt.Assert(t, f.table.Claim(candidates[0]), qt.IsFalse)
	f.clock.Advance(3000)
	qt.Assert(t, f.candidates(anywhere), qt.HasLen, 1)
	qt.Assert(t, f.table.Claim(candidates[0]), qt.IsTrue)
}

func TestPossiblyColdServersNeedAProbe(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(*fixture)
	}{
		{"server restarted", func(f *fixture) {
			s := f.view.Servers["a"]
			s.Started = 99
			f.view.Servers["a"] = s
			f.sync()
		}},
		{"its failure domain is no longer withdrawn", func(f *fixture) {
			f.view.Withdrawn = map[chivehillid.DomainID]bool{"e1": true}
			f.sync()
			f.view.Withdrawn = nil
			f.sync()
		}},
		{"failed a request", func(f *fixture) { f.sendWithOutcomes(Failed{}) }},
	}
	for _, tt := range tests {
		f := newFixture(server("a", "e1"))
		f.responsible = false
		tt.setUp(f)
		candidates := f.candidates(anywhere)
		qt.Check(t, candidates, qt.HasLen, 1, qt.Commentf("%s", tt.name))
		qt.Check(t, f.table.Claim(candidates[0]), qt.IsFalse, qt.Commentf("%s", tt.name))
		f.table.RecordProbe("a", true, Served{})
		qt.Check(t, f.table.Claim(candidates[0]), qt.IsTrue, qt.Commentf("%s", tt.name))
	}
}

// TestOlderViewCannotOverwriteNewer starts an update with a newer view while a slower
// one with an older view still runs. If Sync read the view before it took the table's
// lock, the older view could be applied last and undo a withdrawal.
func TestOlderViewCannotOverwriteNewer(t *testing.T) {
	f := newFixture(server("a", "e1"))
	older := f.view
	release, read := make(chan struct{}), make(chan struct{})
	done := make(chan struct{}, 2)
	go func() {
		f.table.Sync(func() chivehillcatalog.View {
			close(read)
			<-release
			return older
		})
		done <- struct{}{}
	}()
	<-read
	newer := f.view
	newer.Withdrawn = map[chivehillid.DomainID]bool{"e1": true}
	go func() {
		f.table.Sync(func() chivehillcatalog.View { return newer })
		done <- struct{}{}
	}()
	close(release)
	<-done
	<-done
	qt.Assert(t, f.candidates(anywhere), qt.HasLen, 0)
}

// TestColdRateBoundHoldsForTwoHosts lets two hosts that both consider themselves
// responsible send to a cold server as fast as Claim permits, and checks that the total
// stays within the bound in every second.
func TestColdRateBoundHoldsForTwoHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 60).Draw(t, "rate")
		hosts := []*fixture{newFixture(server("a", "e1")), newFixture(server("a", "e1"))}
		var sent []chivehillclock.Millis
		now := chivehillclock.Millis(0)
		for _, h := range hosts {
			h.view.Configuration.Services = map[chivehillid.ServiceID]chivehillcatalog.Service{"s": {ID: "s", ColdRequestsPerSecond: rate}}
			h.sync()
			h.table.RecordProbe("a", true, Served{Metadata: chivehillupstream.ResponseMetadata{ColdRemaining: 60_000}})
		}
		for range 400 {
			step := chivehillclock.Millis(rapid.IntRange(0, 30).Draw(t, "step"))
			now += step
			for _, h := range hosts {
				h.clock.Advance(step)
				for _, c := range h.candidates(anywhere) {
					if h.table.Claim(c) {
						sent = append(sent, now)
					}
				}
			}
		}
		checkWindows(t, sent, chivehillclock.Second, 1.5*rate+5)
	})
}

func TestEstimateGrowsWithLoadAndPace(t *testing.T) {
	const (
		serviceTime = 100 * chivehillclock.Millisecond
		// briefly is how long servers stay slow in this test.
		briefly = 150 * chivehillclock.Millisecond
	)
	load := func(running, waiting int, pace chivehillupstream.Percent) chivehillupstream.Load {
		return chivehillupstream.Load{Running: running, Waiting: waiting, Slots: 4, Pace: pace}
	}
	rising := []chivehillupstream.Load{load(0, 0, 100), load(3, 0, 100), load(4, 0, 100), load(4, 2, 100), load(4, 8, 100)}
	for i := 1; i < len(rising); i++ {
		qt.Check(t, Estimate(rising[i], serviceTime, briefly) > Estimate(rising[i-1], serviceTime, briefly), qt.IsTrue, qt.Commentf("%+v", rising[i]))
	}
	qt.Assert(t, Estimate(load(0, 0, 100), serviceTime, briefly), qt.Equals, serviceTime)
	qt.Assert(t, Estimate(load(0, 0, 500), serviceTime, briefly) > 2*serviceTime, qt.IsTrue)
	qt.Assert(t, Estimate(load(0, 0, 500), 10*serviceTime, briefly) < 2*10*serviceTime, qt.IsTrue)
}

func TestHasCapacityBelowMaxThroughput(t *testing.T) {
	tests := []struct {
		slots, running, waiting int
		want                    bool
	}{
		{4, 2, 0, true},
		{4, 3, 0, false},
		{2, 1, 0, true},
		{2, 2, 0, false},
		{1, 0, 0, true},
		{8, 5, 0, true},
		{8, 6, 0, false},
		{4, 0, 1, false},
	}
	for _, tt := range tests {
		l := chivehillupstream.Load{Slots: chivehillid.Slots(tt.slots), Running: tt.running, Waiting: tt.waiting}
		qt.Check(t, HasCapacity(l), qt.Equals, tt.want, qt.Commentf("%+v", tt))
	}
}

func TestServiceTimeConvergesToMedian(t *testing.T) {
	times := NewServiceTimes()
	for i := range 2000 {
		took := chivehillclock.Millis(50)
		if i%4 == 0 {
			took = 900
		}
		times.Observe("r", 400, took)
	}
	got := times.Typical("r", 400)
	qt.Assert(t, got > 45 && got < 60, qt.IsTrue, qt.Commentf("%v", got))
}

// BenchmarkCandidates selects the candidates of one request among 3000 servers.
func BenchmarkCandidates(b *testing.B) {
	var servers []chivehillcatalog.Server
	for i := range 3000 {
		servers = append(servers, server(chivehillid.ServerID(fmt.Sprintf("i-%d", i)), []chivehillid.DomainID{"e1", "e2", "w1"}[i%3]))
	}
	f := newFixture(servers...)
	for b.Loop() {
		f.table.InRegion(anywhere, 6)
	}
}

// TestShortListIsAPrefixOfTheRanking checks that a limited list of candidates is the
// beginning of the full ranking.
func TestShortListIsAPrefixOfTheRanking(t *testing.T) {
	var servers []chivehillcatalog.Server
	for i := range 30 {
		servers = append(servers, server(chivehillid.ServerID(fmt.Sprintf("i-%02d", i)), []chivehillid.DomainID{"e1", "e2", "w1"}[i%3]))
	}
	f := newFixture(servers...)
	for i, s := range servers {
		// Each server runs a different number of requests, so that no two rank equal.
		for range 2 * i {
			f.table.Claim(Candidate{Server: s})
		}
	}
	near, far := f.table.InRegion(anywhere, 30), f.table.InOtherRegions(anywhere, 30)
	qt.Assert(t, near, qt.HasLen, 20)
	qt.Assert(t, far, qt.HasLen, 10)
	for _, limit := range []int{0, 1, 2, 6, 10, 13, 20} {
		qt.Check(t, ids(f.table.InRegion(anywhere, limit)), qt.DeepEquals, ids(near[:limit]), qt.Commentf("%d", limit))
	}
	qt.Check(t, ids(f.table.InOtherRegions(anywhere, 3)), qt.DeepEquals, []chivehillid.ServerID{"i-02", "i-05", "i-08"})
}

// TestNewlyAvailableServersAreTried makes a server available beside an idle one
// with a recent response. If it ranked as unconnected, it would never be the first
// candidate and might stay without requests. Until it responds, it has to be first about
// as often as the other.
func TestNewlyAvailableServersAreTried(t *testing.T) {
	load := Served{Metadata: chivehillupstream.ResponseMetadata{HasLoad: true, Load: chivehillupstream.Load{Slots: 4, Pace: chivehillupstream.UsualPace}}}
	for _, outcome := range []Served{load, {}} {
		checkNewlyAvailableServers(t, outcome)
	}
}

// checkNewlyAvailableServers runs the check with servers whose probes end with
// the given outcome.
func checkNewlyAvailableServers(t *testing.T, outcome Served) {
	tests := []struct {
		name          string
		makeAvailable func(f *fixture)
	}{
		{"joins", func(f *fixture) {
			delete(f.view.Servers, "b")
			f.sync()
			f.view.Servers["b"] = server("b", "e1")
			f.sync()
		}},
		{"server restarts", func(f *fixture) {
			s := f.view.Servers["b"]
			s.Started = 7
			f.view.Servers["b"] = s
			f.sync()
		}},
		{"stops draining", func(f *fixture) {
			s := f.view.Servers["b"]
			s.Draining = true
			f.view.Servers["b"] = s
			f.sync()
			s.Draining = false
			f.view.Servers["b"] = s
			f.sync()
		}},
		{"its failure domain is no longer withdrawn", func(f *fixture) {
			f.view.Withdrawn = map[chivehillid.DomainID]bool{"e1": true}
			f.sync()
			f.view.Withdrawn = nil
			f.sync()
		}},
	}
	for _, tt := range tests {
		f := newFixture(server("a", "e1"), server("b", "e1"))
		f.table.RecordProbe("b", true, outcome)
		f.clock.Advance(connectionKeptFor + 1)
		tt.makeAvailable(f)
		f.table.RecordProbe("a", true, outcome)
		first := 0
		for range 200 {
			if f.table.InRegion(anywhere, 1)[0].ID() == "b" {
				first++
			}
		}
		qt.Check(t, first > 50, qt.IsTrue, qt.Commentf("%s: first %d of 200 times", tt.name, first))
		f.table.RecordProbe("b", true, outcome)
		f.clock.Advance(connectionKeptFor + 1)
		f.table.RecordProbe("a", true, outcome)
		qt.Check(t, ids(f.table.InRegion(anywhere, 1)), qt.DeepEquals, []chivehillid.ServerID{"a"}, qt.Commentf("%s: no preference after a response", tt.name))
	}
}
