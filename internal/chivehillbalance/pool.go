package chivehillbalance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// initialLatency is the assumed average latency in milliseconds before any response.
const initialLatency = 5.0

// Pool is the state of one upstream pool at one host. It is not safe for
// concurrent use; the caller holds a lock for each pool.
type Pool struct {
	config Config
	// confirmedUntil is the time until which this host's ownership is confirmed.
	confirmedUntil chivehillclock.Millis
	// lastEvent is the time of the latest event.
	lastEvent chivehillclock.Millis
	servers   map[chivehillid.ServerID]*server
	// retired holds servers that this host no longer owns and that still have granted slots.
	retired map[chivehillid.ServerID]*server
	// order lists the keys of servers, sorted.
	order []chivehillid.ServerID
	queue *waitQueue
	// grants holds each granted slot until it is released or expires.
	grants    map[chivehillid.GrantID]*grant
	nextGrant chivehillid.GrantID
	peers     map[chivehillid.HostID]*peerView
	peerOrder []chivehillid.HostID
	waiters   map[RequestID]*waiter
	// averageLatency is the moving average latency of successful responses, in milliseconds.
	averageLatency float64
	regionAdvert   advert
	linkAdvert     advert

	out *outbox
}

// New returns a pool without servers or peers.
func New(c Config) *Pool {
	c.ColdConcurrency = max(1, c.ColdConcurrency)
	c.RampSuccesses = max(1, c.RampSuccesses)
	c.Fanout = max(1, c.Fanout)
	return &Pool{
		config:         c,
		servers:        make(map[chivehillid.ServerID]*server),
		retired:        make(map[chivehillid.ServerID]*server),
		queue:          newWaitQueue(c.Off.Fairness),
		grants:         make(map[chivehillid.GrantID]*grant),
		peers:          make(map[chivehillid.HostID]*peerView),
		waiters:        make(map[RequestID]*waiter),
		averageLatency: initialLatency,
		out:            &outbox{},
	}
}

// maxEventGap is the longest time between two events unless the process was
// paused. The caller passes a Tick far more often.
const maxEventGap = chivehillclock.Second

// detectPause requires a probe and a new ramp of each server after a pause of the
// process, since the known state of the servers may be out of date.
func (p *Pool) detectPause(now chivehillclock.Millis) {
	paused := p.lastEvent > 0 && now-p.lastEvent > maxEventGap
	p.lastEvent = now
	if !paused {
		return
	}
	for _, id := range p.order {
		p.servers[id].resetRamp(p.config)
		p.servers[id].needsProbe = true
	}
}

// Handle applies an event at time now and returns the actions to carry out.
func (p *Pool) Handle(now chivehillclock.Millis, e Event) []Action {
	p.detectPause(now)
	switch e := e.(type) {
	case Submit:
		p.submit(now, e.Request)
	case Cancel:
		p.dropWaiter(e.Request)
	case Finish:
		p.finish(now, e)
	case Receive:
		p.receive(now, e)
	case SetPeers:
		p.setPeers(now, e.Peers)
	case SetOwned:
		p.setOwned(now, e.Servers)
	case Confirm:
		p.confirmedUntil = max(p.confirmedUntil, e.Until)
		p.serveWaiting(now)
	case Probed:
		p.probed(now, e)
	case Disconnected:
		p.disconnected(e.Server)
	case Undisputed:
		p.setExclusiveFrom(now, e)
	case Tick:
		p.tick(now)
	}
	if len(p.out.peers) == 0 {
		return p.out.takeActions()
	}
	return p.out.drain(p.config.Pool, p.load(now))
}

func (p *Pool) setOwned(now chivehillclock.Millis, owned []Owned) {
	kept := make(map[chivehillid.ServerID]*server, len(owned))
	for _, o := range owned {
		s := p.servers[o.Server]
		if s == nil {
			s = p.takeOver(o)
		}
		s.outOfService = o.Out
		s.slots = o.Slots
		s.limit = min(s.limit, s.slots)
		s.exclusiveFrom = o.ConfirmedFrom
		kept[o.Server] = s
	}
	for _, id := range p.order {
		if kept[id] == nil {
			p.retire(p.servers[id])
		}
	}
	p.servers = kept
	p.order = slices.Sorted(maps.Keys(kept))
	if len(p.servers) == 0 {
		p.denyAll(now, chivehillreason.NoServer)
	}
	p.serveWaiting(now)
}

// takeOver returns the state of a server that this host starts to own.
func (p *Pool) takeOver(o Owned) *server {
	s := newServer(o, p.config)
	if old := p.retired[o.Server]; old != nil {
		s.inFlight = old.inFlight
		delete(p.retired, o.Server)
	}
	return s
}

// retire stops granting slots of a server that is no longer owned.
func (p *Pool) retire(s *server) {
	if s.inFlight > 0 {
		p.retired[s.id] = s
		return
	}
	p.release(s)
}

func (p *Pool) release(s *server) {
	delete(p.retired, s.id)
	p.out.actions = append(p.out.actions, Released{Server: s.id, Limit: s.limit, Draining: s.draining})
}

// disconnected requires a probe of a server that may have restarted.
func (p *Pool) disconnected(id chivehillid.ServerID) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.resetRamp(p.config)
	s.needsProbe = true
}

// Owns reports whether this host owns a server.
func (p *Pool) Owns(id chivehillid.ServerID) bool {
	return p.servers[id] != nil
}

// setExclusiveFrom sets the time until which a previous owner may still grant slots.
func (p *Pool) setExclusiveFrom(now chivehillclock.Millis, e Undisputed) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	s.exclusiveFrom = e.From
	if !p.config.Off.Ramp && !s.warm && s.samples == 0 {
		s.limit = min(max(s.limit, e.KnownLimit), s.slots)
		s.warm = s.limit == s.slots && e.KnownLimit > 0
	}
	p.serveWaiting(now)
}

func (p *Pool) probed(now chivehillclock.Millis, e Probed) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	switch {
	case e.Draining:
		s.draining = true
	case !e.Healthy:
		s.resetRamp(p.config)
		s.suspend(now)
		s.needsProbe = true
	case s.limitUnverified && !e.Cold:
		s.limitUnverified = false
		s.needsProbe = false
	case s.draining, s.needsProbe:
		// The server left and came back.
		s.draining = false
		s.needsProbe = false
		s.resetRamp(p.config)
	case e.Cold:
		s.resetRamp(p.config)
	}
	p.serveWaiting(now)
}

func (p *Pool) tick(now chivehillclock.Millis) {
	p.expireGrants(now)
	p.expireWaiters(now)
	for _, e := range p.queue.expired(now) {
		p.deny(now, e.key, chivehillreason.DeadlinePassed)
	}
	p.serveWaiting(now)
	p.fanOut(now)
	p.advertise(now)
}

// load returns the load of the owned servers.
func (p *Pool) load(now chivehillclock.Millis) chivehillwire.Load {
	var load chivehillwire.Load
	for _, id := range p.order {
		s := p.servers[id]
		allowed := s.allowed(now, p.confirmedUntil, p.config)
		load.Limit += int(allowed)
		load.Idle += int(max(0, allowed-s.inFlight))
	}
	load.Queued = p.queue.len()
	if load.Queued > 0 {
		load.Idle = 0
	}
	load.WaitMs = p.expectedWait(load.Limit, load.Queued)
	return load
}

func (p *Pool) expectedWait(limit, queued int) chivehillclock.Millis {
	if limit == 0 {
		return chivehillclock.Minute
	}
	return chivehillclock.Millis(p.averageLatency * float64(queued+1) / float64(limit))
}

// Load returns the load of the owned servers at time now.
func (p *Pool) Load(now chivehillclock.Millis) chivehillwire.Load {
	return p.load(now)
}

// ServerStatus describes an owned server to operators and to its next owner.
type ServerStatus struct {
	Server   chivehillid.ServerID
	State    string
	Limit    chivehillid.Slots
	InFlight chivehillid.Slots
	Draining bool
	Took     chivehillclock.Millis
}

// Servers returns the state of the owned servers at time now, sorted by name.
func (p *Pool) Servers(now chivehillclock.Millis) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(p.order))
	for _, id := range p.order {
		s := p.servers[id]
		statuses = append(statuses, ServerStatus{
			Server: id, State: s.state(now), Limit: s.limit, InFlight: s.inFlight,
			Draining: s.draining, Took: chivehillclock.Millis(s.averageLatency),
		})
	}
	return statuses
}

func (s *server) state(now chivehillclock.Millis) string {
	switch {
	case s.outOfService:
		return "out"
	case s.draining:
		return "draining"
	case s.needsProbe, now < s.suspendedUntil:
		return "suspended"
	case s.warm:
		return "warm"
	}
	return "cold"
}

// Typical returns the moving average latency of successful responses.
func (p *Pool) Typical() chivehillclock.Millis {
	return chivehillclock.Millis(p.averageLatency)
}

// Waiting returns the number of requests of this host that wait for a slot.
func (p *Pool) Waiting() int {
	return len(p.waiters)
}

// pick returns the best owned server for an entry, or nil. A warm server may hold
// slack requests beyond its slots; idle slots are used first.
func (p *Pool) pick(now chivehillclock.Millis, exclude []chivehillid.ServerID, slack chivehillid.Slots) *server {
	var best *server
	for _, id := range p.order {
		s := p.servers[id]
		if slices.Contains(exclude, id) || s.inFlight >= s.allowedWithSlack(now, p.confirmedUntil, slack, p.config) {
			continue
		}
		if best == nil || better(s, best) {
			best = s
		}
	}
	return best
}

// better reports whether a is preferred to b: lower utilization of its slots
// first, then lower average latency.
func better(a, b *server) bool {
	return cmp.Or(
		cmp.Compare(float64(a.inFlight)/float64(a.slots), float64(b.inFlight)/float64(b.slots)),
		cmp.Compare(a.averageLatency, b.averageLatency),
	) < 0
}

// Busy reports whether any request or slot request waits in the pool.
func (p *Pool) Busy() bool {
	return p.queue.len() > 0 || len(p.waiters) > 0
}

// ProbesDue returns the servers that need a successful health probe before they
// get requests again and whose suspension has ended.
func (p *Pool) ProbesDue(now chivehillclock.Millis) []chivehillid.ServerID {
	var due []chivehillid.ServerID
	for _, id := range p.order {
		s := p.servers[id]
		if !s.outOfService && (s.needsProbe || s.draining) && now >= s.suspendedUntil {
			due = append(due, id)
		}
	}
	return due
}
