package chivehillrelay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwatcher"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

func TestDelegateSelection(t *testing.T) {
	hosts := newHosts(3, "e1")
	hostsByPriority := byPriority("e1", hosts)
	s := connectedState(hostsByPriority[0], hosts)
	qt.Assert(t, Decide(s).Delegate, qt.Equals, chivehillid.HostID(""))
	s.StoreUnreachable = true
	first := Decide(s).Delegate
	qt.Assert(t, first, qt.Not(qt.Equals), chivehillid.HostID(""))
	s.Delegate = first
	qt.Assert(t, Decide(s).Delegate, qt.Equals, first)
	p := s.Peers[first]
	p.StoreUnreachable = true
	s.Peers[first] = p
	qt.Assert(t, Decide(s).Delegate, qt.Not(qt.Equals), first)
	qt.Assert(t, Decide(s.withoutPeers(hostsByPriority[1].ID, hostsByPriority[2].ID)).Delegate, qt.Equals, chivehillid.HostID(""))
}

// TestSameDelegatesAreAskedByTurnsWhileOthersWouldBeAnswered guards against two delegates that
// replace one another while the store turns both away, and against many that call a store that
// is down for all.
func TestSameDelegatesAreAskedByTurnsWhileOthersWouldBeAnswered(t *testing.T) {
	hosts := newHosts(6, "e1")
	hostsByPriority := byPriority("e1", hosts)
	s := connectedState(hostsByPriority[0], hosts)
	s.StoreUnreachable = true
	const answerTime = 200 * chivehillclock.Millisecond
	begin := s.Now
	var asked []chivehillid.HostID
	var since []chivehillclock.Millis
	for ; s.Now < begin+4*chivehillclock.Second; s.Now += 20 * chivehillclock.Millisecond {
		d := Decide(s).Delegate
		if d != s.Delegate {
			// A host that is no longer asked stops calling the store, so it does not report a failure.
			for id, p := range s.Peers {
				p.StoreUnreachable = false
				s.Peers[id] = p
			}
			s.Asked.record(s.Now, d)
			asked, since = append(asked, d), append(since, s.Now-begin)
			s.Delegate = d
		}
		p := s.Peers[d]
		p.StoreUnreachable = s.Now-s.Asked.at[d] >= answerTime
		s.Peers[d] = p
	}
	for i, h := range hostsByPriority[1:] {
		qt.Check(t, asked[i], qt.Equals, h.ID)
	}
	qt.Check(t, asked[5], qt.Equals, asked[0], qt.Commentf("the one not asked for longest"))
	qt.Check(t, since[chivehillwatcher.Delegates-1] <= (chivehillwatcher.Delegates-1)*(answerTime+20), qt.IsTrue, qt.Commentf("asked at %v", since))
	qt.Check(t, len(asked) <= chivehillwatcher.Delegates+5, qt.IsTrue, qt.Commentf("asked at %v", since))
}

// TestDelegateWaitsForTheNextTick guards against hosts that learn from a heartbeat that they are
// asked, or that their delegate gets no answers, and act on it with their next tick only.
func TestDelegateWaitsForTheNextTick(t *testing.T) {
	tests := []struct {
		about string
		next  chivehillwire.RelayBeat
		wakes bool
	}{
		{"nothing new", chivehillwire.RelayBeat{}, false},
		{"asks this host", chivehillwire.RelayBeat{Delegate: "self"}, true},
		{"gets no answers", chivehillwire.RelayBeat{Lost: true}, true},
		{"no longer informed", chivehillwire.RelayBeat{Uninformed: true}, true},
	}
	for _, tt := range tests {
		r := newTestRelay()
		l := newLink(r, nil, chivehillcatalog.Host{ID: "peer", Domain: "d", Region: "r"}, true)
		l.recordReceived(chivehillwire.RelayMessage{Beat: &chivehillwire.RelayBeat{}})
		qt.Check(t, l.recordReceived(chivehillwire.RelayMessage{Beat: &tt.next}), qt.Equals, tt.wakes, qt.Commentf("%s", tt.about))
	}
}
