package chivehillnode

import (
	"context"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillpeer"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// Expected round-trip times to a peer in the same failure domain, in the same
	// region and in another region.
	roundTripDomain      chivehillclock.Millis = 0.3
	roundTripRegion      chivehillclock.Millis = 2
	roundTripCrossRegion chivehillclock.Millis = 24
)

// reconfigureLoop applies changes to configuration, membership and reachability.
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

// applyState reconciles peer connections and pools with the current state.
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
	peers := n.poolPeers()
	learned := n.state.Freshness().EpochLearnedAt
	for _, p := range view.Configuration.Pools {
		owned := n.plan.Owned(n.clock.Now(), learned, view, p.Spec, membership)
		n.slots.Handle(p.Spec.Pool, chivehillbalance.SetPeers{Peers: peers})
		n.slots.Handle(p.Spec.Pool, chivehillbalance.SetOwned{Servers: owned})
	}
	n.confirmOwnership()
	n.sendHeartbeatToAll()
}

// members returns the members to connect to: the membership, or the host list
// while no membership is known.
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
			Slack:           chivehillbalance.DefaultSlack, BacklogSlack: chivehillbalance.DefaultBacklogSlack, Fanout: chivehillbalance.DefaultFanout,
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

// poolPeers returns the reachable peers with their expected round-trip times.
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
	return roundTripCrossRegion
}

// RegionOf returns the region of a failure domain.
func (n *Node) RegionOf(d chivehillid.DomainID) chivehillid.RegionID {
	return n.plan.RegionOf(d)
}

// confirmOwnership extends the ownership lease in all pools, based on the last
// membership confirmation.
func (n *Node) confirmOwnership() {
	if !n.joined() || n.leaving.Load() {
		return
	}
	until := n.state.Freshness().MembershipConfirmedAt + n.settings.Limits.MembershipLeaseMs
	n.slots.HandleAll(chivehillbalance.Confirm{Until: until})
}

// broadcastRelease announces to the region that this host released a server.
func (n *Node) broadcastRelease(pool chivehillid.PoolID, r chivehillbalance.Released) {
	state := chivehillwire.ServerState{Server: r.Server, Pool: pool, Limit: int(r.Limit), Draining: r.Draining, Released: true}
	n.mesh.Broadcast(chivehillpeer.Region(n.self.Region), func(e *chivehillwire.Envelope) {
		e.ServerStates = append(e.ServerStates, state)
	})
}

// recordServerState records a server state reported by another owner.
func (n *Node) recordServerState(from chivehillid.HostID, s chivehillwire.ServerState) {
	n.mu.Lock()
	event, undisputed := n.plan.TakeState(n.clock.Now(), from, s)
	n.mu.Unlock()
	if undisputed {
		n.slots.Handle(s.Pool, event)
	}
}

// reportServers updates the server metrics and broadcasts changed states of owned
// servers to the region.
func (n *Node) reportServers() {
	var changed []chivehillwire.ServerState
	n.metrics.Servers.Reset()
	for _, id := range n.slots.Pools() {
		for _, s := range n.slots.Status(id).Servers {
			n.metrics.Servers.WithLabelValues(string(id), s.State).Inc()
			state := chivehillwire.ServerState{Server: s.Server, Pool: id, Limit: int(s.Limit), Draining: s.Draining}
			if n.shouldReport(state) {
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

// shouldReport reports whether a server state should be sent to peers.
func (n *Node) shouldReport(s chivehillwire.ServerState) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.plan.Report(n.clock.Now(), s)
}

// removeTimeout limits the removal of one member.
const removeTimeout = 5 * time.Second

// removeSilent removes members of this region that have been silent for too long.
// Each host waits according to its rank among the reachable hosts of the region,
// so that one of them writes the removal.
func (n *Node) removeSilent(ctx context.Context) {
	if n.leaving.Load() {
		return
	}
	rank := 0
	for _, m := range n.mesh.Reachable() {
		if m.Region == n.self.Region && m.Host < n.self.Host {
			rank++
		}
	}
	now := n.clock.Now()
	n.silence.Observe(now)
	for _, m := range n.state.Membership().Members {
		if m.Region != n.self.Region || m.Host == n.self.Host || !n.silence.ShouldRemove(now, n.mesh.LastHeard(m.Host), rank) {
			continue
		}
		n.log.Warn().Str("peer", string(m.Host)).Msg("member: removing a silent host.")
		ctx, cancel := context.WithTimeout(ctx, removeTimeout)
		err := n.sync.ChangeMembership(ctx, chivehillmember.Remove(m.Host, m.Incarnation))
		cancel()
		if err != nil {
			n.log.Warn().Str("step", "remove").Str("peer", string(m.Host)).Err(err).Msg("member: removing a silent host failed.")
		}
	}
}
