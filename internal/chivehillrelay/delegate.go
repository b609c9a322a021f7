package chivehillrelay

import (
	"cmp"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwatcher"
)

// slowDelegateTime is how long each host is asked to watch the store once chivehillwatcher.Delegates
// hosts were asked in vain: the store is most likely down for all.
const slowDelegateTime = 700 * chivehillclock.Millisecond

// delegations records which hosts this one has asked to watch the store in its place.
type delegations struct {
	// count is how many times a host was asked.
	count int
	// at is when each host was last asked.
	at map[chivehillid.HostID]chivehillclock.Millis
}

// record adds that a host is asked.
func (e *delegations) record(now chivehillclock.Millis, id chivehillid.HostID) {
	if e.at == nil {
		e.at = make(map[chivehillid.HostID]chivehillclock.Millis)
	}
	e.count++
	e.at[id] = now
}

// delegate returns the peer of the region that should watch the store in place
// of this host: the previous delegate until it reports that the store does not
// answer it, then the peer that was not asked for longest, of several the one with the
// highest priority.
func (s State) delegate() chivehillid.HostID {
	var candidates []chivehillid.HostID
	for id, p := range s.Peers {
		if p.Host.Region == s.Self.Region && p.Live && p.HasHeartbeat && !p.Leaving && !p.StoreUnreachable {
			candidates = append(candidates, id)
		}
	}
	if slices.Contains(candidates, s.Delegate) || s.keepsDelegate() {
		return s.Delegate
	}
	if len(candidates) == 0 {
		return ""
	}
	return slices.MinFunc(candidates, func(a, b chivehillid.HostID) int {
		return cmp.Or(compareAsked(s.Asked.at, a, b), comparePriority(s.Hosts[a], s.Hosts[b]))
	})
}

// keepsDelegate reports whether the previous delegate goes on although the store does not
// answer it either.
func (s State) keepsDelegate() bool {
	return s.Peers[s.Delegate].Live && s.Asked.count >= chivehillwatcher.Delegates && s.Now-s.Asked.at[s.Delegate] < slowDelegateTime
}

// compareAsked orders hosts by when they were last asked, those never asked first.
func compareAsked(at map[chivehillid.HostID]chivehillclock.Millis, a, b chivehillid.HostID) int {
	atA, askedA := at[a]
	atB, askedB := at[b]
	switch {
	case askedA && askedB:
		return cmp.Compare(atA, atB)
	case askedA:
		return 1
	case askedB:
		return -1
	}
	return 0
}

// isDelegate reports whether a live peer asks this host to watch the store in its
// place.
func (s State) isDelegate() bool {
	for _, p := range s.Peers {
		if p.Live && p.Delegate == s.Self.ID {
			return true
		}
	}
	return false
}
