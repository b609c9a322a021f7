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

// inject brings one fault about.
func (r *chaos) inject(f Fault) {
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
		r.during(1, 6, func() {
			w.network.linkCut = false
			r.cutUntil = w.engine.now
		})
	case StoreDown:
		w.store.down = true
		r.during(1, 10, func() { w.store.down = false })
	case StoreSlow:
		w.store.slow = 300 * chivehillclock.Millisecond
		r.during(1, 5, func() { w.store.slow = 0 })
	case StoreLoses:
		w.store.loseAnswers = true
		r.during(1, 5, func() { w.store.loseAnswers = false })
	case ServerBreaks:
		r.anyServer().breakDown()
	case ServerCold:
		s := r.anyServer()
		s.hideCold = w.engine.random.IntN(2) == 0
		s.coldStart(false)
	case ServerDrains:
		s := r.anyServer()
		s.draining = true
		r.during(4, 6, s.breakDown)
	case ServerFailsFast:
		s := r.anyServer()
		s.failFast = true
		r.during(1, 2, func() { s.failFast = false })
	case ServerStraggles:
		s := r.anyServer()
		s.straggle = 8
		r.during(1, 4, func() { s.straggle = 1 })
	case PoolRestarts:
		for _, id := range w.order {
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

// during runs end after a random time of min to max seconds.
func (r *chaos) during(low, high float64, end func()) {
	seconds := low + (high-low)*r.world.engine.random.Float64()
	r.world.engine.after(chivehillclock.Millis(seconds)*chivehillclock.Second, end)
}

func (r *chaos) anyHost() *host {
	return r.world.hosts[r.world.engine.random.IntN(len(r.world.hosts))]
}

func (r *chaos) anyServer() *server {
	return r.world.servers[r.world.order[r.world.engine.random.IntN(len(r.world.order))]]
}

func (r *chaos) killAndRestart(h *host) {
	if h.dead || h.paused {
		return
	}
	h.kill()
	r.world.engine.after(restartTime, h.boot)
}

func (r *chaos) pause(h *host) {
	if h.dead || h.paused {
		return
	}
	h.paused = true
	life := h.life
	r.during(0.5, 8, func() {
		if h.life == life && h.paused {
			h.wake()
		}
	})
}

func (r *chaos) replace(h *host) {
	if h.dead || h.paused || h.cluster.leaving {
		return
	}
	h.leave(func() { r.world.engine.after(restartTime, h.boot) })
}

func (r *chaos) isolate(h *host) {
	r.world.network.isolated[h.end.name] = true
	r.during(2, 12, func() { delete(r.world.network.isolated, h.end.name) })
}

// loseRegion breaks all hosts and servers of a region that does not hold the store.
func (r *chaos) loseRegion() {
	for _, h := range r.world.hosts {
		if h.end.place.region == "west" {
			r.killAndRestart(h)
		}
	}
	for _, id := range r.world.order {
		if s := r.world.servers[id]; s.end.place.region == "west" {
			s.breakDown()
		}
	}
}

// poison sends a request that breaks each server that runs it.
func (r *chaos) poison() {
	c := r.newCall()
	c.crash = true
	c.idempotent = r.world.engine.random.IntN(2) == 0
	r.driver.start(c)
}

// apply lets an operator apply a note at a host until it hears an answer.
func (r *chaos) apply(n chivehillwire.Note, done func(v chivehillid.Version, err error)) {
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
	const patience = chivehillclock.Second
	r.world.engine.after(patience, func() {
		if !answered && r.world.engine.now < r.end {
			r.apply(n, done)
		}
	})
}

// withdrawDomain takes a failure domain out and brings it back.
func (r *chaos) withdrawDomain() {
	domain := benchPlaces[r.world.engine.random.IntN(len(benchPlaces))].domain
	if r.out[domain] {
		return
	}
	r.out[domain] = true
	r.notes++
	out := chivehillwire.Note{
		Note:  chivehillid.NoteID(fmt.Sprintf("out-%d", r.notes)),
		Added: []chivehillwire.NoteItem{{DomainOut: &chivehillwire.DomainOut{FailureDomain: domain}}},
	}
	r.apply(out, func(v chivehillid.Version, err error) {
		if err != nil {
			return
		}
		committed := r.world.engine.now
		r.outSince[domain] = committed
		r.during(4, 7, func() { r.restoreDomain(domain, v) })
	})
}

func (r *chaos) restoreDomain(domain chivehillid.DomainID, version chivehillid.Version) {
	delete(r.outSince, domain)
	back := chivehillwire.Note{
		Note:      chivehillid.NoteID(fmt.Sprintf("back-%s-%d", domain, version)),
		Withdrawn: []chivehillwire.Withdrawal{{Kind: "domain-out", Name: string(domain), ExpectVersion: r.versionOf(domain)}},
	}
	r.apply(back, func(chivehillid.Version, error) { r.out[domain] = false })
}

// versionOf returns the version at which a domain was taken out.
func (r *chaos) versionOf(domain chivehillid.DomainID) chivehillid.Version {
	for _, d := range r.world.store.configuration.DomainsOut {
		if d.Spec.FailureDomain == domain {
			return d.Version
		}
	}
	return 0
}

// raceOperators lets two operators change the same service at the same time.
// Exactly one may succeed.
func (r *chaos) raceOperators() {
	var expect chivehillid.Version
	for _, s := range r.world.store.configuration.Services {
		if s.Spec.Service == "service" {
			expect = s.Version
		}
	}
	accepted := 0
	r.notes++
	for i := range 2 {
		n := chivehillwire.Note{
			Note: chivehillid.NoteID(fmt.Sprintf("race-%d-%d", r.notes, i)),
			Changed: []chivehillwire.NoteItem{{
				Service: &chivehillwire.ServiceSpec{Service: "service", Description: fmt.Sprint(i)}, ExpectVersion: expect,
			}},
		}
		r.apply(n, func(_ chivehillid.Version, err error) {
			if err == nil {
				accepted++
			}
			if accepted > 1 {
				r.world.violate("operators-race", "two notes that expect the same version were accepted")
			}
		})
	}
}
