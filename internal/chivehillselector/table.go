package chivehillselector

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
	// loadRankingTime is how long a load report is used to rank servers.
	loadRankingTime = 150 * chivehillclock.Millisecond
	// coldRateShare is the share of a cold server's rate that one host uses. Two hosts that
	// both consider themselves responsible stay within 1.5 times the rate.
	coldRateShare = 0.75
	// refusalPenalty ranks a server that recently refused a request behind the others.
	refusalPenalty = 100
	// unconnectedPenalty ranks a server to which this host has no open connection as if
	// it ran one more request.
	unconnectedPenalty = 1
	// connectionKeptFor is how long after a server's last response a connection to it is
	// assumed to be open.
	connectionKeptFor = 8 * chivehillclock.Second
)

// Location is the location of this host and the region of every failure domain.
type Location struct {
	Domain chivehillid.DomainID
	Region chivehillid.RegionID
	// Regions maps each failure domain to its region.
	Regions map[chivehillid.DomainID]chivehillid.RegionID
}

// byDistance groups the servers of a service by their distance from this host.
type byDistance [OtherRegion + 1][]*serverState

// Share returns which part of the requests that all hosts together may send to a
// server this host may send, between 0 and 1, if at most sharers hosts divide them.
type Share func(s chivehillcatalog.Server, sharers int) float64

// Table holds the state of all servers. It is safe for concurrent use; each server
// has its own lock.
type Table struct {
	location Location
	clock    *chivehillclock.Clock
	share    Share
	log      zerolog.Logger

	// notices, persistence and roundTrips have their own locks.
	notices     notices
	persistence *persistence
	roundTrips  roundTrips

	mu      sync.RWMutex
	servers map[chivehillid.ServerID]*serverState
	// byService is replaced whenever servers is.
	byService map[chivehillid.ServiceID]*byDistance
	withdrawn map[chivehillid.DomainID]bool
	services  map[chivehillid.ServiceID]chivehillcatalog.Service
	trials    trials
}

// NewTable returns an empty table.
func NewTable(location Location, clock *chivehillclock.Clock, share Share, log zerolog.Logger) *Table {
	return &Table{
		location: location, clock: clock, share: share, log: log, servers: make(map[chivehillid.ServerID]*serverState),
		notices: notices{byInstance: make(map[chivehillcatalog.Instance]*notice)}, persistence: newPersistence(),
		roundTrips: roundTrips{byDomain: make(map[chivehillid.DomainID]chivehillclock.Millis)},
	}
}

// Sync updates the table to the servers, withdrawn failure domains and services of
// the current view. It reads the view under the table's lock, so that an older view
// cannot overwrite a newer one.
func (t *Table) Sync(read func() chivehillcatalog.View) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	v := read()
	servers := make(map[chivehillid.ServerID]*serverState, len(v.Servers))
	byService := make(map[chivehillid.ServiceID]*byDistance)
	listed := make(map[chivehillcatalog.Instance]bool, len(v.Servers))
	for id, e := range v.Servers {
		s := t.servers[id]
		if s == nil {
			s = newServerState(now, e)
			// Servers of the first view are not new: they were there before this host read it.
			s.newlyAvailable = len(t.servers) > 0
		}
		listed[e.Instance()] = true
		s.update(now, e, t.notices.of(now, e.Instance()), t.withdrawn[e.Domain] && !v.Withdrawn[e.Domain])
		servers[id] = s
		groups := byService[e.Service]
		if groups == nil {
			groups = &byDistance{}
			byService[e.Service] = groups
		}
		distance := t.distance(e.Domain, t.location.Regions[e.Domain])
		groups[distance] = append(groups[distance], s)
	}
	t.trials.assign(v, servers)
	t.servers, t.byService = servers, byService
	t.withdrawn, t.services = v.Withdrawn, v.Configuration.Services
	t.notices.prune(now, listed)
}

// newServerState returns the state of a server that was not in the table. Whether it
// is cold is unknown until a probe.
func newServerState(now chivehillclock.Millis, e chivehillcatalog.Server) *serverState {
	return &serverState{entry: e, coldUnknown: true, coldUntil: now + e.ColdRemaining, coldBucket: bucket{tokens: bucketSize, refilledAt: now}}
}

// update replaces the entry. domainReturned is set if the server's failure domain is
// no longer withdrawn; its servers may have become cold in the meantime.
func (s *serverState) update(now chivehillclock.Millis, e chivehillcatalog.Server, n *notice, domainReturned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = n
	restarted := e.Started != s.entry.Started || e.Address != s.entry.Address
	if restarted || domainReturned {
		s.coldUnknown = true
	}
	if restarted {
		s.rateLimit, s.used = 0, false
	}
	if restarted || domainReturned || s.entry.Draining && !e.Draining {
		s.newlyAvailable = true
	}
	if e.ColdRemaining > 0 && e != s.entry {
		s.coldUntil = max(s.coldUntil, now+e.ColdRemaining)
	}
	s.entry = e
}

// Requirements states which servers may handle a request.
type Requirements struct {
	Service chivehillid.ServiceID
	Regions chivehillregion.Set
	// Exclude lists the servers that were already tried.
	Exclude []chivehillid.ServerID
	// Trial is set if a server of a version under trial is wanted, else it is a normal one.
	Trial bool
}

// InRegion returns up to limit eligible servers of this region in the order in which to
// probe them: by distance, then by known load.
func (t *Table) InRegion(requirements Requirements, limit int) []Candidate {
	return t.pick(requirements, limit, SameDomain, SameRegion)
}

// InOtherRegions does the same for servers of other regions.
func (t *Table) InOtherRegions(requirements Requirements, limit int) []Candidate {
	return t.pick(requirements, limit, OtherRegion)
}

// pick returns up to limit eligible servers at the given distances, in the order of
// the distances.
func (t *Table) pick(requirements Requirements, limit int, distances ...Distance) []Candidate {
	now := t.clock.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	groups := t.byService[requirements.Service]
	if groups == nil {
		return nil
	}
	var picked []Candidate
	for _, d := range distances {
		picked = append(picked, t.best(now, groups[d], requirements, limit-len(picked))...)
	}
	return picked
}

// best returns up to limit candidates with the lowest scores, in ascending order.
func (t *Table) best(now chivehillclock.Millis, servers []*serverState, requirements Requirements, limit int) []Candidate {
	if limit <= 0 {
		return nil
	}
	var best []Candidate
	for _, s := range servers {
		c, ok := t.candidate(now, s, requirements)
		if !ok || len(best) == limit && c.score >= best[limit-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b Candidate) int { return cmp.Compare(a.score, b.score) })
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), limit)]
	}
	return best
}

// candidate describes a server as a candidate and reports whether it is eligible.
func (t *Table) candidate(now chivehillclock.Millis, s *serverState, requirements Requirements) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry
	region, known := t.location.Regions[e.Domain]
	if e.Draining || s.notice.forbids(now) || t.withdrawn[e.Domain] || !known || !requirements.Regions.Allows(region) || now < s.ejectedUntil {
		return Candidate{}, false
	}
	distance := t.distance(e.Domain, region)
	roundTrip := t.roundTrip(e.Domain, distance)
	if !t.admits(requirements, s) || slices.Contains(requirements.Exclude, e.ID) || s.isUnresponsive(now, roundTrip) {
		return Candidate{}, false
	}
	cold := now < s.coldUntil
	if cold && (requirements.Trial || !t.withinColdRate(now, s)) {
		return Candidate{}, false
	}
	score := s.score(now)
	if s.rateLimit > 0 && !t.withinRateLimit(now, s) {
		if now-s.lastResponseAt < rateLimitCheckInterval {
			return Candidate{}, false
		}
		score += refusalPenalty
	}
	return Candidate{Server: e, Distance: distance, RoundTrip: roundTrip, Cold: cold, ColdUnknown: s.coldUnknown, Stage: s.stage, Sampled: s.sampled, score: score}, true
}

func (t *Table) distance(d chivehillid.DomainID, r chivehillid.RegionID) Distance {
	switch {
	case d == t.location.Domain:
		return SameDomain
	case r == t.location.Region:
		return SameRegion
	}
	return OtherRegion
}

// score ranks a server by the requests that this host runs on it and by its recent
// load reports and refusals. Servers that are equal otherwise rank in random order.
func (s *serverState) score(now chivehillclock.Millis) float64 {
	score := float64(s.running) + rand.Float64()
	if s.hasLoad && now-s.loadAt < loadRankingTime {
		score += loadScore(s.load)
	}
	if now < s.refusedUntil {
		score += refusalPenalty
	}
	if !s.newlyAvailable && (!s.hasResponded || now-s.lastResponseAt > connectionKeptFor) {
		score += unconnectedPenalty
	}
	return score
}

// loadScore ranks a load report by requests per slot and by pace.
func loadScore(l chivehillupstream.Load) float64 {
	perSlot := float64(l.Running+l.Waiting) / max(1, float64(l.Slots))
	return perSlot + float64(l.Pace)/float64(chivehillupstream.UsualPace) - 1
}

func (t *Table) get(id chivehillid.ServerID) *serverState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers[id]
}

// Claim reports whether a request may be sent to a server now, and if so counts it as
// running until Release is called. A server that is not known to be warm is rationed like
// a cold one.
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
	if s.entry.Draining || s.notice.forbids(now) || s.entry.Service != c.Server.Service {
		return false
	}
	if !t.withinRates(now, s) || s.stage != c.Stage || !t.trials.spend(s) {
		return false
	}
	s.used = true
	if s.mayBeCold(now) {
		s.coldBucket.tokens--
	}
	if s.rateLimit > 0 {
		s.rateBucket.tokens--
	}
	s.running++
	return true
}

// MayClaim reports whether a server may get one more request of this host now.
func (t *Table) MayClaim(id chivehillid.ServerID) bool {
	s := t.get(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.clock.Now()
	return !s.notice.forbids(now) && t.withinRates(now, s)
}

// MayProbe reports whether a server may get a probe.
func (t *Table) MayProbe(id chivehillid.ServerID) bool {
	s := t.get(id)
	return s != nil && !s.currentNotice().forbids(t.clock.Now())
}

// Eligible reports whether a candidate may handle a request with the given requirements.
func (t *Table) Eligible(requirements Requirements, c Candidate) bool {
	return c.Server.Service == requirements.Service && requirements.wants(c.Stage) && !slices.Contains(requirements.Exclude, c.ID()) && requirements.Regions.Allows(t.location.Regions[c.Server.Domain])
}

// ProbeStarted records the start of a probe. Each call must be followed by one of
// ProbeEnded.
func (t *Table) ProbeStarted(id chivehillid.ServerID) {
	s := t.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingProbes == 0 {
		s.pendingProbesSince = t.clock.Now()
	}
	s.pendingProbes++
}

// ProbeEnded records the end of a probe.
func (t *Table) ProbeEnded(id chivehillid.ServerID) {
	s := t.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingProbes--
	s.pendingProbesSince = t.clock.Now()
}

// RateLimited returns the number of servers that state a rate limit.
func (t *Table) RateLimited() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, s := range t.servers {
		s.mu.Lock()
		if s.rateLimit > 0 {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// RecentLoad returns the load that a server last reported, and whether the report is at
// most age old.
func (t *Table) RecentLoad(id chivehillid.ServerID, age chivehillclock.Millis) (chivehillupstream.Load, bool) {
	s := t.get(id)
	if s == nil {
		return chivehillupstream.Load{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load, s.hasLoad && t.clock.Now()-s.loadAt <= age
}
