package chivehillnode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillpeer"
	"github.com/chivehill/chivehill/internal/chivehillplan"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// busyTickPeriod is the tick interval of pools with queued requests.
	busyTickPeriod     = 5 * chivehillclock.Millisecond
	tickPeriod         = 400 * chivehillclock.Millisecond
	heartbeatPeriod    = 300 * chivehillclock.Millisecond
	housekeepingPeriod = chivehillclock.Second
	probePeriod        = 200 * chivehillclock.Millisecond
)

// peerHeartbeat is the latest heartbeat of a peer.
type peerHeartbeat struct {
	member     chivehillwire.Member
	heartbeat  chivehillwire.Beat
	receivedAt chivehillclock.Millis
}

// tickBusy ticks the pools with queued requests for as long as there are any.
func (n *Node) tickBusy(ctx context.Context) {
	ticker := time.NewTicker(busyTickPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.slots.Busy():
		}
		for n.slots.TickBusy() && ctx.Err() == nil {
			<-ticker.C
		}
	}
}

// crossRegionHeartbeatRatio is the number of heartbeats sent within the region for
// each one that is also sent to other regions.
const crossRegionHeartbeatRatio = 3

// sendPeriodicHeartbeat sends a heartbeat and updates the pools if the reachable
// peers changed.
func (n *Node) sendPeriodicHeartbeat() {
	n.heartbeatCount++
	to := chivehillpeer.Region(n.self.Region)
	if n.heartbeatCount%crossRegionHeartbeatRatio == 0 {
		to = chivehillpeer.Everyone
	}
	n.sendHeartbeat(to)
	peers := n.poolPeers()
	if !slices.Equal(peers, n.knownPeers) {
		n.knownPeers = peers
		n.slots.HandleAll(chivehillbalance.SetPeers{Peers: peers})
	}
}

// sendHeartbeatToAll sends a heartbeat to the peers in all regions immediately.
func (n *Node) sendHeartbeatToAll() {
	n.sendHeartbeat(chivehillpeer.Everyone)
}

func (n *Node) sendHeartbeat(to func(chivehillwire.Member) bool) {
	now := n.clock.Now()
	f := n.state.Freshness()
	heartbeat := chivehillwire.Beat{
		Version: n.state.Version(), Epoch: n.state.Membership().Epoch,
		ConfigAgeMs: now - f.ConfigConfirmedAt, MembershipAgeMs: now - f.MembershipConfirmedAt,
		StoreReachable: now-f.StoreReachedAt < n.settings.Limits.MembershipLeaseMs, Leaving: n.leaving.Load(),
	}
	n.mesh.Broadcast(to, func(e *chivehillwire.Envelope) { e.Beat = &heartbeat })
}

// housekeeping runs the maintenance tasks that are due about once a second.
func (n *Node) housekeeping() {
	now := n.clock.Now()
	n.table.Expire(now)
	n.adopted.Expire(now)
	n.confirmOwnership()
	n.metrics.Keys.Set(float64(n.table.Len()))
	n.metrics.KeptBytes.Set(float64(n.table.KeptBytes()))
	n.reportServers()
	n.removeSilent(context.Background())
}

// sendPool sends the messages of a pool to a peer.
func (n *Node) sendPool(to chivehillid.HostID, m chivehillwire.PoolMessages) {
	n.mesh.Send(to, func(e *chivehillwire.Envelope) { chivehillpeer.AddPool(e, m) })
}

// receive handles a message from a peer.
func (n *Node) receive(m chivehillpeer.Message) {
	e := m.Envelope
	if e.Beat != nil {
		n.handleHeartbeat(m, *e.Beat)
	}
	for _, p := range e.Pools {
		n.slots.Handle(p.Pool, chivehillbalance.Receive{From: m.From.Host, Messages: p, Issued: m.Issued})
	}
	if e.Configuration != nil {
		n.state.SetConfiguration(*e.Configuration)
	}
	if e.Membership != nil {
		n.state.SetMembership(n.clock.Now(), *e.Membership)
	}
	if e.ConfigurationWanted || e.MembershipWanted {
		n.sendState(m.From.Host, e.ConfigurationWanted, e.MembershipWanted)
	}
	for _, s := range e.Suspects {
		n.suspects.Merge(n.clock.Now(), s.Fingerprint, cmp.Or(s.Host, m.From.Host), s.Kills, s.LeftMs)
	}
	for _, s := range e.ServerStates {
		n.recordServerState(m.From.Host, s)
	}
	if e.Handover != nil {
		n.receiveHandover(m.From, *e.Handover)
	}
	if e.HandoverTaken == n.self.Incarnation {
		n.confirmHandover()
	}
	for _, s := range e.Successors {
		n.recordSuccessor(s)
	}
}

// handleHeartbeat records a peer's heartbeat and requests its configuration or
// membership if it is newer.
func (n *Node) handleHeartbeat(m chivehillpeer.Message, b chivehillwire.Beat) {
	n.mu.Lock()
	old := n.heartbeats[m.From.Host]
	n.heartbeats[m.From.Host] = peerHeartbeat{member: m.From, heartbeat: b, receivedAt: n.clock.Now()}
	n.mu.Unlock()
	n.state.ConfirmConfiguration(m.Issued-b.ConfigAgeMs, b.Version)
	n.state.ConfirmMembership(m.Issued-b.MembershipAgeMs, b.Epoch)
	wantConfiguration := b.Version > n.state.Version()
	wantMembership := b.Epoch > n.state.Membership().Epoch
	if wantConfiguration || wantMembership {
		n.mesh.Send(m.From.Host, func(e *chivehillwire.Envelope) {
			e.ConfigurationWanted = e.ConfigurationWanted || wantConfiguration
			e.MembershipWanted = e.MembershipWanted || wantMembership
		})
	}
	if old.member.Incarnation != m.From.Incarnation || old.heartbeat.Leaving != b.Leaving {
		n.signalReconfigure()
	}
}

func (n *Node) sendState(to chivehillid.HostID, configuration, membership bool) {
	view := n.state.View()
	members := n.state.Membership()
	n.mesh.Send(to, func(e *chivehillwire.Envelope) {
		if configuration && view != nil {
			e.Configuration = &view.Configuration
		}
		if membership && members.Epoch > 0 {
			e.Membership = &members
		}
	})
}

// TellSuspect reports the fingerprint of a request that killed a connection to the
// members of the allowed regions.
func (n *Node) TellSuspect(f chivehillid.Fingerprint, kills int, regions chivehillregion.Set) {
	suspect := chivehillwire.Suspect{Fingerprint: f, Kills: kills, LeftMs: suspectEntryTTL}
	n.mesh.Broadcast(
		func(m chivehillwire.Member) bool { return regions.Allows(m.Region) },
		func(e *chivehillwire.Envelope) { e.Suspects = append(e.Suspects, suspect) },
	)
}

// tellSuspects adds to the first message to a peer that connects all requests that killed
// connections and that the peer may know of: what this host may know of its whole region may.
func (n *Node) tellSuspects(to chivehillwire.Member, e *chivehillwire.Envelope) {
	for _, r := range n.suspects.Reports(n.clock.Now()) {
		if to.Region == n.self.Region || r.Regions.Allows(to.Region) {
			e.Suspects = append(e.Suspects, chivehillwire.Suspect{Fingerprint: r.Fingerprint, Host: r.Host, Kills: r.Kills, LeftMs: r.Left})
		}
	}
}

// Member returns the reachable member with an incarnation, or the successor
// that holds its key table.
func (n *Node) Member(i chivehillid.Incarnation, host chivehillid.HostID) (chivehillwire.Member, bool) {
	n.mu.Lock()
	successor, moved := n.successors[i]
	n.mu.Unlock()
	m, found := chivehillmember.Find(n.state.Membership(), host)
	if moved {
		return chivehillmember.Find(n.state.Membership(), successor)
	}
	return m, found && m.Incarnation == i
}

// MayServe reports whether the active configuration can be trusted: the store or
// a peer confirmed it recently, or most members of the region are reachable,
// which means that the store is down rather than this host partitioned.
func (n *Node) MayServe() bool {
	if n.state.View() == nil {
		return false
	}
	now, confirmedAt := n.clock.Now(), n.state.Freshness().ConfigConfirmedAt
	if now-confirmedAt < n.settings.Limits.ConfigGraceMs {
		return true
	}
	members := n.members()
	size, reachable := 1, 1
	for _, m := range members {
		if m.Region == n.self.Region && m.Host != n.self.Host {
			size++
		}
	}
	for _, m := range n.mesh.Reachable() {
		if m.Region == n.self.Region && slices.Contains(members, m) {
			reachable++
		}
	}
	return chivehillplan.MayServe(now, confirmedAt, n.settings.Limits.ConfigGraceMs, size, reachable)
}

// Leaving reports whether a graceful shutdown is in progress.
func (n *Node) Leaving() bool {
	return n.leaving.Load()
}

// leavingPeers returns the peers that announced their shutdown.
func (n *Node) leavingPeers() []chivehillid.HostID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var hosts []chivehillid.HostID
	for h, b := range n.heartbeats {
		if b.heartbeat.Leaving {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return hosts
}
