package chivehillplace

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
}

func newFixture(servers ...chivehillcatalog.Server) *fixture {
	f := &fixture{clock: chivehillclock.NewManual(), responsible: true}
	place := Place{Domain: "e1", Region: "e", Regions: map[chivehillid.DomainID]chivehillid.RegionID{"e1": "e", "e2": "e", "w1": "w"}}
	f.table = NewTable(place, f.clock, func(chivehillcatalog.Server) bool { return f.responsible }, zerolog.Nop())
	f.view = chivehillcatalog.View{
		Configuration: chivehillcatalog.Configuration{Services: map[chivehillid.ServiceID]chivehillcatalog.Service{"s": {ID: "s", ColdPerSecond: coldPerSecond}}},
		Servers:       make(map[chivehillid.ServerID]chivehillcatalog.Server), Withdrawn: make(map[chivehillid.DomainID]bool), ServersKnown: true,
	}
	for _, s := range servers {
		f.view.Servers[s.ID] = s
	}
	f.sync()
	for _, s := range servers {
		f.table.Checked(s.ID, true, Served{})
	}
	return f
}

func (f *fixture) sync() { f.table.Sync(func() chivehillcatalog.View { return f.view }) }

// candidates returns all servers that may get a request.
func (f *fixture) candidates(need Need) []Candidate {
	all := len(f.view.Servers)
	return append(f.table.Near(need, all), f.table.Far(need, all)...)
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

var anywhere = Need{Service: "s", Regions: chivehillregion.Everywhere()}

func TestNearestFirst(t *testing.T) {
	f := newFixture(server("far", "w1"), server("near", "e1"), server("beside", "e2"))
	qt.Assert(t, ids(f.candidates(anywhere)), qt.DeepEquals, []chivehillid.ServerID{"near", "beside", "far"})
	bound := Need{Service: "s", Regions: chivehillregion.Only("w")}
	qt.Assert(t, ids(f.candidates(bound)), qt.DeepEquals, []chivehillid.ServerID{"far"})
	used := Need{Service: "s", Regions: chivehillregion.Everywhere(), Used: []chivehillid.ServerID{"near"}}
	qt.Assert(t, ids(f.candidates(used)), qt.DeepEquals, []chivehillid.ServerID{"beside", "far"})
}

func TestWhoIsLeftOut(t *testing.T) {
	tests := []struct {
		about string
		with  func(*fixture)
		out   bool
	}{
		{"sound", func(*fixture) {}, false},
		{"draining", func(f *fixture) {
			s := f.view.Servers["a"]
			s.Draining = true
			f.view.Servers["a"] = s
			f.sync()
		}, true},
		{"its failure domain is taken out", func(f *fixture) { f.view.Withdrawn = map[chivehillid.DomainID]bool{"e1": true}; f.sync() }, true},
		{"gone", func(f *fixture) { f.view.Servers = nil; f.sync() }, true},
		{"cannot be reached", func(f *fixture) { f.table.Checked("a", false, Unreachable{}) }, true},
		{"could not be reached some time ago", func(f *fixture) {
			f.table.Checked("a", false, Unreachable{})
			f.clock.Advance(unreachableTime)
		}, false},
		{"address of another", func(f *fixture) { f.table.Checked("a", false, Moved{}) }, true},
		{"says that it is not well", func(f *fixture) { f.table.Checked("a", false, Served{}) }, true},
		{"fails one request of many", func(f *fixture) { f.outcomes(Served{}, Served{}, Failed{}, Served{}) }, false},
		{"fails again and again", func(f *fixture) { f.outcomes(Failed{}, Failed{}, Failed{}) }, true},
		{"does not answer a health check", func(f *fixture) { f.table.Asking("a"); f.clock.Advance(silentTime) }, true},
		{"answered it at last", func(f *fixture) { f.table.Asking("a"); f.clock.Advance(silentTime); f.table.Asked("a") }, false},
	}
	for _, tt := range tests {
		f := newFixture(server("a", "e1"))
		tt.with(f)
		qt.Check(t, len(f.candidates(anywhere)) == 0, qt.Equals, tt.out, qt.Commentf("%s", tt.about))
	}
}

func (f *fixture) outcomes(outcomes ...Outcome) {
	for _, o := range outcomes {
		for _, c := range f.candidates(anywhere) {
			f.table.Claim(c)
		}
		f.table.Released("a", o)
	}
}

func TestColdServersNeedTheResponsibleHost(t *testing.T) {
	cold := server("a", "e1")
	f := newFixture(cold)
	f.table.Checked("a", true, Served{Remarks: chivehillupstream.Remarks{ColdLeft: 3000}})
	candidates := f.candidates(anywhere)
	qt.Assert(t, candidates, qt.HasLen, 1)
	f.responsible = false
	qt.Assert(t, f.candidates(anywhere), qt.HasLen, 0)
	qt.Assert(t, f.table.Claim(candidates[0]), qt.IsFalse)
	f.clock.Advance(3000)
	qt.Assert(t, f.candidates(anywhere), qt.HasLen, 1)
	qt.Assert(t, f.table.Claim(candidates[0]), qt.IsTrue)
}

func TestDoubtfulServersAreAskedFirst(t *testing.T) {
	tests := []struct {
		about string
		with  func(*fixture)
	}{
		{"started again", func(f *fixture) {
			s := f.view.Servers["a"]
			s.Started = 99
			f.view.Servers["a"] = s
			f.sync()
		}},
		{"its failure domain came back", func(f *fixture) {
			f.view.Withdrawn = map[chivehillid.DomainID]bool{"e1": true}
			f.sync()
			f.view.Withdrawn = nil
			f.sync()
		}},
		{"broke a connection", func(f *fixture) { f.outcomes(Failed{}) }},
	}
	for _, tt := range tests {
		f := newFixture(server("a", "e1"))
		f.responsible = false
		tt.with(f)
		candidates := f.candidates(anywhere)
		qt.Check(t, candidates, qt.HasLen, 1, qt.Commentf("%s", tt.about))
		qt.Check(t, f.table.Claim(candidates[0]), qt.IsFalse, qt.Commentf("%s", tt.about))
		f.table.Checked("a", true, Served{})
		qt.Check(t, f.table.Claim(candidates[0]), qt.IsTrue, qt.Commentf("%s", tt.about))
	}
}

// TestOlderViewCannotOvertake reads the view only under the table's lock: a
// withdrawal that is known is in force even if an earlier change is slow.
func TestOlderViewCannotOvertake(t *testing.T) {
	f := newFixture(server("a", "e1"))
	older := f.view
	slow, read := make(chan struct{}), make(chan struct{})
	done := make(chan struct{}, 2)
	go func() {
		f.table.Sync(func() chivehillcatalog.View {
			close(read)
			<-slow
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
	close(slow)
	<-done
	<-done
	qt.Assert(t, f.candidates(anywhere), qt.HasLen, 0)
}

// TestColdBound lets two hosts that both believe to be responsible send as
// fast as they may: the bound holds in every second.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*fixture{newFixture(server("a", "e1")), newFixture(server("a", "e1"))}
		var sent []chivehillclock.Millis
		now := chivehillclock.Millis(0)
		for _, h := range hosts {
			h.table.Checked("a", true, Served{Remarks: chivehillupstream.Remarks{ColdLeft: 60_000}})
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
		const bound = coldPerSecond*1.5 + 5
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-sent[i] < chivehillclock.Second {
					n++
				}
			}
			if float64(n) > bound {
				t.Fatalf("%d requests in one second; bound %v", n, bound)
			}
		}
	})
}

func TestEstimate(t *testing.T) {
	const work = 100 * chivehillclock.Millisecond
	load := func(running, waiting int, pace chivehillupstream.Percent) chivehillupstream.Load {
		return chivehillupstream.Load{Running: running, Waiting: waiting, Slots: 4, Pace: pace}
	}
	rising := []chivehillupstream.Load{load(0, 0, 100), load(3, 0, 100), load(4, 0, 100), load(4, 2, 100), load(4, 8, 100)}
	for i := 1; i < len(rising); i++ {
		qt.Check(t, Estimate(rising[i], work) > Estimate(rising[i-1], work), qt.IsTrue, qt.Commentf("%+v", rising[i]))
	}
	qt.Assert(t, Estimate(load(0, 0, 100), work), qt.Equals, work)
	qt.Assert(t, Estimate(load(0, 0, 500), work) > 2*work, qt.IsTrue)
	qt.Assert(t, Estimate(load(0, 0, 500), 10*work) < 2*10*work, qt.IsTrue)
}

func TestRoom(t *testing.T) {
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
		qt.Check(t, HasRoom(l), qt.Equals, tt.want, qt.Commentf("%+v", tt))
	}
}

func TestWorkIsTheMedian(t *testing.T) {
	w := NewWork()
	for i := range 2000 {
		took := chivehillclock.Millis(50)
		if i%4 == 0 {
			took = 900
		}
		w.Observe("r", 400, took)
	}
	got := w.Typical("r", 400)
	qt.Assert(t, got > 45 && got < 60, qt.IsTrue, qt.Commentf("%v", got))
}

// BenchmarkCandidates ranks the servers of a large service for one request.
func BenchmarkCandidates(b *testing.B) {
	var servers []chivehillcatalog.Server
	for i := range 3000 {
		servers = append(servers, server(chivehillid.ServerID(fmt.Sprintf("i-%d", i)), []chivehillid.DomainID{"e1", "e2", "w1"}[i%3]))
	}
	f := newFixture(servers...)
	for b.Loop() {
		f.table.Near(anywhere, 6)
	}
}

// TestFewCandidatesAreRanked compares a short list with the beginning of the whole one.
func TestFewCandidatesAreRanked(t *testing.T) {
	var servers []chivehillcatalog.Server
	for i := range 30 {
		servers = append(servers, server(chivehillid.ServerID(fmt.Sprintf("i-%02d", i)), []chivehillid.DomainID{"e1", "e2", "w1"}[i%3]))
	}
	f := newFixture(servers...)
	for i, s := range servers {
		// Each has its own number of requests, so that no two are equal.
		for range 2 * i {
			f.table.Claim(Candidate{Server: s})
		}
	}
	near, far := f.table.Near(anywhere, 30), f.table.Far(anywhere, 30)
	qt.Assert(t, near, qt.HasLen, 20)
	qt.Assert(t, far, qt.HasLen, 10)
	for _, limit := range []int{0, 1, 2, 6, 10, 13, 20} {
		qt.Check(t, ids(f.table.Near(anywhere, limit)), qt.DeepEquals, ids(near[:limit]), qt.Commentf("%d", limit))
	}
	qt.Check(t, ids(f.table.Far(anywhere, 3)), qt.DeepEquals, []chivehillid.ServerID{"i-02", "i-05", "i-08"})
}

// TestServersThatComeAreAsked lets a server come beside one that is idle and just
// told so: it is the first to be asked about as often, until it has answered.
func TestServersThatComeAreAsked(t *testing.T) {
	load := Served{Remarks: chivehillupstream.Remarks{HasLoad: true, Load: chivehillupstream.Load{Slots: 4, Pace: chivehillupstream.UsualPace}}}
	for _, answer := range []Served{load, {}} {
		checkServersThatCome(t, answer)
	}
}

// checkServersThatCome does so with servers that give an answer.
func checkServersThatCome(t *testing.T, load Served) {
	tests := []struct {
		about string
		come  func(f *fixture)
	}{
		{"joins", func(f *fixture) {
			delete(f.view.Servers, "b")
			f.sync()
			f.view.Servers["b"] = server("b", "e1")
			f.sync()
		}},
		{"starts again", func(f *fixture) {
			s := f.view.Servers["b"]
			s.Started = 7
			f.view.Servers["b"] = s
			f.sync()
		}},
		{"drains no more", func(f *fixture) {
			s := f.view.Servers["b"]
			s.Draining = true
			f.view.Servers["b"] = s
			f.sync()
			s.Draining = false
			f.view.Servers["b"] = s
			f.sync()
		}},
		{"its failure domain comes back", func(f *fixture) {
			f.view.Withdrawn = map[chivehillid.DomainID]bool{"e1": true}
			f.sync()
			f.view.Withdrawn = nil
			f.sync()
		}},
	}
	for _, tt := range tests {
		f := newFixture(server("a", "e1"), server("b", "e1"))
		f.table.Checked("b", true, load)
		f.clock.Advance(keptFor + 1)
		tt.come(f)
		f.table.Checked("a", true, load)
		first := 0
		for range 200 {
			if f.table.Near(anywhere, 1)[0].ID() == "b" {
				first++
			}
		}
		qt.Check(t, first > 50, qt.IsTrue, qt.Commentf("%s: first %d of 200 times", tt.about, first))
		f.table.Checked("b", true, load)
		f.clock.Advance(keptFor + 1)
		f.table.Checked("a", true, load)
		qt.Check(t, ids(f.table.Near(anywhere, 1)), qt.DeepEquals, []chivehillid.ServerID{"a"}, qt.Commentf("%s: then like any other", tt.about))
	}
}
