package chivehillrelay

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// withPeer changes what is known of a peer.
func (s State) withPeer(id chivehillid.HostID, change func(*PeerState)) State {
	p := s.Peers[id]
	change(&p)
	s.Peers[id] = p
	return s
}

func TestDownHosts(t *testing.T) {
	hosts := newHosts(3, "e1", "w1")
	east, west := byPriority("e1", hosts), byPriority("w1", hosts)
	tests := []struct {
		about  string
		self   chivehillcatalog.Host
		modify func(State) State
		down   []chivehillid.HostID
	}{
		{"all hosts connected", east[0], func(s State) State { return s }, nil},
		{"host of the own domain not connected", east[0], func(s State) State { return s.withoutPeers(east[2].ID) }, []chivehillid.HostID{east[2].ID}},
		{"host lost within the grace period", east[0], func(s State) State {
			s.LastSeenAt[east[2].ID] = now - unreachableGracePeriod/2
			return s.withoutPeers(east[2].ID)
		}, nil},
		{"leader for less than the grace period", east[0], func(s State) State {
			s.LeaderSince = now - unreachableGracePeriod/2
			return s.withoutPeers(east[2].ID)
		}, nil},
		{"reported by the leader that is followed", east[1], func(s State) State {
			p := s.Peers[east[0].ID]
			p.Down = []chivehillid.HostID{west[1].ID}
			s.Peers[east[0].ID] = p
			return s.withoutPeers(west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[1].ID}},
		{"reported by the leader of another domain", east[0], func(s State) State {
			p := s.Peers[west[0].ID]
			p.Down = []chivehillid.HostID{west[2].ID, east[1].ID}
			s.Peers[west[0].ID] = p
			return s.withoutPeers(west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[2].ID}},
		{"no host of another domain connected", east[0], func(s State) State {
			return s.withoutPeers(west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[0].ID, west[1].ID, west[2].ID}},
		{"leader lost and not replaced yet", east[1], func(s State) State {
			s.LastFollowedAt, s.Leader, s.Down = now, false, map[chivehillid.HostID]bool{west[1].ID: true}
			return s.withoutPeers(east[0].ID, west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[1].ID}},
		{"new leader keeps the hosts that were down", east[1], func(s State) State {
			s.LeaderSince, s.Down = now, map[chivehillid.HostID]bool{east[0].ID: true, west[1].ID: true}
			return s.withoutPeers(east[0].ID, west[0].ID, west[1].ID, west[2].ID)
		}, []chivehillid.HostID{east[0].ID, west[1].ID}},
		{"down before and no longer listed", east[1], func(s State) State {
			s.LeaderSince, s.Down = now, map[chivehillid.HostID]bool{"gone": true}
			return s.withoutPeers(east[0].ID)
		}, nil},
		{"connected again after it was down", east[1], func(s State) State {
			s.LeaderSince, s.Down = now, map[chivehillid.HostID]bool{east[2].ID: true}
			return s.withoutPeers(east[0].ID)
		}, nil},
		{"reported by the leader that is followed, known by this host before", east[1], func(s State) State {
			s.Down = map[chivehillid.HostID]bool{west[1].ID: true}
			return s.withoutPeers(west[0].ID, west[1].ID, west[2].ID)
		}, nil},
		{"known before, the leader that is followed is not informed", east[1], func(s State) State {
			s.Down = map[chivehillid.HostID]bool{west[1].ID: true}
			return s.withoutPeers(west[0].ID, west[1].ID, west[2].ID).withPeer(east[0].ID, func(p *PeerState) { p.Uninformed = true })
		}, []chivehillid.HostID{west[1].ID}},
		{"just started, follows a leader that is not informed, a seed is", east[1], func(s State) State {
			s.Uninformed = true
			s = s.withPeer(east[0].ID, func(p *PeerState) { p.Uninformed = true })
			return s.withPeer(west[0].ID, func(p *PeerState) { p.Down = []chivehillid.HostID{east[2].ID} }).withoutPeers(east[2].ID)
		}, []chivehillid.HostID{east[2].ID}},
		{"just started, neither follows nor leads yet, a seed knows", east[1], func(s State) State {
			s.Uninformed, s.Leader, s.Started, s.LastFollowedAt = true, false, now, now
			return s.withPeer(west[0].ID, func(p *PeerState) { p.Down = []chivehillid.HostID{east[2].ID} }).withoutPeers(east[0].ID, east[2].ID)
		}, []chivehillid.HostID{east[2].ID}},
		{"just started and leads, a host that follows it knows", east[0], func(s State) State {
			s.Uninformed, s.LeaderSince = true, now
			return s.withPeer(east[1].ID, func(p *PeerState) { p.Down = []chivehillid.HostID{east[0].ID, east[2].ID, "gone"} }).withoutPeers(east[2].ID)
		}, []chivehillid.HostID{east[2].ID}},
		{"just started and leads, a host that has just started, too, follows it", east[0], func(s State) State {
			s.Uninformed, s.LeaderSince = true, now
			return s.withPeer(east[1].ID, func(p *PeerState) { p.Uninformed, p.Down = true, []chivehillid.HostID{east[2].ID} }).withoutPeers(east[2].ID)
		}, nil},
		{"leads and is informed, a host that follows it has an old list", east[0], func(s State) State {
			s.LeaderSince = now
			return s.withPeer(east[1].ID, func(p *PeerState) { p.Down = []chivehillid.HostID{east[2].ID} }).withoutPeers(east[2].ID)
		}, nil},
		{"known before, the leader of the other domain is not informed", east[0], func(s State) State {
			s.Down = map[chivehillid.HostID]bool{west[2].ID: true}
			return s.withPeer(west[0].ID, func(p *PeerState) { p.Uninformed = true }).withoutPeers(west[1].ID, west[2].ID)
		}, []chivehillid.HostID{west[2].ID}},
		{"known before, the leader of the other domain reports none", east[0], func(s State) State {
			s.Down = map[chivehillid.HostID]bool{west[2].ID: true}
			return s.withoutPeers(west[1].ID, west[2].ID)
		}, nil},
		{"hosts of another domain not connected, its leader is not informed", east[0], func(s State) State {
			return s.withPeer(west[0].ID, func(p *PeerState) { p.Uninformed = true }).withoutPeers(west[1].ID, west[2].ID)
		}, nil},
		{"leaving", east[0], func(s State) State {
			p := s.Peers[east[1].ID]
			p.Leaving = true
			s.Peers[east[1].ID] = p
			return s
		}, []chivehillid.HostID{east[1].ID}},
	}
	for _, tt := range tests {
		var got []chivehillid.HostID
		for id := range Decide(tt.modify(connectedState(tt.self, hosts))).Down {
			got = append(got, id)
		}
		slices.Sort(got)
		slices.Sort(tt.down)
		qt.Check(t, got, qt.DeepEquals, tt.down, qt.Commentf("%s", tt.about))
	}
}

// TestLeaderIsNeverInformed guards against a host that starts alone and counts as uninformed for
// good, so that its list of down hosts takes no host away from those of others.
func TestLeaderIsNeverInformed(t *testing.T) {
	hosts := newHosts(2, "e1")
	east := byPriority("e1", hosts)
	tests := []struct {
		about      string
		modify     func(State) State
		uninformed bool
	}{
		{"leads for less than the grace period", func(s State) State {
			s.LeaderSince = now - unreachableGracePeriod
			return s.withoutPeers(east[1].ID)
		}, true},
		{"leads for longer", func(s State) State {
			s.LeaderSince = now - unreachableGracePeriod - 1
			return s.withoutPeers(east[1].ID)
		}, false},
		{"leads for longer than it runs", func(s State) State {
			s.Started = now - unreachableGracePeriod
			return s.withoutPeers(east[1].ID)
		}, true},
		{"reaches a host that is not informed only", func(s State) State {
			s.Leader = false
			return s.withPeer(east[1].ID, func(p *PeerState) { p.Uninformed = true })
		}, true},
		{"is told", func(s State) State { return s }, false},
		{"is told before it knows the hosts", func(s State) State {
			s.Hosts, s.Leader = nil, false
			return s
		}, true},
	}
	for _, tt := range tests {
		s := connectedState(east[0], hosts)
		s.Uninformed = true
		qt.Check(t, Decide(tt.modify(s)).Uninformed, qt.Equals, tt.uninformed, qt.Commentf("%s", tt.about))
	}
}
