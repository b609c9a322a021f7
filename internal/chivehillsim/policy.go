package chivehillsim

import (
	"cmp"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillowner"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Policy decides where requests run.
type Policy interface{ policy() }

// Chivehill is the policy of this project.
type Chivehill struct {
	Hedging bool
	Slack   chivehillid.Slots
	// BacklogSlack is the slack while many requests wait.
	BacklogSlack chivehillid.Slots
	Fanout       int
	Off          chivehillbalance.Switches
	// RandomHosts sends callers to hosts at random instead of by owned slots.
	RandomHosts bool
}

// Random sends each request to a random server.
type Random struct{}

// RoundRobin lets each host go through the servers in turn.
type RoundRobin struct{}

// LeastReported sends to the server with the least reported load. Reports lag.
type LeastReported struct{}

// PowerOfTwo sends to the better of two random servers by the host's own requests in flight.
type PowerOfTwo struct{}

// Omniscient is an upper bound: one queue per region that sees all slots at once.
type Omniscient struct {
	Slack int
}

func (Chivehill) policy()     {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastReported) policy() {}
func (PowerOfTwo) policy()    {}
func (Omniscient) policy()    {}

// balancer dispatches calls that arrive at a host.
type balancer interface {
	dispatch(h *host, c *call, reply func(answer))
}

// newBalancer prepares a policy for a run.
func newBalancer(p Policy, w *world, pool chivehillid.PoolID, slots int) balancer {
	switch p := p.(type) {
	case Chivehill:
		setUpChivehill(p, w, pool, slots)
		return chivehillBalancer{}
	case Random:
		return &directBalancer{world: w, pick: pickRandom}
	case RoundRobin:
		return &directBalancer{world: w, pick: pickRoundRobin}
	case LeastReported:
		d := &directBalancer{world: w, pick: pickLeastReported}
		d.startReports()
		return d
	case PowerOfTwo:
		return &directBalancer{world: w, pick: pickPowerOfTwo}
	case Omniscient:
		return &queueBalancer{world: w, slack: p.Slack, waiting: make(map[chivehillid.RegionID][]*queuedCall), inFlight: make(map[chivehillid.ServerID]int)}
	}
	return nil
}

// chivehillBalancer passes calls to the pool state machines.
type chivehillBalancer struct{}

func (chivehillBalancer) dispatch(h *host, c *call, reply func(answer)) {
	h.startRequest(c, "", reply)
}

// setUpChivehill gives each host its servers and peers, all warm and confirmed.
func setUpChivehill(p Chivehill, w *world, pool chivehillid.PoolID, slots int) {
	w.hedging = p.Hedging
	var membership chivehillwire.Membership
	for _, h := range w.hosts {
		membership.Members = append(membership.Members, chivehillwire.Member{Host: h.id, Region: h.endpoint.location.region, FailureDomain: h.endpoint.location.domain})
	}
	var servers []chivehillowner.Server
	for _, id := range w.serverIDs {
		s := w.servers[id]
		servers = append(servers, chivehillowner.Server{Server: id, Region: s.endpoint.location.region, Domain: s.endpoint.location.domain})
	}
	owners := chivehillowner.Assign(pool, chivehillmember.Owners(membership), servers)
	for _, h := range w.hosts {
		h.pool = chivehillbalance.New(chivehillbalance.Config{
			Self: h.id, Region: h.endpoint.location.region, Pool: pool, ColdConcurrency: 1, RampSuccesses: chivehillbalance.DefaultRampSuccesses,
			Slack: p.Slack, BacklogSlack: p.BacklogSlack, Fanout: p.Fanout, GrantValid: chivehillbalance.DefaultGrantValid, Off: p.Off,
		})
		h.handle(chivehillbalance.Confirm{Until: never})
		var owned []chivehillbalance.Owned
		for _, id := range w.serverIDs {
			if owners[id] == h.id {
				owned = append(owned, chivehillbalance.Owned{Server: id, Slots: chivehillid.Slots(slots), KnownLimit: chivehillid.Slots(slots)})
			}
		}
		h.handle(chivehillbalance.SetPeers{Peers: benchPeers(w, h)})
		h.handle(chivehillbalance.SetOwned{Servers: owned})
		for _, o := range owned {
			h.handle(chivehillbalance.Probed{Server: o.Server, Healthy: true})
		}
		if !p.RandomHosts {
			h.weight = len(owned) * slots
		}
		h.startTicks()
	}
}

// startTicks lets idle time pass in the pool.
func (h *host) startTicks() {
	generation := h.generation
	h.world.engine.every(idleTicks*tickPeriod, func() bool {
		h.execute(generation, func() { h.handle(chivehillbalance.Tick{}) })
		return generation == h.generation
	})
}

func benchPeers(w *world, h *host) []chivehillbalance.Peer {
	var peers []chivehillbalance.Peer
	for _, o := range w.hosts {
		if o != h {
			peers = append(peers, chivehillbalance.Peer{Host: o.id, Region: o.endpoint.location.region, RoundTrip: roundTrip(h.endpoint.location, o.endpoint.location)})
		}
	}
	return peers
}

func roundTrip(a, b location) chivehillclock.Millis {
	switch {
	case a.domain == b.domain:
		return 2 * delaySameDomain
	case a.region == b.region:
		return 2 * delayOtherDomain
	}
	return 2 * delayOtherRegion
}

// directBalancer sends each call at once to a server that pick chooses.
type directBalancer struct {
	world           *world
	pick            func(d *directBalancer, h *host, servers []*server) *server
	roundRobinIndex map[*host]int
	// inFlight counts the requests of each host at each server.
	inFlight map[*host]map[*server]int
	// reported is the newest report of each server.
	reported map[*server]int
}

func (d *directBalancer) dispatch(h *host, c *call, reply func(answer)) {
	s := d.pick(d, h, regionServers(d.world, h))
	d.addInFlight(h, s, 1)
	sendDirect(d.world, h, s, c, func(a answer) {
		d.addInFlight(h, s, -1)
		reply(a)
	})
}

func (d *directBalancer) addInFlight(h *host, s *server, n int) {
	if d.inFlight == nil {
		d.inFlight = make(map[*host]map[*server]int)
	}
	if d.inFlight[h] == nil {
		d.inFlight[h] = make(map[*server]int)
	}
	d.inFlight[h][s] += n
}

// sendDirect sends a call to a server and passes its answer on.
func sendDirect(w *world, h *host, s *server, c *call, done func(answer)) {
	j := &job{call: c, work: c.work}
	j.reply = func(r reply) {
		w.network.send(s.endpoint, h.endpoint, 0, func() { done(answer{outcome: outcomeOf(r)}) })
	}
	w.network.send(h.endpoint, s.endpoint, 0, func() { s.arrive(j) })
}

func outcomeOf(r reply) chivehillreason.Outcome {
	if r.result == chivehillbalance.Good {
		return chivehillreason.Done
	}
	return chivehillreason.NotRun
}

func regionServers(w *world, h *host) []*server {
	var servers []*server
	for _, id := range w.serverIDs {
		if s := w.servers[id]; s.endpoint.location.region == h.endpoint.location.region {
			servers = append(servers, s)
		}
	}
	return servers
}

func pickRandom(d *directBalancer, _ *host, servers []*server) *server {
	return servers[d.world.engine.random.IntN(len(servers))]
}

func pickRoundRobin(d *directBalancer, h *host, servers []*server) *server {
	if d.roundRobinIndex == nil {
		d.roundRobinIndex = make(map[*host]int)
	}
	d.roundRobinIndex[h]++
	return servers[d.roundRobinIndex[h]%len(servers)]
}

func pickPowerOfTwo(d *directBalancer, h *host, servers []*server) *server {
	a := pickRandom(d, h, servers)
	b := pickRandom(d, h, servers)
	if d.inFlight[h][b] < d.inFlight[h][a] {
		return b
	}
	return a
}

func pickLeastReported(d *directBalancer, h *host, servers []*server) *server {
	least := slices.MinFunc(servers, func(a, b *server) int { return cmp.Compare(d.reported[a], d.reported[b]) })
	var ties []*server
	for _, s := range servers {
		if d.reported[s] == d.reported[least] {
			ties = append(ties, s)
		}
	}
	return pickRandom(d, h, ties)
}

// Load reports are taken every reportPeriod and arrive after a random lag in the
// range specified for the platform.
const (
	reportPeriod = 100 * chivehillclock.Millisecond
	reportLagMin = 50 * chivehillclock.Millisecond
	reportLagMax = 500 * chivehillclock.Millisecond
)

func (d *directBalancer) startReports() {
	d.reported = make(map[*server]int)
	e := d.world.engine
	for _, id := range d.world.serverIDs {
		s := d.world.servers[id]
		e.every(reportPeriod, func() bool {
			load := len(s.running) + len(s.queue)
			lag := reportLagMin + (reportLagMax-reportLagMin)*chivehillclock.Millis(e.random.Float64())
			e.after(lag, func() { d.reported[s] = load })
			return true
		})
	}
}

// queueBalancer is the omniscient queue.
type queueBalancer struct {
	world   *world
	slack   int
	waiting map[chivehillid.RegionID][]*queuedCall
	// inFlight counts the requests sent to each server and not yet completed.
	inFlight map[chivehillid.ServerID]int
}

type queuedCall struct {
	host  *host
	call  *call
	reply func(answer)
}

func (q *queueBalancer) dispatch(h *host, c *call, reply func(answer)) {
	region := h.endpoint.location.region
	q.waiting[region] = append(q.waiting[region], &queuedCall{host: h, call: c, reply: reply})
	q.dispatchWaiting(region)
}

func (q *queueBalancer) dispatchWaiting(region chivehillid.RegionID) {
	for len(q.waiting[region]) > 0 {
		next := q.waiting[region][0]
		s := q.leastLoaded(next.host)
		if s == nil {
			return
		}
		q.waiting[region] = q.waiting[region][1:]
		q.inFlight[s.id]++
		j := &job{call: next.call, work: next.call.work}
		j.reply = func(r reply) {
			q.inFlight[s.id]--
			q.dispatchWaiting(region)
			q.world.network.send(s.endpoint, next.host.endpoint, 0, func() { next.reply(answer{outcome: outcomeOf(r)}) })
		}
		q.world.network.send(next.host.endpoint, s.endpoint, 0, func() { s.arrive(j) })
	}
}

// leastLoaded returns the server with the fewest requests in flight that is
// below its slots plus slack, or nil.
func (q *queueBalancer) leastLoaded(h *host) *server {
	var leastLoaded *server
	for _, s := range regionServers(q.world, h) {
		if q.inFlight[s.id] < s.model.slots+q.slack && (leastLoaded == nil || q.inFlight[s.id] < q.inFlight[leastLoaded.id]) {
			leastLoaded = s
		}
	}
	return leastLoaded
}
