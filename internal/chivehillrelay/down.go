package chivehillrelay

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// isTold reports whether a live peer has told this host what hosts tell one another. A host that
// does not know the others yet cannot tell which of those that the peer considers down exist.
func (s State) isTold() bool {
	if len(s.Hosts) == 0 {
		return false
	}
	for _, p := range s.Peers {
		if p.isInformed() {
			return true
		}
	}
	return false
}

func (p PeerState) isInformed() bool { return p.Live && p.HasHeartbeat && !p.Uninformed }

// hasLedForGracePeriod reports whether this host has been leader for so long that it has found
// all hosts that are down.
func (s State) hasLedForGracePeriod() bool {
	return s.Leader && s.Now-max(s.Started, s.LeaderSince) > unreachableGracePeriod
}

// downHosts returns the hosts that callers must not be sent to. A follower adopts
// the list of its leader. A leader determines the list of its own failure domain
// from its connections and adopts the lists of its peers for the other ones. A host
// that has lost its leader and is not leader itself keeps its previous list. Leaving
// peers are always in the result, other live peers never.
//
// A peer that is not informed may not know yet that a host is down, so its list takes
// none away. A host that is not informed itself takes over the lists of all that are.
func (d *Decision) downHosts(s State, leader *PeerState) map[chivehillid.HostID]bool {
	down := make(map[chivehillid.HostID]bool)
	all := func(chivehillcatalog.Host) bool { return true }
	if leader == nil || !leader.isInformed() {
		s.takeOverDown(down)
	}
	switch {
	case leader != nil && leader.isInformed():
		addAll(down, leader.Down)
	case leader != nil:
		addAll(down, leader.Down)
		s.keepPreviousDown(down, all)
	case d.Leader:
		s.markUnreachable(down)
	default:
		s.keepPreviousDown(down, all)
	}
	for id, p := range s.Peers {
		switch {
		case p.Leaving:
			down[id] = true
		case p.Live:
			delete(down, id)
		}
	}
	delete(down, s.Self.ID)
	return down
}

func addAll(down map[chivehillid.HostID]bool, ids []chivehillid.HostID) {
	for _, id := range ids {
		down[id] = true
	}
}

// takeOverDown adds the listed hosts that informed peers consider down, if this host is not
// informed itself.
func (s State) takeOverDown(down map[chivehillid.HostID]bool) {
	if !s.Uninformed {
		return
	}
	for _, p := range s.Peers {
		if !p.isInformed() {
			continue
		}
		for _, id := range p.Down {
			if _, listed := s.Hosts[id]; listed {
				down[id] = true
			}
		}
	}
}

// keepPreviousDown adds the listed hosts that were down in the previous decision
// and that match accepts.
func (s State) keepPreviousDown(down map[chivehillid.HostID]bool, match func(chivehillcatalog.Host) bool) {
	for id := range s.Down {
		if h, listed := s.Hosts[id]; listed && match(h) {
			down[id] = true
		}
	}
}

// markUnreachable adds the hosts that a leader considers unreachable. For a failure
// domain with a live peer it adds those that the peer reports, and keeps those that
// were already down unless the peer is informed. For its own domain
// and those without a live peer it adds the hosts that have had no live connection
// for the grace period, and keeps those that were already down.
func (s State) markUnreachable(down map[chivehillid.HostID]bool) {
	reachedDomains := make(map[chivehillid.DomainID]bool)
	informedDomains := make(map[chivehillid.DomainID]bool)
	for _, p := range s.Peers {
		if !p.Live || p.Host.Domain == s.Self.Domain {
			continue
		}
		reachedDomains[p.Host.Domain] = true
		if p.isInformed() {
			informedDomains[p.Host.Domain] = true
		}
		for _, id := range p.Down {
			if s.Hosts[id].Domain == p.Host.Domain {
				down[id] = true
			}
		}
	}
	s.keepPreviousDown(down, func(h chivehillcatalog.Host) bool { return !informedDomains[h.Domain] })
	since := s.Now
	if s.Leader {
		since = max(s.Started, s.LeaderSince)
	}
	for id, h := range s.Hosts {
		if reachedDomains[h.Domain] || s.Peers[id].Live {
			continue
		}
		if s.Now-max(since, s.LastSeenAt[id]) > unreachableGracePeriod {
			down[id] = true
		}
	}
}
