package chivehillsim

import (
	"fmt"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Fault names a kind of fault.
type Fault string

// The faults of the randomised run.
const (
	HostKilled       Fault = "host-killed"
	HostPaused       Fault = "host-paused"
	HostReplaced     Fault = "host-replaced"
	TwoHostsReplaced Fault = "two-hosts-replaced"
	HostIsolated     Fault = "host-isolated"
	LinkCut          Fault = "link-cut"
	StoreDown        Fault = "store-down"
	StoreSlow        Fault = "store-slow"
	StoreLoses       Fault = "store-loses-answers"
	ServerBreaks     Fault = "server-breaks"
	ServerCold       Fault = "server-turns-cold"
	ServerDrains     Fault = "server-drains"
	ServerFailsFast  Fault = "server-fails-fast"
	ServerStraggles  Fault = "server-straggles"
	PoolRestarts     Fault = "pool-restarts"
	DomainWithdrawn  Fault = "domain-withdrawn"
	OperatorsRace    Fault = "operators-race"
	PoisonRequest    Fault = "poison-request"
	RegionLost       Fault = "region-lost"
)

// Faults lists all kinds of faults.
var Faults = []Fault{
	HostKilled, HostPaused, HostReplaced, TwoHostsReplaced, HostIsolated, LinkCut, StoreDown, StoreSlow, StoreLoses,
	ServerBreaks, ServerCold, ServerDrains, ServerFailsFast, ServerStraggles, PoolRestarts, DomainWithdrawn,
	OperatorsRace, PoisonRequest, RegionLost,
}

const restartTime = chivehillclock.Second

// inject injects one fault.
func (r *chaosRun) inject(f Fault) {
	w := r.world
	switch f {
	case HostKilled:
		r.killAndRestart(r.anyHost())
	case HostPaused:
		r.pause(r.anyHost())
	case HostReplaced:
		r.replace(r.anyHost())
	case TwoHostsReplaced:
		r.replace(r.anyHost())
		r.replace(r.anyHost())
	case HostIsolated:
		r.isolate(r.anyHost())
	case LinkCut:
		w.network.linkCut = true
		r.cutFrom, r.cutUntil = w.engine.now, never
		r.afterRandom(1, 6, func() {
			w.network.linkCut = false
			r.cutUntil = w.engine.now
		})
	case StoreDown:
		w.store.down = true
		r.afterRandom(1, 10, func() { w.store.down = false })
	case StoreSlow:
		w.store.delay = 300 * chivehillclock.Millisecond
		r.afterRandom(1, 5, func() { w.store.delay = 0 })
	case StoreLoses:
		w.store.loseAnswers = true
		r.afterRandom(1, 5, func() { w.store.loseAnswers = false })
	case ServerBreaks:
		r.anyServer().breakDown()
	case ServerCold:
		s := r.anyServer()
		s.hideCold = w.engine.random.IntN(2) == 0
		s.coldStart(false)
	case ServerDrains:
		s := r.anyServer()
		s.draining = true
		r.afterRandom(4, 6, s.breakDown)
	case ServerFailsFast:
		s := r.anyServer()
		s.failFast = true
		r.afterRandom(1, 2, func() { s.failFast = false })
	case ServerStraggles:
		s := r.anyServer()
		s.slowdown = 8
		r.afterRandom(1, 4, func() { s.slowdown = 1 })
	case PoolRestarts:
		for _, id := range w.serverIDs {
			w.servers[id].breakDown()
		}
	case DomainWithdrawn:
		r.withdrawDomain()
	case OperatorsRace:
		r.raceOperators()
	case PoisonRequest:
		r.poison()
	case RegionLost:
		r.loseRegion()
	}
}

// afterRandom runs do after a random time between low and high seconds.
func (r *chaosRun) afterRandom(low, high float64, do func()) {
	seconds := low + (high-low)*r.world.engine.random.Float64()
	r.world.engine.after(chivehillclock.Millis(seconds)*chivehillclock.Second, do)
}

func (r *chaosRun) anyHost() *host {
	return r.world.hosts[r.world.engine.random.IntN(len(r.world.hosts))]
}

func (r *chaosRun) anyServer() *server {
	return r.world.servers[r.world.serverIDs[r.world.engine.random.IntN(len(r.world.serverIDs))]]
}

func (r *chaosRun) killAndRestart(h *host) {
	if h.dead || h.paused {
		return
	}
	h.kill()
	r.world.engine.after(restartTime, h.boot)
}

func (r *chaosRun) pause(h *host) {
	if h.dead || h.paused {
		return
	}
	h.paused = true
	generation := h.generation
	r.afterRandom(0.5, 8, func() {
		if h.generation == generation && h.paused {
			h.resume()
		}
	})
}

func (r *chaosRun) replace(h *host) {
	if h.dead || h.paused || h.cluster.leaving {
		return
	}
	h.leave(func() { r.world.engine.after(restartTime, h.boot) })
}

func (r *chaosRun) isolate(h *host) {
	r.world.network.isolated[h.endpoint.name] = true
	r.afterRandom(2, 12, func() { delete(r.world.network.isolated, h.endpoint.name) })
}

// loseRegion breaks all hosts and servers of a region that does not hold the store.
func (r *chaosRun) loseRegion() {
	for _, h := range r.world.hosts {
		if h.endpoint.location.region == "west" {
			r.killAndRestart(h)
		}
	}
	for _, id := range r.world.serverIDs {
		if s := r.world.servers[id]; s.endpoint.location.region == "west" {
			s.breakDown()
		}
	}
}

// poison sends a request that breaks each server that runs it.
func (r *chaosRun) poison() {
	c := r.newCall()
	c.crash = true
	c.idempotent = r.world.engine.random.IntN(2) == 0
	r.generator.start(c)
}

// apply lets an operator apply a note at a host until it hears an answer.
func (r *chaosRun) apply(n chivehillwire.Note, done func(v chivehillid.Version, err error)) {
	h := r.anyHost()
	answered := false
	if !h.dead && !h.paused && h.cluster != nil {
		committing := h
		r.world.store.commit(h, n, func(c chivehillwire.Configuration, err error) {
			answered = true
			if err == nil {
				committing.cluster.state.SetConfiguration(c)
			}
			done(c.Version, err)
		})
	}
	const retryInterval = chivehillclock.Second
	r.world.engine.after(retryInterval, func() {
		if !answered && r.world.engine.now < r.callsUntil {
			r.apply(n, done)
		}
	})
}

// withdrawDomain takes a failure domain out and brings it back.
func (r *chaosRun) withdrawDomain() {
	domain := benchLocations[r.world.engine.random.IntN(len(benchLocations))].domain
	if r.out[domain] {
		return
	}
	r.out[domain] = true
	r.noteCount++
	out := chivehillwire.Note{
		Note:  chivehillid.NoteID(fmt.Sprintf("out-%d", r.noteCount)),
		Added: []chivehillwire.NoteItem{{DomainOut: &chivehillwire.DomainOut{FailureDomain: domain}}},
	}
	r.apply(out, func(v chivehillid.Version, err error) {
		if err != nil {
			return
		}
		committed := r.world.engine.now
		r.outSince[domain] = committed
		r.afterRandom(4, 7, func() { r.restoreDomain(domain, v) })
	})
}

func (r *chaosRun) restoreDomain(domain chivehillid.DomainID, version chivehillid.Version) {
	delete(r.outSince, domain)
	back := chivehillwire.Note{
		Note:      chivehillid.NoteID(fmt.Sprintf("back-%s-%d", domain, version)),
		Withdrawn: []chivehillwire.Withdrawal{{Kind: "domain-out", Name: string(domain), ExpectVersion: r.versionOf(domain)}},
	}
	r.apply(back, func(chivehillid.Version, error) { r.out[domain] = false })
}

// versionOf returns the version at which a domain was taken out.
func (r *chaosRun) versionOf(domain chivehillid.DomainID) chivehillid.Version {
	for _, d := range r.world.store.configuration.DomainsOut {
		if d.Spec.FailureDomain == domain {
			return d.Version
		}
	}
	return 0
}

// raceOperators lets two operators change the same service at the same time.
// Exactly one may succeed.
func (r *chaosRun) raceOperators() {
	var expect chivehillid.Version
	for _, s := range r.world.store.configuration.Services {
		if s.Spec.Service == "service" {
			expect = s.Version
		}
	}
	accepted := 0
	r.noteCount++
	for i := range 2 {
		n := chivehillwire.Note{
			Note: chivehillid.NoteID(fmt.Sprintf("race-%d-%d", r.noteCount, i)),
			Changed: []chivehillwire.NoteItem{{
				Service: &chivehillwire.ServiceSpec{Service: "service", Description: fmt.Sprint(i)}, ExpectVersion: expect,
			}},
		}
		r.apply(n, func(_ chivehillid.Version, err error) {
			if err == nil {
				accepted++
			}
			if accepted > 1 {
				r.world.addViolation("operators-race", "two notes that expect the same version were accepted")
			}
		})
	}
}
