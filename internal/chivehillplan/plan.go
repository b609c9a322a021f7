// Package chivehillplan derives what a host owns from the configuration, the
// membership and what other owners reported. It does no I/O.
package chivehillplan

import (
	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillnote"
	"github.com/chivehill/chivehill/internal/chivehillowner"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// knownFor is the time for which a reported server state counts. It may be old:
// a new owner probes the server before it relies on it.
const knownFor = 60 * chivehillclock.Second

// Plan is the ownership state of one host. It is not safe for concurrent use.
type Plan struct {
	self     chivehillid.HostID
	topology []chivehillwire.TopologyRegion
	lease    chivehillclock.Millis
	tracker  *chivehillowner.Tracker
	// known holds what owners reported of their servers.
	known map[chivehillid.ServerID]knownServer
	// reported holds the states of own servers that were last sent to peers.
	reported map[chivehillid.ServerID]knownServer
}

// knownServer is a reported state with its time.
type knownServer struct {
	state chivehillwire.ServerState
	at    chivehillclock.Millis
}

// New returns the plan of a host that starts now.
func New(self chivehillid.HostID, topology []chivehillwire.TopologyRegion, now, lease chivehillclock.Millis) *Plan {
	return &Plan{
		self: self, topology: topology, lease: lease, tracker: chivehillowner.NewTracker(now, lease),
		known: make(map[chivehillid.ServerID]knownServer), reported: make(map[chivehillid.ServerID]knownServer),
	}
}

// RegionOf returns the region of a failure domain.
func (p *Plan) RegionOf(d chivehillid.DomainID) chivehillid.RegionID {
	region, _ := chivehillnote.RegionOf(p.topology, d)
	return region
}

// Owners returns the owner of each server of a pool.
func (p *Plan) Owners(pool chivehillwire.PoolSpec, m chivehillwire.Membership) map[chivehillid.ServerID]chivehillid.HostID {
	servers := make([]chivehillowner.Server, 0, len(pool.Servers))
	for _, s := range pool.Servers {
		servers = append(servers, chivehillowner.Server{Server: s.Server, Region: p.RegionOf(s.FailureDomain), Domain: s.FailureDomain})
	}
	return chivehillowner.Assign(pool.Pool, chivehillmember.Owners(m), servers)
}

// Owned returns the servers of a pool that this host owns under a membership
// that was learned at a time.
func (p *Plan) Owned(now, learned chivehillclock.Millis, view *chivehillconfig.View, pool chivehillwire.PoolSpec, m chivehillwire.Membership) []chivehillbalance.Owned {
	owners := p.Owners(pool, m)
	wait := p.lease + chivehillclock.Millis(view.LongestDeadline(pool.Pool))
	p.tracker.Update(learned, wait, owners)
	var owned []chivehillbalance.Owned
	for _, s := range pool.Servers {
		if owners[s.Server] != p.self {
			continue
		}
		o := chivehillbalance.Owned{
			Server: s.Server, Slots: s.Slots, Out: view.DomainOut(s.FailureDomain), ConfirmedFrom: p.tracker.ConfirmedFrom(s.Server),
		}
		if k, found := p.known[s.Server]; found && now-k.at < knownFor {
			o.KnownLimit = chivehillid.Slots(k.state.Limit)
			o.KnownDraining = k.state.Draining
		}
		owned = append(owned, o)
	}
	return owned
}

// TakeState records what an owner reports of a server. If that ends the time
// in which another owner may act, it returns the event for the pool.
func (p *Plan) TakeState(now chivehillclock.Millis, from chivehillid.HostID, s chivehillwire.ServerState) (chivehillbalance.Undisputed, bool) {
	p.known[s.Server] = knownServer{state: s, at: now}
	if !s.Released {
		return chivehillbalance.Undisputed{}, false
	}
	p.tracker.Released(s.Server, from)
	if p.tracker.Owner(s.Server) != p.self {
		return chivehillbalance.Undisputed{}, false
	}
	return chivehillbalance.Undisputed{
		Server: s.Server, From: p.tracker.ConfirmedFrom(s.Server), KnownLimit: chivehillid.Slots(s.Limit),
	}, true
}

// Report reports whether a state of an own server should be sent to peers: it
// changed, or was sent long ago. It counts the state as sent.
func (p *Plan) Report(now chivehillclock.Millis, s chivehillwire.ServerState) bool {
	old, found := p.reported[s.Server]
	if found && old.state == s && now-old.at < knownFor/2 {
		return false
	}
	p.reported[s.Server] = knownServer{state: s, at: now}
	return true
}

// MayServe reports whether a configuration can be trusted: it was confirmed of
// late, or most members of the region are reachable, so that the store is
// down rather than this host cut off. members and reachable count this host.
func MayServe(now, confirmedAt, grace chivehillclock.Millis, members, reachable int) bool {
	return now-confirmedAt < grace || 2*reachable > members
}
