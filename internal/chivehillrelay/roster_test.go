package chivehillrelay

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// hostsOf returns n hosts of each failure domain.
func hostsOf(n int, domains ...chivehillid.DomainID) map[chivehillid.HostID]chivehillcatalog.Host {
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

// world returns the situation of a host that has run for long, connected with all hosts.
func world(self chivehillcatalog.Host, hosts map[chivehillid.HostID]chivehillcatalog.Host) Situation {
	s := Situation{
		Now: now, Self: self, Hosts: hosts, Peers: make(map[chivehillid.HostID]PeerState), SeenAt: make(map[chivehillid.HostID]chivehillclock.Millis),
		Informed: true, ContactAt: now, ContactEver: true, Head: true,
	}
	for id, h := range hosts {
		if id != self.ID {
			s.Peers[id] = PeerState{Host: h, Live: true, Beaten: true, ContactAt: now, ContactEver: true}
		}
	}
	return s
}

func (s Situation) lose(ids ...chivehillid.HostID) Situation {
	for _, id := range ids {
		delete(s.Peers, id)
	}
	return s
}

// withoutContact takes from the peers that the store answered them.
func (s Situation) withoutContact() Situation {
	for id, p := range s.Peers {
		p.ContactEver = false
		s.Peers[id] = p
	}
	return s
}

func TestOneWatchesPerRegion(t *testing.T) {
	hosts := hostsOf(4, "e1", "e2", "w1", "w2")
	watching := make(map[chivehillid.RegionID]int)
	for _, h := range hosts {
		if Decide(world(h, hosts)).Watch {
			watching[h.Region]++
		}
	}
	qt.Assert(t, watching, qt.DeepEquals, map[chivehillid.RegionID]int{"e": 1, "w": 1})
}

func TestWhoWatches(t *testing.T) {
	hosts := hostsOf(3, "e1")
	ranked := order("e1", hosts)
	first, second, third := ranked[0], ranked[1], ranked[2]
	old := now - contactTime - chivehillclock.Second
	tests := []struct {
		about string
		self  chivehillcatalog.Host
		with  func(Situation) Situation
		watch bool
	}{
		{"the first", first, func(s Situation) Situation { return s }, true},
		{"the second follows", second, func(s Situation) Situation { return s }, false},
		{"the second without the first", second, func(s Situation) Situation { return s.lose(first.ID) }, true},
		{"the third without the first", third, func(s Situation) Situation { return s.lose(first.ID) }, false},
		{"the second lost the first a moment ago", second, func(s Situation) Situation {
			s.LedAt = now - blindStep/2
			return s.lose(first.ID)
		}, false},
		{"the second lost the first a step ago", second, func(s Situation) Situation {
			s.LedAt = now - blindStep
			return s.lose(first.ID)
		}, true},
		{"the third lost the first and does not reach the second yet", third, func(s Situation) Situation {
			s.LedAt = now - blindStep
			return s.lose(first.ID, second.ID)
		}, false},
		{"the third reaches neither for two steps", third, func(s Situation) Situation {
			s.LedAt = now - 2*blindStep
			return s.lose(first.ID, second.ID)
		}, true},
		{"the third lost the second, the first leaves", third, func(s Situation) Situation {
			s.LedAt = now - blindStep
			p := s.Peers[first.ID]
			p.Leaving = true
			s.Peers[first.ID] = p
			return s.lose(second.ID)
		}, true},
		{"the second cut off from all", second, func(s Situation) Situation { return s.lose(first.ID, third.ID) }, true},
		{"asked to watch", third, func(s Situation) Situation {
			p := s.Peers[first.ID]
			p.Delegate = third.ID
			s.Peers[first.ID] = p
			return s
		}, true},
		{"the first leaves", second, func(s Situation) Situation {
			p := s.Peers[first.ID]
			p.Leaving = true
			s.Peers[first.ID] = p
			return s
		}, true},
		{"nobody reaches the store for long", second, func(s Situation) Situation {
			s.ContactAt = old
			for id, p := range s.Peers {
				p.ContactAt = old
				s.Peers[id] = p
			}
			return s
		}, true},
		{"nobody reaches the store, but the first looks for one that does", second, func(s Situation) Situation {
			s.ContactAt = old
			for id, p := range s.Peers {
				p.ContactAt, p.Searching = old, id == first.ID
				s.Peers[id] = p
			}
			return s
		}, false},
		{"just started, nothing known, a host before", second, func(s Situation) Situation {
			s.Started, s.Informed, s.ContactEver = now-settleTime/2, false, false
			return s
		}, false},
		{"started a while ago, follows a host that the store does not answer", second, func(s Situation) Situation {
			s.Started, s.Informed = now-settleTime-2*blindStep, false
			s.ContactEver = false
			return s.withoutContact()
		}, true},
		{"started a while ago, follows a host that the store answers", second, func(s Situation) Situation {
			s.Started, s.Informed, s.ContactEver = now-settleTime-2*blindStep, false, false
			return s
		}, false},
		{"learns nothing for long from a host that the store answers", second, func(s Situation) Situation {
			s.Started, s.Informed, s.ContactEver = now-settleTime-2*blindStep-informTime, false, false
			return s
		}, true},
		{"started a while ago, follows a host that the store answered long ago", second, func(s Situation) Situation {
			s.Started, s.Informed, s.ContactEver = now-settleTime-2*blindStep, false, false
			for id, p := range s.Peers {
				p.ContactAt = old
				s.Peers[id] = p
			}
			return s
		}, true},
		{"just started, reaches nobody, two hosts before", third, func(s Situation) Situation {
			s.Started, s.Informed, s.ContactEver, s.Head = now-settleTime, false, false, false
			return s.lose(first.ID, second.ID)
		}, false},
		{"started a while ago, reaches nobody, two hosts before", third, func(s Situation) Situation {
			s.Started, s.Informed, s.ContactEver, s.Head = now-settleTime-2*blindStep, false, false, false
			return s.lose(first.ID, second.ID)
		}, true},
		{"just started and knows no hosts", first, func(s Situation) Situation {
			s.Started, s.Hosts, s.Informed = now-settleTime, nil, false
			return s.lose(second.ID, third.ID)
		}, false},
		{"started a while ago, its look at the hosts is not answered yet", first, func(s Situation) Situation {
			s.Started, s.Hosts, s.Informed, s.ContactEver = now-blindTime/2, nil, false, false
			return s.lose(second.ID, third.ID)
		}, false},
		{"started long ago and knows no hosts", first, func(s Situation) Situation {
			s.Started, s.Hosts, s.Informed, s.ContactEver = now-blindTime-1, nil, false, false
			return s.lose(second.ID, third.ID)
		}, true},
		{"just started for the first time, first of those listed so far", first, func(s Situation) Situation {
			s.Started, s.FirstStart, s.Informed, s.ContactEver = now-settleTime, true, false, false
			return s.lose(second.ID, third.ID)
		}, false},
		{"started for the first time a while ago", first, func(s Situation) Situation {
			s.Started, s.FirstStart, s.Informed, s.ContactEver = now-firstSettleTime, true, false, false
			return s.lose(second.ID, third.ID)
		}, true},
		{"just started and first of its region", first, func(s Situation) Situation {
			s.Started = now
			return s.lose(second.ID, third.ID)
		}, true},
	}
	for _, tt := range tests {
		d := Decide(tt.with(world(tt.self, hosts)))
		qt.Check(t, d.Watch, qt.Equals, tt.watch, qt.Commentf("%s", tt.about))
	}
}

// TestHostsThatDoNotAnswerArePassedOver cuts the first hosts of a large failure
// domain off: the others find the next one instead of becoming heads all.
func TestHostsThatDoNotAnswerArePassedOver(t *testing.T) {
	hosts := hostsOf(20, "e1")
	ranked := order("e1", hosts)
	ids := func(list []chivehillcatalog.Host) (names []chivehillid.HostID) {
		for _, h := range list {
			names = append(names, h.ID)
		}
		return names
	}
	s := world(ranked[10], hosts)
	s.Peers, s.LedAt, s.Head, s.Informed, s.ContactEver = nil, now, false, false, false
	d := Decide(s)
	qt.Check(t, ids(d.Dial), qt.DeepEquals, ids(ranked[:2]), qt.Commentf("nothing is known of them"))
	s.Failed = map[chivehillid.HostID]bool{ranked[0].ID: true, ranked[1].ID: true}
	d = Decide(s)
	qt.Check(t, ids(d.Dial), qt.DeepEquals, ids(ranked[:4]), qt.Commentf("the next ones as well"))
	qt.Check(t, d.Head, qt.IsFalse)
	s.Peers = map[chivehillid.HostID]PeerState{ranked[2].ID: {Host: ranked[2], Live: true, Beaten: true}}
	d = Decide(s)
	qt.Check(t, d.Led, qt.IsTrue)
	qt.Check(t, d.Watch, qt.IsTrue, qt.Commentf("learnt nothing for 100 s"))

	// The third host takes over at once, since both before it do not answer.
	s = world(ranked[2], hosts)
	s.Peers, s.LedAt, s.Head = nil, now, false
	s.Failed = map[chivehillid.HostID]bool{ranked[0].ID: true, ranked[1].ID: true}
	qt.Check(t, Decide(s).Head, qt.IsTrue)
}

// TestFewStartingHostsTryTheStore starts a large failure domain whose head
// learns nothing: the hosts try one after the other.
func TestFewStartingHostsTryTheStore(t *testing.T) {
	hosts := hostsOf(26, "e1", "e2")
	tests := []struct {
		after chivehillclock.Millis
		most  int
	}{
		{settleTime + maxBlindSteps*blindStep + 1, 2 * (maxBlindSteps + 1)},
		{2 * chivehillclock.Second, 2 * (maxBlindSteps + 3)},
		{4 * chivehillclock.Second, 2 * (maxBlindSteps + 7)},
	}
	for _, tt := range tests {
		watching := 0
		for _, h := range hosts {
			s := world(h, hosts).withoutContact()
			s.Started, s.LedAt, s.Informed, s.ContactEver, s.Head = now-tt.after, now, false, false, false
			if Decide(s).Watch {
				watching++
			}
		}
		qt.Check(t, watching > 0 && watching <= tt.most, qt.IsTrue, qt.Commentf("%d after %v ms, at most %d", watching, tt.after, tt.most))
	}
}

// TestLargerHostsFirst gives one host of each failure domain more capacity: it is the head.
func TestLargerHostsFirst(t *testing.T) {
	hosts := hostsOf(5, "e1", "w1")
	for _, d := range []chivehillid.DomainID{"e1", "w1"} {
		last := order(d, hosts)[4]
		last.Capacity = 2
		hosts[last.ID] = last
		qt.Check(t, order(d, hosts)[0].ID, qt.Equals, last.ID)
		qt.Check(t, Decide(world(last, hosts)).Watch, qt.IsTrue)
		s := world(order(d, hosts)[1], hosts)
		qt.Check(t, s.delegate(), qt.Equals, last.ID)
	}
}

func TestDelegate(t *testing.T) {
	hosts := hostsOf(3, "e1")
	ranked := order("e1", hosts)
	s := world(ranked[0], hosts)
	qt.Assert(t, Decide(s).Delegate, qt.Equals, chivehillid.HostID(""))
	s.Lost = true
	first := Decide(s).Delegate
	qt.Assert(t, first, qt.Not(qt.Equals), chivehillid.HostID(""))
	s.Delegate = first
	qt.Assert(t, Decide(s).Delegate, qt.Equals, first)
	p := s.Peers[first]
	p.Lost = true
	s.Peers[first] = p
	qt.Assert(t, Decide(s).Delegate, qt.Not(qt.Equals), first)
	qt.Assert(t, Decide(s.lose(ranked[1].ID, ranked[2].ID)).Delegate, qt.Equals, chivehillid.HostID(""))
}

func TestHostsOutOfReach(t *testing.T) {
	hosts := hostsOf(3, "e1", "w1")
	east, west := order("e1", hosts), order("w1", hosts)
	tests := []struct {
		about string
		self  chivehillcatalog.Host
		with  func(Situation) Situation
		down  []chivehillid.HostID
	}{
		{"all there", east[0], func(s Situation) Situation { return s }, nil},
		{"one of the own domain gone", east[0], func(s Situation) Situation { return s.lose(east[2].ID) }, []chivehillid.HostID{east[2].ID}},
		{"gone a moment ago", east[0], func(s Situation) Situation {
			s.SeenAt[east[2].ID] = now - graceTime/2
			return s.lose(east[2].ID)
		}, nil},
		{"a head since a moment", east[0], func(s Situation) Situation {
			s.HeadSince = now - graceTime/2
			return s.lose(east[2].ID)
		}, nil},
		{"told by the head that is followed", east[1], func(s Situation) Situation {
			p := s.Peers[east[0].ID]
			p.Down = []chivehillid.HostID{west[1].ID}
			s.Peers[east[0].ID] = p
			return s.lose(west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[1].ID}},
		{"told by the head of another domain", east[0], func(s Situation) Situation {
			p := s.Peers[west[0].ID]
			p.Down = []chivehillid.HostID{west[2].ID, east[1].ID}
			s.Peers[west[0].ID] = p
			return s.lose(west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[2].ID}},
		{"a whole domain out of reach", east[0], func(s Situation) Situation {
			return s.lose(west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[0].ID, west[1].ID, west[2].ID}},
		{"between two heads", east[1], func(s Situation) Situation {
			s.LedAt, s.Head, s.Down = now, false, map[chivehillid.HostID]bool{west[1].ID: true}
			return s.lose(east[0].ID, west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[1].ID}},
		{"a head since a moment, told before", east[1], func(s Situation) Situation {
			s.HeadSince, s.Down = now, map[chivehillid.HostID]bool{east[0].ID: true, west[1].ID: true}
			return s.lose(east[0].ID, west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{east[0].ID, west[1].ID}},
		{"down before and not listed any more", east[1], func(s Situation) Situation {
			s.HeadSince, s.Down = now, map[chivehillid.HostID]bool{"gone": true}
			return s.lose(east[0].ID)
		}, nil},
		{"back after it was down", east[1], func(s Situation) Situation {
			s.HeadSince, s.Down = now, map[chivehillid.HostID]bool{east[2].ID: true}
			return s.lose(east[0].ID)
		}, nil},
		{"leaving", east[0], func(s Situation) Situation {
			p := s.Peers[east[1].ID]
			p.Leaving = true
			s.Peers[east[1].ID] = p
			return s
		}, []chivehillid.HostID{east[1].ID}},
	}
	for _, tt := range tests {
		var got []chivehillid.HostID
		for id := range Decide(tt.with(world(tt.self, hosts))).Down {
			got = append(got, id)
		}
		slices.Sort(got)
		slices.Sort(tt.down)
		qt.Check(t, got, qt.DeepEquals, tt.down, qt.Commentf("%s", tt.about))
	}
}
