package chivehillsim

import (
	"fmt"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillconfig"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillkey"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillplan"
	"github.com/chivehill/chivehill/internal/chivehillstate"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Settings of the simulated hosts; they match the program's defaults.
const (
	membershipLease      = 3 * chivehillclock.Second
	configGrace          = 3 * chivehillclock.Second
	peerSilence          = chivehillclock.Second
	heartbeatInterval    = 300 * chivehillclock.Millisecond
	storeReadInterval    = 500 * chivehillclock.Millisecond
	housekeepingInterval = chivehillclock.Second
	probeInterval        = 200 * chivehillclock.Millisecond
	simPool              = chivehillid.PoolID("work")
	heartbeatBytes       = 120
	configBytes          = 4000
)

var simTopology = []chivehillwire.TopologyRegion{
	{Region: "east", FailureDomains: []chivehillid.DomainID{"east-a", "east-b"}},
	{Region: "west", FailureDomains: []chivehillid.DomainID{"west-a", "west-b"}},
}

// clusterState is what an incarnation of a host knows of the cluster.
type clusterState struct {
	self     chivehillwire.Member
	state    *chivehillstate.State
	plan     *chivehillplan.Plan
	table    *chivehillkey.Table
	adopted  *chivehillkey.Adopted
	suspects *chivehillsuspect.Table
	// lastContact holds the last message of each peer, with its incarnation.
	lastContact map[chivehillid.HostID]peerContact
	successors  map[chivehillid.Incarnation]chivehillid.HostID
	waiting     map[string][]func(answer)
	leaving     bool
	// closed is set when the host accepts no new connections from callers.
	closed   bool
	inFlight int
	silence  *chivehillmember.SilenceDetector
}

type peerContact struct {
	at          chivehillclock.Millis
	incarnation chivehillid.Incarnation
	leaving     bool
}

// boot starts a new incarnation of a host.
func (h *host) boot() {
	w := h.world
	h.reset()
	h.dead, h.paused = false, false
	now := w.engine.now
	incarnation := chivehillid.Incarnation(fmt.Sprintf("%s-%d", h.id, h.generation))
	c := &clusterState{
		self: chivehillwire.Member{
			Host: h.id, Incarnation: incarnation, Region: h.endpoint.location.region, FailureDomain: h.endpoint.location.domain,
		},
		plan: chivehillplan.New(h.id, simTopology, now, membershipLease), adopted: chivehillkey.NewAdopted(),
		suspects: chivehillsuspect.New(), lastContact: make(map[chivehillid.HostID]peerContact),
		successors: make(map[chivehillid.Incarnation]chivehillid.HostID), waiting: make(map[string][]func(answer)),
		silence: chivehillmember.NewSilenceDetector(now),
	}
	const (
		window = 5 * chivehillclock.Second
		keep   = 20 * chivehillclock.Second
		keys   = 50_000
		kept   = 1 << 20
	)
	c.table = chivehillkey.NewTable(h.id, incarnation, chivehillkey.Limits{MaxKeys: keys, KeptBytes: kept, Window: window, Keep: keep}, now)
	h.cluster = c
	c.state = chivehillstate.New(func() { h.later(0, h.applyState) })
	h.pool = chivehillbalance.New(chivehillbalance.Config{
		Self: h.id, Region: h.endpoint.location.region, Pool: simPool, ColdConcurrency: 1, RampSuccesses: 4,
		Slack: chivehillbalance.DefaultSlack, BacklogSlack: chivehillbalance.DefaultBacklogSlack,
		Fanout: chivehillbalance.DefaultFanout, GrantValid: chivehillbalance.DefaultGrantValid,
		ColdUnconfirmed: coldUnconfirmed(w.disabled), Off: chivehillbalance.Switches{Ramp: w.disabled == ColdRamp},
	})
	h.readStore()
	h.loop(storeReadInterval, h.readStore)
	h.loop(heartbeatInterval, h.sendHeartbeat)
	h.loop(housekeepingInterval, h.housekeeping)
	h.loop(probeInterval, h.probe)
	h.startTicks()
}

// loop runs do each period for the life of the incarnation.
func (h *host) loop(period chivehillclock.Millis, do func()) {
	generation := h.generation
	phase := period * chivehillclock.Millis(h.world.engine.random.Float64())
	h.world.engine.after(phase, func() {
		h.world.engine.every(period, func() bool {
			h.execute(generation, do)
			return generation == h.generation && !h.dead
		})
	})
}

func (h *host) readStore() {
	at := h.world.engine.now
	c := h.cluster
	h.world.store.read(h, func(configuration chivehillwire.Configuration, m chivehillwire.Membership) {
		if configuration.Version > 0 {
			c.state.SetConfiguration(configuration)
		}
		c.state.ConfirmConfiguration(at, configuration.Version)
		c.state.SetMembership(h.world.engine.now, m)
		c.state.ConfirmMembership(at, m.Epoch)
		c.state.StoreReached(at)
	})
}

// applyState updates the pool from the replicated state.
func (h *host) applyState() {
	c := h.cluster
	view := c.state.View()
	if view == nil {
		return
	}
	now := h.world.engine.now
	pool, found := view.Pool(simPool)
	if !found {
		return
	}
	if h.world.disabled == DomainCheck {
		view = chivehillconfig.NewView(withoutDomains(view.Configuration))
	}
	owned := c.plan.Owned(now, c.state.Freshness().EpochLearnedAt, view, pool, c.state.Membership())
	h.handle(chivehillbalance.SetPeers{Peers: h.peers()})
	h.handle(chivehillbalance.SetOwned{Servers: owned})
	h.confirm()
	h.broadcastHeartbeat()
}

// reachable returns the members that sent a message within peerSilence.
func (h *host) reachable() []chivehillwire.Member {
	var members []chivehillwire.Member
	now := h.world.engine.now
	for _, m := range h.cluster.state.Membership().Members {
		p, found := h.cluster.lastContact[m.Host]
		if m.Host != h.id && found && p.incarnation == m.Incarnation && now-p.at < peerSilence {
			members = append(members, m)
		}
	}
	return members
}

func (h *host) peers() []chivehillbalance.Peer {
	var peers []chivehillbalance.Peer
	for _, m := range h.reachable() {
		other := location{region: m.Region, domain: m.FailureDomain}
		peers = append(peers, chivehillbalance.Peer{Host: m.Host, Region: m.Region, RoundTrip: roundTrip(h.endpoint.location, other)})
	}
	return peers
}

func (h *host) joined() bool {
	m, found := chivehillmember.Find(h.cluster.state.Membership(), h.id)
	return found && m.Incarnation == h.cluster.self.Incarnation
}

func (h *host) confirm() {
	if h.joined() && !h.cluster.leaving {
		h.handle(chivehillbalance.Confirm{Until: h.cluster.state.Freshness().MembershipConfirmedAt + membershipLease})
	}
}

func (h *host) sendHeartbeat() {
	h.broadcastHeartbeat()
	h.confirm()
	h.handle(chivehillbalance.SetPeers{Peers: h.peers()})
}

// broadcast sends a message to each allowed member.
func (h *host) broadcast(bytes float64, allowed func(chivehillwire.Member) bool, do func(to *host, issued chivehillclock.Millis)) {
	issued := h.world.engine.now
	for _, m := range h.cluster.state.Membership().Members {
		if m.Host == h.id || !allowed(m) {
			continue
		}
		h.sendToPeer(m.Host, bytes, func(to *host) { do(to, issued) })
	}
}

// sendToPeer sends one message to a peer.
func (h *host) sendToPeer(to chivehillid.HostID, bytes float64, do func(*host)) {
	peer := h.world.host(to)
	generation := peer.generation
	h.world.network.send(h.endpoint, peer.endpoint, bytes, func() { peer.execute(generation, func() { do(peer) }) })
}

// coldUnconfirmed returns what an owner may send to a cold server without confirmation.
func coldUnconfirmed(off Mechanism) chivehillid.Slots {
	if off == OwnerConfirmation {
		return 1
	}
	return 0
}

func withoutDomains(c chivehillwire.Configuration) chivehillwire.Configuration {
	c.DomainsOut = nil
	return c
}

func anyMember(chivehillwire.Member) bool { return true }

func (h *host) broadcastHeartbeat() {
	c := h.cluster
	now := h.world.engine.now
	f := c.state.Freshness()
	b := chivehillwire.Beat{
		Version: c.state.Version(), Epoch: c.state.Membership().Epoch, ConfigAgeMs: now - f.ConfigConfirmedAt,
		MembershipAgeMs: now - f.MembershipConfirmedAt, Leaving: c.leaving,
	}
	self := c.self
	h.broadcast(heartbeatBytes, anyMember, func(to *host, issued chivehillclock.Millis) { to.handleHeartbeat(self, b, issued) })
}

func (h *host) handleHeartbeat(from chivehillwire.Member, b chivehillwire.Beat, issued chivehillclock.Millis) {
	c := h.cluster
	c.lastContact[from.Host] = peerContact{at: h.world.engine.now, incarnation: from.Incarnation, leaving: b.Leaving}
	c.state.ConfirmConfiguration(issued-b.ConfigAgeMs, b.Version)
	c.state.ConfirmMembership(issued-b.MembershipAgeMs, b.Epoch)
	if h.world.disabled == PeerVersions || b.Version <= c.state.Version() && b.Epoch <= c.state.Membership().Epoch {
		return
	}
	asker := h.id
	h.sendToPeer(from.Host, heartbeatBytes, func(p *host) {
		view, m := p.cluster.state.View(), p.cluster.state.Membership()
		p.sendToPeer(asker, configBytes, func(to *host) {
			if view != nil {
				to.cluster.state.SetConfiguration(view.Configuration)
			}
			to.cluster.state.SetMembership(to.world.engine.now, m)
		})
	})
}

// housekeeping runs the periodic maintenance tasks.
func (h *host) housekeeping() {
	c := h.cluster
	now := h.world.engine.now
	c.table.Expire(now)
	c.adopted.Expire(now)
	if !c.leaving && !h.joined() {
		h.world.store.changeMembership(h, chivehillmember.Join(c.self))
	}
	h.reportServers()
	h.removeSilentPeers()
}

func (h *host) reportServers() {
	for _, s := range h.pool.Servers(h.world.engine.now) {
		state := chivehillwire.ServerState{Server: s.Server, Pool: simPool, Limit: int(s.Limit), Draining: s.Draining}
		if h.cluster.plan.Report(h.world.engine.now, state) {
			h.broadcastServerState(state)
		}
	}
}

func (h *host) broadcastServerState(s chivehillwire.ServerState) {
	from := h.id
	h.broadcast(messageBytes, h.sameRegion, func(to *host, _ chivehillclock.Millis) {
		event, undisputed := to.cluster.plan.TakeState(to.world.engine.now, from, s)
		if undisputed {
			to.handle(event)
		}
	})
}

func (h *host) sameRegion(m chivehillwire.Member) bool {
	return m.Region == h.endpoint.location.region
}

func (h *host) released(r chivehillbalance.Released) {
	h.broadcastServerState(chivehillwire.ServerState{Server: r.Server, Pool: simPool, Limit: int(r.Limit), Draining: r.Draining, Released: true})
}

func (h *host) removeSilentPeers() {
	c := h.cluster
	if c.leaving {
		return
	}
	rank := 0
	for _, m := range h.reachable() {
		if h.sameRegion(m) && m.Host < h.id {
			rank++
		}
	}
	now := h.world.engine.now
	c.silence.Observe(now)
	for _, m := range c.state.Membership().Members {
		if m.Host == h.id || !h.sameRegion(m) {
			continue
		}
		last := c.state.Freshness().EpochLearnedAt
		if p, found := c.lastContact[m.Host]; found && p.incarnation == m.Incarnation {
			last = p.at
		}
		if c.silence.ShouldRemove(now, last, rank) {
			h.world.store.changeMembership(h, chivehillmember.Remove(m.Host, m.Incarnation))
		}
	}
}

// probe sends health probes to servers that are broken or draining.
func (h *host) probe() {
	for _, id := range h.pool.ProbesDue(h.world.engine.now) {
		s := h.world.servers[id]
		generation := h.generation
		h.world.network.send(h.endpoint, s.endpoint, 0, func() {
			s.probes++
			p := chivehillbalance.Probed{Server: id, Healthy: !s.broken, Draining: s.draining, Cold: s.reportsCold()}
			h.world.network.send(s.endpoint, h.endpoint, 0, func() { h.execute(generation, func() { h.handle(p) }) })
		})
	}
}

// mayServe reports whether the configuration can be trusted.
func (h *host) mayServe() bool {
	c := h.cluster
	if c.state.View() == nil {
		return false
	}
	if h.world.disabled == StalenessFence {
		return true
	}
	members, reachable := 1, 1
	for _, m := range c.state.Membership().Members {
		if m.Host != h.id && h.sameRegion(m) {
			members++
		}
	}
	for _, m := range h.reachable() {
		if h.sameRegion(m) {
			reachable++
		}
	}
	return chivehillplan.MayServe(h.world.engine.now, c.state.Freshness().ConfigConfirmedAt, configGrace, members, reachable)
}

// mayUse checks a slot right before the request is sent, as the entry package does.
func (h *host) mayUse(q *request, d chivehillbalance.Dispatch) bool {
	view := h.cluster.state.View()
	server, found := view.Server(d.Server)
	out := view.DomainOut(server.FailureDomain) && h.world.disabled != DomainCheck
	if !found || out || !h.mayServe() {
		return false
	}
	region := h.cluster.plan.RegionOf(server.FailureDomain)
	chivehillinvariant.Assert(q.call.regions.Allows(region), chivehillinvariant.HomeRegion, "slot in %s for a request bound elsewhere", region)
	return true
}

// recordKill records that a request broke a server and reports whether it may
// be retried.
func (h *host) recordKill(c *call) bool {
	now := h.world.engine.now
	f := chivehillid.Fingerprint(c.id)
	kills := h.cluster.suspects.Record(now, f, h.id, c.regions)
	from := h.id
	allowed := func(m chivehillwire.Member) bool { return c.regions.Allows(m.Region) }
	h.broadcast(messageBytes, allowed, func(to *host, _ chivehillclock.Millis) {
		to.cluster.suspects.Merge(to.world.engine.now, f, from, kills, chivehillsuspect.EntryTTL)
	})
	return !h.isSuspect(c)
}

func (h *host) isSuspect(c *call) bool {
	if h.world.disabled == SuspectTable {
		return false
	}
	return h.cluster.suspects.Kills(h.world.engine.now, chivehillid.Fingerprint(c.id)) >= chivehillsuspect.KillLimit(c.idempotent)
}

// leave shuts the host down gracefully and calls left when it is gone.
func (h *host) leave(left func()) {
	const answerKeep = 2 * chivehillclock.Second
	c := h.cluster
	if h.world.disabled == GracefulStop {
		if c.inFlight > 0 {
			h.world.addViolation("planned-stop", fmt.Sprintf("%s left with %d requests in flight", h.id, c.inFlight))
		}
		h.kill()
		left()
		return
	}
	c.leaving = true
	h.broadcastHeartbeat()
	member := c.self
	member.Leaving = true
	h.world.store.changeMembership(h, chivehillmember.Join(member))
	h.later(answerKeep, func() {
		c.closed = true
		h.awaitIdle(left)
	})
}

func (h *host) awaitIdle(left func()) {
	const poll = 10 * chivehillclock.Millisecond
	if h.cluster.inFlight > 0 {
		h.later(poll, func() { h.awaitIdle(left) })
		return
	}
	h.handOver()
	h.world.store.changeMembership(h, chivehillmember.Remove(h.id, h.cluster.self.Incarnation))
	h.later(chivehillclock.Second, func() {
		if n := h.cluster.inFlight; n > 0 {
			h.world.addViolation("planned-stop", fmt.Sprintf("%s left with %d requests in flight", h.id, n))
		}
		h.kill()
		left()
	})
}

func (h *host) handOver() {
	const handoverBytes = 10_000
	c := h.cluster
	c.table.Stop()
	keys := c.table.Export()
	for _, m := range h.reachable() {
		if !h.sameRegion(m) || c.lastContact[m.Host].leaving {
			continue
		}
		from, successor := c.self, m.Host
		h.sendToPeer(m.Host, handoverBytes, func(to *host) {
			to.cluster.adopted.Add(to.world.engine.now, chivehillclock.Minute, chivehillwire.Handover{
				Host: from.Host, Incarnation: from.Incarnation, Keys: keys, Last: true,
			})
			to.sendToPeer(from.Host, heartbeatBytes, func(back *host) {
				back.broadcast(heartbeatBytes, anyMember, func(p *host, _ chivehillclock.Millis) {
					p.cluster.successors[from.Incarnation] = successor
				})
			})
		})
		return
	}
}

// kill stops the host without a shutdown.
func (h *host) kill() {
	h.dead = true
	h.paused = false
	h.inbox = nil
	h.generation++
}

// keyOwner returns the host that answers for a key.
func (h *host) keyOwner(k chivehillkey.Key) (chivehillid.HostID, bool) {
	c := h.cluster
	if successor, moved := c.successors[k.Incarnation]; moved {
		return successor, true
	}
	m, found := chivehillmember.Find(c.state.Membership(), k.Host)
	return k.Host, found && m.Incarnation == k.Incarnation
}

func (w *world) regionOfHost(id chivehillid.HostID) chivehillid.RegionID {
	return w.host(id).endpoint.location.region
}

// view returns the configuration in force, or nil.
func (h *host) view() *chivehillconfig.View {
	return h.cluster.state.View()
}

// liveHosts returns the hosts that callers of a region can be told of.
func (w *world) liveHosts(region chivehillid.RegionID) []*host {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool {
		return h.dead || h.endpoint.location.region != region || (h.cluster != nil && h.cluster.leaving)
	})
}
