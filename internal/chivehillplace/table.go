package chivehillplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// loadKeep is the time for which a load report helps to rank servers.
	loadKeep = 150 * chivehillclock.Millisecond
	// coldShare is the part of a cold server's rate that one host uses, so that
	// two hosts that both feel responsible stay within the bound.
	coldShare = 0.9
	// coldBurst is the most requests that a cold server gets at once.
	coldBurst = 1
	// refusedPenalty ranks a server that refused lately behind the others.
	refusedPenalty = 100
	// strangerPenalty ranks a server that this host has no connection with like one
	// that runs a request more.
	strangerPenalty = 1
	// keptFor is how long after its last answer a server is taken to be connected.
	keptFor = 8 * chivehillclock.Second
)

// Place is where this host stands and what surrounds it.
type Place struct {
	Domain chivehillid.DomainID
	Region chivehillid.RegionID
	// Regions maps each failure domain to its region.
	Regions map[chivehillid.DomainID]chivehillid.RegionID
}

// byDistance holds the servers of a service by their distance from this host.
type byDistance [OtherRegion + 1][]*state

// Responsible reports whether this host is the one that may send to a cold server.
type Responsible func(chivehillcatalog.Server) bool

// Table knows the servers. It is safe for concurrent use; each server has its own lock.
type Table struct {
	place       Place
	clock       *chivehillclock.Clock
	responsible Responsible
	log         zerolog.Logger

	mu      sync.RWMutex
	servers map[chivehillid.ServerID]*state
	// byService is replaced with servers.
	byService map[chivehillid.ServiceID]*byDistance
	withdrawn map[chivehillid.DomainID]bool
	services  map[chivehillid.ServiceID]chivehillcatalog.Service
}

// NewTable returns a table without servers.
func NewTable(place Place, clock *chivehillclock.Clock, responsible Responsible, log zerolog.Logger) *Table {
	return &Table{place: place, clock: clock, responsible: responsible, log: log, servers: make(map[chivehillid.ServerID]*state)}
}

// Sync takes over the servers, withdrawals and services of the present view. The
// view is read under the table's lock, so that an older one cannot follow a newer.
func (t *Table) Sync(read func() chivehillcatalog.View) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	v := read()
	servers := make(map[chivehillid.ServerID]*state, len(v.Servers))
	byService := make(map[chivehillid.ServiceID]*byDistance)
	for id, e := range v.Servers {
		s := t.servers[id]
		if s == nil {
			s = newState(now, e)
			// What the first list holds is there already; it does not come.
			s.awaited = len(t.servers) > 0
		}
		s.update(now, e, t.withdrawn[e.Domain] && !v.Withdrawn[e.Domain])
		servers[id] = s
		groups := byService[e.Service]
		if groups == nil {
			groups = &byDistance{}
			byService[e.Service] = groups
		}
		distance := t.distance(e.Domain, t.place.Regions[e.Domain])
		groups[distance] = append(groups[distance], s)
	}
	t.servers, t.byService = servers, byService
	t.withdrawn, t.services = v.Withdrawn, v.Configuration.Services
}

// newState describes a server that was not known.
func newState(now chivehillclock.Millis, e chivehillcatalog.Server) *state {
	return &state{entry: e, doubtful: true, coldUntil: now + e.ColdLeft, coldRefillAt: now, coldTokens: coldBurst}
}

// update takes a new entry over. returned is set if the failure domain of the
// server came back: its servers may have become cold meanwhile.
func (s *state) update(now chivehillclock.Millis, e chivehillcatalog.Server, returned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted := e.Started != s.entry.Started || e.Address != s.entry.Address
	if restarted || returned {
		s.doubtful = true
	}
	if restarted || returned || s.entry.Draining && !e.Draining {
		s.awaited = true
	}
	if e.ColdLeft > 0 && e != s.entry {
		s.coldUntil = max(s.coldUntil, now+e.ColdLeft)
	}
	s.entry = e
}

// Need is what a request needs of a server.
type Need struct {
	Service chivehillid.ServiceID
	Regions chivehillregion.Set
	// Used servers are left out.
	Used []chivehillid.ServerID
}

// Near returns the servers of this region that may get a request, at most limit,
// the ones to ask first in front: by distance, then by what is known of their load.
func (t *Table) Near(need Need, limit int) []Candidate {
	return t.pick(need, limit, SameDomain, SameRegion)
}

// Far returns the same of the other regions.
func (t *Table) Far(need Need, limit int) []Candidate {
	return t.pick(need, limit, OtherRegion)
}

// pick returns the servers at some distances, nearest first, at most limit.
func (t *Table) pick(need Need, limit int, distances ...Distance) []Candidate {
	now := t.clock.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	groups := t.byService[need.Service]
	if groups == nil {
		return nil
	}
	var picked []Candidate
	for _, d := range distances {
		picked = append(picked, t.best(now, groups[d], need, limit-len(picked))...)
	}
	return picked
}

// best returns the candidates with the lowest scores, at most limit, in order.
func (t *Table) best(now chivehillclock.Millis, servers []*state, need Need, limit int) []Candidate {
	if limit <= 0 {
		return nil
	}
	var best []Candidate
	for _, s := range servers {
		c, ok := t.candidate(now, s, need)
		if !ok || len(best) == limit && c.score >= best[limit-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b Candidate) int { return cmp.Compare(a.score, b.score) })
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), limit)]
	}
	return best
}

func (t *Table) candidate(now chivehillclock.Millis, s *state, need Need) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry
	region, known := t.place.Regions[e.Domain]
	if e.Draining || t.withdrawn[e.Domain] || !known || !need.Regions.Allows(region) || now < s.asideUntil {
		return Candidate{}, false
	}
	if slices.Contains(need.Used, e.ID) || s.isSilent(now) {
		return Candidate{}, false
	}
	cold := now < s.coldUntil
	if cold && !t.mayWarm(now, s) {
		return Candidate{}, false
	}
	return Candidate{Server: e, Distance: t.distance(e.Domain, region), Cold: cold, Doubtful: s.doubtful, score: s.score(now)}, true
}

// mayWarm reports whether this host may send to a cold server now. The caller
// holds the lock of the server.
func (t *Table) mayWarm(now chivehillclock.Millis, s *state) bool {
	if !t.responsible(s.entry) {
		return false
	}
	s.refill(now, coldShare*t.services[s.entry.Service].ColdPerSecond, coldBurst)
	return s.coldTokens >= 1
}

func (t *Table) distance(d chivehillid.DomainID, r chivehillid.RegionID) Distance {
	switch {
	case d == t.place.Domain:
		return SameDomain
	case r == t.place.Region:
		return SameRegion
	}
	return OtherRegion
}

// score ranks a server by its own load and what it said lately. Equal servers
// are in random order.
func (s *state) score(now chivehillclock.Millis) float64 {
	score := float64(s.running) + rand.Float64()
	if s.hasLoad && now-s.loadAt < loadKeep {
		score += pressure(s.load)
	}
	if now < s.refusedUntil {
		score += refusedPenalty
	}
	if !s.awaited && (!s.heard || now-s.heardAt > keptFor) {
		score += strangerPenalty
	}
	return score
}

// pressure ranks a load report: the requests per slot and the pace.
func pressure(l chivehillupstream.Load) float64 {
	perSlot := float64(l.Running+l.Waiting) / max(1, float64(l.Slots))
	return perSlot + float64(l.Pace)/float64(chivehillupstream.UsualPace) - 1
}

func (t *Table) get(id chivehillid.ServerID) *state {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers[id]
}

// Claim reports whether a request may be sent to a server right now and counts
// it. Released ends it.
func (t *Table) Claim(c Candidate) bool {
	now := t.clock.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.servers[c.ID()]
	if s == nil || t.withdrawn[c.Server.Domain] {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry.Draining || s.entry.Service != c.Server.Service {
		return false
	}
	if s.isCold(now) {
		if !t.mayWarm(now, s) {
			return false
		}
		s.coldTokens--
	}
	s.running++
	return true
}

// Fits reports whether a candidate may serve a need.
func (t *Table) Fits(need Need, c Candidate) bool {
	return c.Server.Service == need.Service && !slices.Contains(need.Used, c.ID()) && need.Regions.Allows(t.place.Regions[c.Server.Domain])
}

// Asking notes that a health check begins. Its end is told with Asked.
func (t *Table) Asking(id chivehillid.ServerID) {
	s := t.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking == 0 {
		s.askingSince = t.clock.Now()
	}
	s.asking++
}

// Asked notes that a health check has ended.
func (t *Table) Asked(id chivehillid.ServerID) {
	s := t.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking--
	s.askingSince = t.clock.Now()
}

// Recent returns what a server said within age.
func (t *Table) Recent(id chivehillid.ServerID, age chivehillclock.Millis) (chivehillupstream.Load, bool) {
	s := t.get(id)
	if s == nil {
		return chivehillupstream.Load{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load, s.hasLoad && t.clock.Now()-s.loadAt <= age
}
