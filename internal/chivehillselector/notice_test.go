package chivehillselector

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// askingServer is the model of a server and of what this host has been told of it.
type askingServer struct {
	entry chivehillcatalog.Server
	// left holds the instances that have said that they leave.
	left map[chivehillcatalog.Instance]bool
	// quietUntil holds until when each instance wants nothing.
	quietUntil map[chivehillcatalog.Instance]chivehillclock.Millis
	listed     bool
}

func (s *askingServer) mayGetRequests(now chivehillclock.Millis, withdrawn bool) bool {
	i := s.entry.Instance()
	return s.listed && !s.entry.Draining && !withdrawn && !s.left[i] && now >= s.quietUntil[i]
}

// TestServerThatMustGetNothingIsClaimed tells a host in any order, late, repeated or not at
// all that servers leave, want quiet, drain, are gone, come back or start again, and that a
// failure domain is out of service. It tries to claim them, also with candidates of before.
func TestServerThatMustGetNothingIsClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []chivehillid.ServerID{"a", "b"}
		servers := make(map[chivehillid.ServerID]*askingServer)
		f := newFixture(server("a", "e1"), server("b", "e1"))
		for _, id := range ids {
			servers[id] = &askingServer{
				entry: server(id, "e1"), listed: true, left: make(map[chivehillcatalog.Instance]bool),
				quietUntil: make(map[chivehillcatalog.Instance]chivehillclock.Millis),
			}
		}
		var earlier []Candidate
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			s := servers[rapid.SampledFrom(ids).Draw(t, "server")]
			now := f.clock.Now()
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				s.left[s.entry.Instance()] = true
				f.table.RecordNotice(s.entry, chivehillupstream.ResponseMetadata{Leaving: true})
			case 1:
				peers := chivehillcatalog.Instance{Server: s.entry.ID, Started: rapid.Int64Range(0, 3).Draw(t, "started")}
				s.left[peers] = true
				f.table.MarkLeaving(peers)
			case 2:
				quiet := chivehillclock.Millis(rapid.IntRange(1, 3000).Draw(t, "quiet"))
				i := s.entry.Instance()
				s.quietUntil[i] = max(s.quietUntil[i], now+quiet)
				f.table.RecordNotice(s.entry, chivehillupstream.ResponseMetadata{Quiet: quiet})
			case 3:
				s.entry.Draining = !s.entry.Draining
			case 4:
				s.listed = !s.listed
			case 5:
				s.entry.Started = rapid.Int64Range(0, 3).Draw(t, "restarted")
			case 6:
				f.view.Withdrawn = map[chivehillid.DomainID]bool{"e1": rapid.Bool().Draw(t, "withdrawn")}
			case 7:
				f.clock.Advance(chivehillclock.Millis(rapid.IntRange(1, 2000).Draw(t, "elapsed")))
			case 8:
				earlier = append(earlier, f.candidates(anywhere)...)
			}
			f.view.Servers = make(map[chivehillid.ServerID]chivehillcatalog.Server)
			for id, e := range servers {
				if e.listed {
					f.view.Servers[id] = e.entry
				}
			}
			f.sync()
			for _, c := range append(f.candidates(anywhere), earlier...) {
				allowed := servers[c.ID()].mayGetRequests(f.clock.Now(), f.view.Withdrawn["e1"])
				if !allowed && f.table.Claim(c) {
					t.Fatalf("server %s was claimed", c.ID())
				}
				if !allowed && servers[c.ID()].listed && f.table.MayProbe(c.ID()) && !servers[c.ID()].entry.Draining && !f.view.Withdrawn["e1"] {
					t.Fatalf("server %s may be probed", c.ID())
				}
			}
		}
	})
}
