package chivehillrelay

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// collectState returns the state from which Decide makes the next decision. It also
// updates lastSeenAt and the newest contact. The caller must hold r.mu.
func (r *Relay) collectState() State {
	now := r.Clock.Now()
	s := State{
		Now: now, Started: r.started, FirstStart: r.FirstStart, Self: r.Self, Hosts: r.Catalog.View().Hosts, Peers: make(map[chivehillid.HostID]PeerState),
		DialFailed: make(map[chivehillid.HostID]bool),
		LastSeenAt: r.lastSeenAt, Leader: r.decision.Leader, LeaderSince: r.leaderSince, LastFollowedAt: r.lastFollowedAt, Down: r.decision.Down,
	}
	s.ContactAt, s.HasContact = r.contactAt, r.hasContact
	if at, has := r.Options.Contact(); has && (!s.HasContact || at > s.ContactAt) {
		s.ContactAt, s.HasContact = at, true
	}
	s.HasAllCollections = r.hasAllCollections()
	s.StoreUnreachable, s.Delegate, s.Asked = r.watching && r.StoreUnreachable(), r.decision.Delegate, r.asked
	s.Uninformed = !r.informed.Load()
	for key, l := range r.links {
		p := l.state(now)
		if old, found := s.Peers[key.id]; !found || p.Live && !old.Live || p.HasHeartbeat && !old.HasHeartbeat {
			s.Peers[key.id] = p
		}
	}
	r.contactAt, r.hasContact = newestContact(s)
	for id, h := range s.Hosts {
		if target := r.dialState[h.PeerAddress]; target != nil && target.failed {
			s.DialFailed[id] = true
		}
		if _, seen := r.lastSeenAt[id]; !seen {
			r.lastSeenAt[id] = now
		}
		if s.Peers[id].Live {
			r.lastSeenAt[id] = now
		}
	}
	return s
}

// tick makes a new decision, applies it and sends the heartbeats that are due.
func (r *Relay) tick() {
	r.mu.Lock()
	s := r.collectState()
	d := Decide(s)
	if r.leaving {
		d.Watch = r.watching
	}
	downChanged := !sameKeys(r.decision.Down, d.Down)
	if d.Leader && !r.decision.Leader {
		r.leaderSince = s.Now
	}
	if d.Following {
		r.lastFollowedAt = s.Now
	}
	watchChanged := d.Watch != r.watching
	r.watching = d.Watch
	r.closeUnneeded(s, d)
	delegateChanged := d.Delegate != s.Delegate
	r.recordDelegate(s, d)
	statusChanged := delegateChanged || s.StoreUnreachable != r.storeUnreachable || d.Searching != r.decision.Searching || d.Uninformed != s.Uninformed
	r.storeUnreachable = s.StoreUnreachable
	r.informed.Store(!d.Uninformed)
	r.decision = d
	crossRegionDue := s.Now-r.lastCrossRegionHeartbeat >= crossRegionHeartbeatPeriod
	sameRegionDue := statusChanged || s.Now-r.lastHeartbeat >= heartbeatPeriod
	if sameRegionDue {
		r.lastHeartbeat = s.Now
	}
	if crossRegionDue {
		r.lastCrossRegionHeartbeat = s.Now
	}
	r.mu.Unlock()
	if d.Uninformed != s.Uninformed {
		r.Log.Info().Bool("uninformed", d.Uninformed).Int("hosts", len(s.Hosts)).Bool("hosts-listed", r.Catalog.AsOf(chivehillcatalog.Hosts) != 0).Strs("down", sortedNames(d.Down)).Msg("relay: this host is informed now.")
	}
	r.apply(d, watchChanged, downChanged)
	if delegateChanged {
		r.Log.Info().Str("delegate", string(d.Delegate)).Str("previous", string(s.Delegate)).Int("asked", s.Asked.count).Float64("contact-age-ms", float64(s.Now-d.ContactAt)).Msg("relay: the host that watches the store in place of this one changed.")
	}
	for _, l := range r.allLinks() {
		r.catchUp(l)
	}
	r.sendHeartbeats(func(l *link) bool {
		if l.host.Region == r.Self.Region {
			return sameRegionDue
		}
		return crossRegionDue
	})
	r.sendEvidence(s.Now, sameRegionDue, crossRegionDue)
}

// recordDelegate records which host is asked to watch the store in place of this one. The
// caller holds r.mu.
func (r *Relay) recordDelegate(s State, d Decision) {
	switch {
	case !s.StoreUnreachable:
		r.asked = delegations{}
	case d.Delegate != "" && d.Delegate != s.Delegate:
		r.asked.record(s.Now, d.Delegate)
	}
}

func (r *Relay) apply(d Decision, watchChanged, downChanged bool) {
	if watchChanged {
		r.Log.Info().Bool("watch", d.Watch).Float64("contact-age-ms", float64(r.Clock.Now()-d.ContactAt)).Msg("relay: this host started or stopped watching the store.")
		r.SetWatch(d.Watch)
	}
	if downChanged {
		r.Log.Info().Strs("down", sortedNames(d.Down)).Msg("relay: set of down hosts changed.")
		r.DownChanged()
	}
	for _, h := range d.Dial {
		r.connect(h.PeerAddress)
	}
}

func sortedNames(set map[chivehillid.HostID]bool) []string {
	var names []string
	for id := range set {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return names
}

func sameKeys(a, b map[chivehillid.HostID]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// closeUnneeded closes timed-out connections and those that this host dialed and
// no longer needs. A dialed connection that is live stays until its first heartbeat and
// until this host has all collections. The caller must hold r.mu.
func (r *Relay) closeUnneeded(s State, d Decision) {
	for key, l := range r.links {
		p := l.state(s.Now)
		unneeded := key.dialed && p.HasHeartbeat && !d.Keep[key.id] && s.HasAllCollections
		if !p.Live || unneeded {
			go func() { _ = l.conn.CloseNow() }()
		}
	}
}

// hasAllCollections reports whether this host has every collection.
func (r *Relay) hasAllCollections() bool {
	for _, c := range r.Catalog.Collections() {
		if r.Catalog.AsOf(c) == 0 {
			return false
		}
	}
	return true
}
