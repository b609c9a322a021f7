package chivehillrelay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// newHosts returns n hosts in each failure domain.
func newHosts(n int, domains ...chivehillid.DomainID) map[chivehillid.HostID]chivehillcatalog.Host {
	hosts := make(map[chivehillid.HostID]chivehillcatalog.Host)
	for _, d := range domains {
		for i := range n {
			id := chivehillid.HostID(string(d) + "-" + string(rune('a'+i)))
			hosts[id] = chivehillcatalog.Host{ID: id, Domain: d, Region: chivehillid.RegionID(d[:1]), PeerAddress: string(id)}
		}
	}
	return hosts
}

const now = 100 * chivehillclock.Second

// connectedState returns the state of a host that started long ago, has all
// collections and is connected to all hosts.
func connectedState(self chivehillcatalog.Host, hosts map[chivehillid.HostID]chivehillcatalog.Host) State {
	s := State{
		Now: now, Self: self, Hosts: hosts, Peers: make(map[chivehillid.HostID]PeerState), LastSeenAt: make(map[chivehillid.HostID]chivehillclock.Millis),
		HasAllCollections: true, ContactAt: now, HasContact: true, Leader: true,
	}
	for id, h := range hosts {
		if id != self.ID {
			s.Peers[id] = PeerState{Host: h, Live: true, HasHeartbeat: true, ContactAt: now, HasContact: true}
		}
	}
	return s
}

func (s State) withoutPeers(ids ...chivehillid.HostID) State {
	for _, id := range ids {
		delete(s.Peers, id)
	}
	return s
}

// withoutContact removes the peers' contact with the store.
func (s State) withoutContact() State {
	for id, p := range s.Peers {
		p.HasContact = false
		s.Peers[id] = p
	}
	return s
}

func TestOneHostPerRegionWatchesStore(t *testing.T) {
	hosts := newHosts(4, "e1", "e2", "w1", "w2")
	watching := make(map[chivehillid.RegionID]int)
	for _, h := range hosts {
		if Decide(connectedState(h, hosts)).Watch {
			watching[h.Region]++
		}
	}
	qt.Assert(t, watching, qt.DeepEquals, map[chivehillid.RegionID]int{"e": 1, "w": 1})
}

func TestWatchDecision(t *testing.T) {
	hosts := newHosts(3, "e1")
	hostsByPriority := byPriority("e1", hosts)
	first, second, third := hostsByPriority[0], hostsByPriority[1], hostsByPriority[2]
	old := now - contactTimeout - chivehillclock.Second
	tests := []struct {
		about  string
		self   chivehillcatalog.Host
		modify func(State) State
		watch  bool
	}{
		{"the first host watches", first, func(s State) State { return s }, true},
		{"the second follows", second, func(s State) State { return s }, false},
		{"the second is not connected to the first", second, func(s State) State { return s.withoutPeers(first.ID) }, true},
		{"the third follows the second if the first is not connected", third, func(s State) State { return s.withoutPeers(first.ID) }, false},
		{"the second lost the first less than one stagger step ago", second, func(s State) State {
			s.LastFollowedAt = now - shortStaggerStep/2
			return s.withoutPeers(first.ID)
		}, false},
		{"the second lost the first one stagger step ago", second, func(s State) State {
			s.LastFollowedAt = now - shortStaggerStep
			return s.withoutPeers(first.ID)
		}, true},
		{"the third lost the first one stagger step ago and does not reach the second", third, func(s State) State {
			s.LastFollowedAt = now - shortStaggerStep
			return s.withoutPeers(first.ID, second.ID)
		}, false},
		{"the third reaches neither for two stagger steps", third, func(s State) State {
			s.LastFollowedAt = now - 2*shortStaggerStep
			return s.withoutPeers(first.ID, second.ID)
		}, true},
		{"the third does not wait for the first, which is leaving, after it lost the second", third, func(s State) State {
			s.LastFollowedAt = now - shortStaggerStep
			p := s.Peers[first.ID]
			p.Leaving = true
			s.Peers[first.ID] = p
			return s.withoutPeers(second.ID)
		}, true},
		{"the second is not connected to any host", second, func(s State) State { return s.withoutPeers(first.ID, third.ID) }, true},
		{"the third is the delegate of the first", third, func(s State) State {
			p := s.Peers[first.ID]
			p.Delegate = third.ID
			s.Peers[first.ID] = p
			return s
		}, true},
		{"the second does not follow the first, which is leaving", second, func(s State) State {
			p := s.Peers[first.ID]
			p.Leaving = true
			s.Peers[first.ID] = p
			return s
		}, true},
		{"no host has had contact with the store within the timeout", second, func(s State) State {
			s.ContactAt = old
			for id, p := range s.Peers {
				p.ContactAt = old
				s.Peers[id] = p
			}
			return s
		}, true},
		{"no recent contact with the store, but the first host is searching", second, func(s State) State {
			s.ContactAt = old
			for id, p := range s.Peers {
				p.ContactAt, p.Searching = old, id == first.ID
				s.Peers[id] = p
			}
			return s
		}, false},
		{"just started without collections, follows a host", second, func(s State) State {
			s.Started, s.HasAllCollections, s.HasContact = now-discoveryTime/2, false, false
			return s
		}, false},
		{"started without collections a while ago, follows a host without store contact", second, func(s State) State {
			s.Started, s.HasAllCollections = now-discoveryTime-2*shortStaggerStep, false
			s.HasContact = false
			return s.withoutContact()
		}, true},
		{"started without collections a while ago, follows a host with store contact", second, func(s State) State {
			s.Started, s.HasAllCollections, s.HasContact = now-discoveryTime-2*shortStaggerStep, false, false
			return s
		}, false},
		{"receives no collections in time from a host with store contact", second, func(s State) State {
			s.Started, s.HasAllCollections, s.HasContact = now-discoveryTime-2*shortStaggerStep-syncWait, false, false
			return s
		}, true},
		{"started without collections a while ago, follows a host with old store contact", second, func(s State) State {
			s.Started, s.HasAllCollections, s.HasContact = now-discoveryTime-2*shortStaggerStep, false, false
			for id, p := range s.Peers {
				p.ContactAt = old
				s.Peers[id] = p
			}
			return s
		}, true},
		{"just started, reaches no host, two hosts precede it", third, func(s State) State {
			s.Started, s.HasAllCollections, s.HasContact, s.Leader = now-discoveryTime, false, false, false
			return s.withoutPeers(first.ID, second.ID)
		}, false},
		{"started a while ago, reaches no host, two hosts precede it", third, func(s State) State {
			s.Started, s.HasAllCollections, s.HasContact, s.Leader = now-discoveryTime-2*shortStaggerStep, false, false, false
			return s.withoutPeers(first.ID, second.ID)
		}, true},
		{"just started with an empty host list", first, func(s State) State {
			s.Started, s.Hosts, s.HasAllCollections = now-discoveryTime, nil, false
			return s.withoutPeers(second.ID, third.ID)
		}, false},
		{"started a while ago, its request for the host list is not answered yet", first, func(s State) State {
			s.Started, s.Hosts, s.HasAllCollections, s.HasContact = now-emptyListDiscoveryTime/2, nil, false, false
			return s.withoutPeers(second.ID, third.ID)
		}, false},
		{"started long ago with an empty host list", first, func(s State) State {
			s.Started, s.Hosts, s.HasAllCollections, s.HasContact = now-emptyListDiscoveryTime-1, nil, false, false
			return s.withoutPeers(second.ID, third.ID)
		}, true},
		{"first start of the deployment, first of the hosts listed so far", first, func(s State) State {
			s.Started, s.FirstStart, s.HasAllCollections, s.HasContact = now-discoveryTime, true, false, false
			return s.withoutPeers(second.ID, third.ID)
		}, false},
		{"first start of the deployment, discovery time has passed", first, func(s State) State {
			s.Started, s.FirstStart, s.HasAllCollections, s.HasContact = now-firstStartDiscoveryTime, true, false, false
			return s.withoutPeers(second.ID, third.ID)
		}, true},
		{"just started and first host of its region", first, func(s State) State {
			s.Started = now
			return s.withoutPeers(second.ID, third.ID)
		}, true},
	}
	for _, tt := range tests {
		d := Decide(tt.modify(connectedState(tt.self, hosts)))
		qt.Check(t, d.Watch, qt.Equals, tt.watch, qt.Commentf("%s", tt.about))
	}
}

// TestUnresponsiveHostsAreSkipped guards against many leaders in a large failure
// domain whose first hosts are cut off: the others must connect to the next host
// instead of all becoming leader.
func TestUnresponsiveHostsAreSkipped(t *testing.T) {
	hosts := newHosts(20, "e1")
	hostsByPriority := byPriority("e1", hosts)
	ids := func(list []chivehillcatalog.Host) (names []chivehillid.HostID) {
		for _, h := range list {
			names = append(names, h.ID)
		}
		return names
	}
	s := connectedState(hostsByPriority[10], hosts)
	s.Peers, s.LastFollowedAt, s.Leader, s.HasAllCollections, s.HasContact = nil, now, false, false, false
	d := Decide(s)
	qt.Check(t, ids(d.Dial), qt.DeepEquals, ids(hostsByPriority[:2]), qt.Commentf("no dial has failed yet"))
	s.DialFailed = map[chivehillid.HostID]bool{hostsByPriority[0].ID: true, hostsByPriority[1].ID: true}
	d = Decide(s)
	qt.Check(t, ids(d.Dial), qt.DeepEquals, ids(hostsByPriority[:4]), qt.Commentf("the next hosts are dialed too"))
	qt.Check(t, d.Leader, qt.IsFalse)
	s.Peers = map[chivehillid.HostID]PeerState{hostsByPriority[2].ID: {Host: hostsByPriority[2], Live: true, HasHeartbeat: true}}
	d = Decide(s)
	qt.Check(t, d.Following, qt.IsTrue)
	qt.Check(t, d.Watch, qt.IsTrue, qt.Commentf("no collections received for 100 s"))

	// The third host becomes leader at once, since dials of both hosts before it failed.
	s = connectedState(hostsByPriority[2], hosts)
	s.Peers, s.LastFollowedAt, s.Leader = nil, now, false
	s.DialFailed = map[chivehillid.HostID]bool{hostsByPriority[0].ID: true, hostsByPriority[1].ID: true}
	qt.Check(t, Decide(s).Leader, qt.IsTrue)
}

// TestStartingHostsTryStoreStaggered guards against overloading the store when
// large failure domains start and their leaders receive no collections: the hosts
// must try the store one after the other.
func TestStartingHostsTryStoreStaggered(t *testing.T) {
	hosts := newHosts(26, "e1", "e2")
	tests := []struct {
		sinceStart  chivehillclock.Millis
		maxWatching int
	}{
		{discoveryTime + maxShortStaggerSteps*shortStaggerStep + 1, 2 * (maxShortStaggerSteps + 1)},
		{2 * chivehillclock.Second, 2 * (maxShortStaggerSteps + 3)},
		{4 * chivehillclock.Second, 2 * (maxShortStaggerSteps + 7)},
	}
	for _, tt := range tests {
		watching := 0
		for _, h := range hosts {
			s := connectedState(h, hosts).withoutContact()
			s.Started, s.LastFollowedAt, s.HasAllCollections, s.HasContact, s.Leader = now-tt.sinceStart, now, false, false, false
			if Decide(s).Watch {
				watching++
			}
		}
		qt.Check(t, watching > 0 && watching <= tt.maxWatching, qt.IsTrue, qt.Commentf("%d after %v ms, at most %d", watching, tt.sinceStart, tt.maxWatching))
	}
}

// TestLargestHostHasPriority checks that the host with the most capacity in its
// failure domain becomes the leader and the preferred delegate.
func TestLargestHostHasPriority(t *testing.T) {
	hosts := newHosts(5, "e1", "w1")
	for _, d := range []chivehillid.DomainID{"e1", "w1"} {
		last := byPriority(d, hosts)[4]
		last.Capacity = 2
		hosts[last.ID] = last
		qt.Check(t, byPriority(d, hosts)[0].ID, qt.Equals, last.ID)
		qt.Check(t, Decide(connectedState(last, hosts)).Watch, qt.IsTrue)
		s := connectedState(byPriority(d, hosts)[1], hosts)
		qt.Check(t, s.delegate(), qt.Equals, last.ID)
	}
}
