package chivehillnode

import (
	"context"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillnote"
	"github.com/chivehill/chivehill/internal/chivehillowner"
	"github.com/chivehill/chivehill/internal/chivehillpeer"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// roundTripDomain, roundTripRegion and roundTripLink are the expected times
	// to a peer and back by its place.
	roundTripDomain chivehillclock.Millis = 0.3
	roundTripRegion chivehillclock.Millis = 2
	roundTripLink   chivehillclock.Millis = 24
	// knownFor is the time for which a reported server state counts.
	knownFor = 10 * chivehillclock.Second
)

// knownServer is what a previous owner reported of a server.
type knownServer struct {
	state chivehillwire.ServerState
	at    chivehillclock.Millis
}

// reconfigureLoop applies changes of configuration, membership and reachability.
func (n *Node) reconfigureLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reconfigure:
			n.applyState()
		}
	}
}

// applyState brings the pools in line with the state.
func (n *Node) applyState() {
	membership := n.state.Membership()
	n.mesh.SetMembers(n.members())
	n.metrics.Epoch.Set(float64(membership.Epoch))
	view := n.state.View()
	if view == nil {
		return
	}
	n.metrics.Version.Set(float64(view.Version()))
	n.slots.Ensure(n.poolConfigs(view))
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts := chivehillmember.Owners(membership)
	peers := n.poolPeers()
	for _, p := range view.Configuration.Pools {
		owned := n.ownedServers(view, p.Spec, hosts)
		n.slots.Handle(p.Spec.Pool, chivehillbalance.SetPeers{Peers: peers})
		n.slots.Handle(p.Spec.Pool, chivehillbalance.SetOwned{Servers: owned})
	}
	n.confirm()
	n.beatNow()
}

// members returns the members to connect to: the membership, or what the host
// list shows while none is known.
func (n *Node) members() []chivehillwire.Member {
	if m := n.state.Membership(); len(m.Members) > 0 {
		return m.Members
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seeds
}

func (n *Node) poolConfigs(view *chivehillconfig.View) []chivehillbalance.Config {
	var configs []chivehillbalance.Config
	for _, p := range view.Configuration.Pools {
		configs = append(configs, chivehillbalance.Config{
			Self: n.self.Host, Region: n.self.Region, Pool: p.Spec.Pool,
			ColdConcurrency: chivehillid.Slots(max(int(chivehillbalance.DefaultColdConcurrency), p.Spec.ColdConcurrency)),
			ColdUnconfirmed: chivehillid.Slots(p.Spec.ColdConcurrencyUnconfirmed),
			RampSuccesses:   orDefault(p.Spec.RampSuccesses, chivehillbalance.DefaultRampSuccesses),
			Slack:           chivehillbalance.DefaultSlack, Fanout: chivehillbalance.DefaultFanout,
			GrantValid: chivehillbalance.DefaultGrantValid,
		})
	}
	return configs
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// poolPeers returns the reachable peers.
func (n *Node) poolPeers() []chivehillbalance.Peer {
	var peers []chivehillbalance.Peer
	for _, m := range n.mesh.Reachable() {
		peers = append(peers, chivehillbalance.Peer{Host: m.Host, Region: m.Region, RoundTrip: n.roundTrip(m)})
	}
	return peers
}

func (n *Node) roundTrip(m chivehillwire.Member) chivehillclock.Millis {
	switch {
	case m.FailureDomain == n.self.FailureDomain:
		return roundTripDomain
	case m.Region == n.self.Region:
		return roundTripRegion
	}
	return roundTripLink
}

// ownedServers returns the servers of a pool that this host owns. The caller
// holds n.mu.
func (n *Node) ownedServers(view *chivehillconfig.View, p chivehillwire.PoolSpec, hosts []chivehillowner.Host) []chivehillbalance.Owned {
	servers := n.ownable(p)
	owners := chivehillowner.Assign(p.Pool, hosts, servers)
	wait := n.settings.Limits.MembershipLeaseMs + chivehillclock.Millis(view.LongestDeadline(p.Pool))
	n.tracker.Update(n.state.Freshness().EpochLearnedAt, wait, owners)
	var owned []chivehillbalance.Owned
	for _, s := range p.Servers {
		if owners[s.Server] != n.self.Host {
			continue
		}
		o := chivehillbalance.Owned{
			Server: s.Server, Slots: s.Slots, Out: view.DomainOut(s.FailureDomain), ConfirmedFrom: n.tracker.ConfirmedFrom(s.Server),
		}
		if k, found := n.known[s.Server]; found && n.clock.Now()-k.at < knownFor {
			o.KnownLimit = chivehillid.Slots(k.state.Limit)
			o.KnownDraining = k.state.Draining
		}
		owned = append(owned, o)
	}
	return owned
}

func (n *Node) ownable(p chivehillwire.PoolSpec) []chivehillowner.Server {
	servers := make([]chivehillowner.Server, 0, len(p.Servers))
	for _, s := range p.Servers {
		servers = append(servers, chivehillowner.Server{Server: s.Server, Region: n.RegionOf(s.FailureDomain), Domain: s.FailureDomain})
	}
	return servers
}

// RegionOf returns the region of a failure domain.
func (n *Node) RegionOf(d chivehillid.DomainID) chivehillid.RegionID {
	region, _ := chivehillnote.RegionOf(n.settings.Topology, d)
	return region
}

// confirm tells the pools until when the ownership of this host is confirmed.
func (n *Node) confirm() {
	if !n.joined() || n.leaving.Load() {
		return
	}
	until := n.state.Freshness().MembershipConfirmedAt + n.settings.Limits.MembershipLeaseMs
	n.slots.HandleAll(chivehillbalance.Confirm{Until: until})
}

// released tells the region that this host has given up a server.
func (n *Node) released(pool chivehillid.PoolID, r chivehillbalance.Released) {
	state := chivehillwire.ServerState{Server: r.Server, Pool: pool, Limit: int(r.Limit), Draining: r.Draining, Released: true}
	n.mesh.Broadcast(chivehillpeer.Region(n.self.Region), func(e *chivehillwire.Envelope) {
		e.ServerStates = append(e.ServerStates, state)
	})
}

// takeServerState records what another owner reports of a server.
func (n *Node) takeServerState(from chivehillid.HostID, s chivehillwire.ServerState) {
	n.mu.Lock()
	n.known[s.Server] = knownServer{state: s, at: n.clock.Now()}
	if !s.Released {
		n.mu.Unlock()
		return
	}
	n.tracker.Released(s.Server, from)
	owned := n.tracker.Owner(s.Server) == n.self.Host
	confirmedFrom := n.tracker.ConfirmedFrom(s.Server)
	n.mu.Unlock()
	if owned {
		n.slots.Handle(s.Pool, chivehillbalance.Undisputed{
			Server: s.Server, From: confirmedFrom, KnownLimit: chivehillid.Slots(s.Limit),
		})
	}
}

// reportServers tells the region which owned servers changed.
func (n *Node) reportServers() {
	var changed []chivehillwire.ServerState
	n.metrics.Servers.Reset()
	for _, id := range n.slots.Pools() {
		for _, s := range n.slots.Status(id).Servers {
			n.metrics.Servers.WithLabelValues(string(id), s.State).Inc()
			state := chivehillwire.ServerState{Server: s.Server, Pool: id, Limit: int(s.Limit), Draining: s.Draining}
			if n.report(state) {
				changed = append(changed, state)
			}
		}
	}
	if len(changed) == 0 {
		return
	}
	n.mesh.Broadcast(chivehillpeer.Region(n.self.Region), func(e *chivehillwire.Envelope) {
		e.ServerStates = append(e.ServerStates, changed...)
	})
}

// report records a state that is about to be told and reports whether it is
// news, or old enough to be told again.
func (n *Node) report(s chivehillwire.ServerState) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	old, found := n.reported[s.Server]
	if found && old == s && now-n.known[s.Server].at < knownFor/2 {
		return false
	}
	n.reported[s.Server] = s
	n.known[s.Server] = knownServer{state: s, at: now}
	return true
}

const (
	removeAfter = 3 * chivehillclock.Second
	// removeStep spreads the hosts that may remove a silent member.
	removeStep    = 500 * chivehillclock.Millisecond
	removeTimeout = 5 * time.Second
)

// removeSilent removes a member of this region that has been silent for long.
// The members take turns, so that one of them writes.
func (n *Node) removeSilent(ctx context.Context) {
	if n.leaving.Load() {
		return
	}
	turn := 0
	for _, m := range n.mesh.Reachable() {
		if m.Region == n.self.Region && m.Host < n.self.Host {
			turn++
		}
	}
	limit := removeAfter + chivehillclock.Millis(turn)*removeStep
	for _, m := range n.state.Membership().Members {
		if m.Region != n.self.Region || m.Host == n.self.Host || n.mesh.SilentFor(m.Host) < limit {
			continue
		}
		n.log.Warn().Str("peer", string(m.Host)).Msg("member: removing a silent host.")
		ctx, cancel := context.WithTimeout(ctx, removeTimeout)
		err := n.sync.ChangeMembership(ctx, chivehillmember.Remove(m.Host, m.Incarnation))
		cancel()
		if err != nil {
			n.log.Warn().Str("step", "remove").Str("peer", string(m.Host)).Err(err).Msg("member: removal failed.")
		}
	}
}
