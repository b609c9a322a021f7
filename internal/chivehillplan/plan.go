// Package chivehillplan determines which servers a host owns, from the
// configuration, the membership and the server states that other owners report.
// It does no I/O.
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

// reportedStateTTL is the time for which a server state reported by an owner is
// used. The state may be old: a new owner probes the server before it relies on it.
const reportedStateTTL = 60 * chivehillclock.Second

// Plan tracks server ownership from the point of view of one host. It is not safe
// for concurrent use.
type Plan struct {
	self     chivehillid.HostID
	topology []chivehillwire.TopologyRegion
	lease    chivehillclock.Millis
	tracker  *chivehillowner.Tracker
	// reportedStates holds the latest states that owners reported of their servers.
	reportedStates map[chivehillid.ServerID]timedState
	// sentStates holds the states of this host's servers that were last sent to peers.
	sentStates map[chivehillid.ServerID]timedState
}

// timedState is a server state with the time at which it was received or sent.
type timedState struct {
	state chivehillwire.ServerState
	at    chivehillclock.Millis
}

// New returns the plan of the host self, which starts at the time now. lease is
// the membership lease time.
func New(self chivehillid.HostID, topology []chivehillwire.TopologyRegion, now, lease chivehillclock.Millis) *Plan {
	return &Plan{
		self: self, topology: topology, lease: lease, tracker: chivehillowner.NewTracker(now, lease),
		reportedStates: make(map[chivehillid.ServerID]timedState), sentStates: make(map[chivehillid.ServerID]timedState),
	}
}

// RegionOf returns the region of a failure domain according to the topology.
func (p *Plan) RegionOf(d chivehillid.DomainID) chivehillid.RegionID {
	region, _ := chivehillnote.RegionOf(p.topology, d)
	return region
}

// Owners returns the owner of each server of a pool under a membership.
func (p *Plan) Owners(pool chivehillwire.PoolSpec, m chivehillwire.Membership) map[chivehillid.ServerID]chivehillid.HostID {
	servers := make([]chivehillowner.Server, 0, len(pool.Servers))
	for _, s := range pool.Servers {
		servers = append(servers, chivehillowner.Server{Server: s.Server, Region: p.RegionOf(s.FailureDomain), Domain: s.FailureDomain})
	}
	return chivehillowner.Assign(pool.Pool, chivehillmember.Owners(m), servers)
}

// Owned returns the servers of a pool that this host owns under the membership m,
// which the host learned at the time learned.
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
		if reported, found := p.reportedStates[s.Server]; found && now-reported.at < reportedStateTTL {
			o.KnownLimit = chivehillid.Slots(reported.state.Limit)
			o.KnownDraining = reported.state.Draining
		}
		owned = append(owned, o)
	}
	return owned
}

// TakeState records a server state that the host from reported. If that host has
// released the server and this host owns it now, TakeState returns the event for
// the pool that updates the time from which no other host can act as owner.
func (p *Plan) TakeState(now chivehillclock.Millis, from chivehillid.HostID, s chivehillwire.ServerState) (chivehillbalance.Undisputed, bool) {
	p.reportedStates[s.Server] = timedState{state: s, at: now}
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

// Report reports whether the state of a server that this host owns should be sent
// to peers: it changed, or was last sent at least half of reportedStateTTL ago. If
// so, Report records the state as sent.
func (p *Plan) Report(now chivehillclock.Millis, s chivehillwire.ServerState) bool {
	sent, found := p.sentStates[s.Server]
	if found && sent.state == s && now-sent.at < reportedStateTTL/2 {
		return false
	}
	p.sentStates[s.Server] = timedState{state: s, at: now}
	return true
}

// MayServe reports whether the host may serve with its configuration: the store
// confirmed it less than grace ago, or a majority of the region's members is
// reachable, so that the store is down rather than this host partitioned. members
// and reachable include this host.
func MayServe(now, confirmedAt, grace chivehillclock.Millis, members, reachable int) bool {
	return now-confirmedAt < grace || 2*reachable > members
}
