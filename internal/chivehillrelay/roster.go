// Package chivehillrelay spreads the news of the store among the hosts. In each
// failure domain the first reachable host is the head, which the others follow;
// the heads of a region follow the first of them, which watches the store; and
// all heads compare what they know. Nobody is elected: each host decides from
// the hosts it reaches.
package chivehillrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// silenceTime is the silence after which a peer counts as gone.
	silenceTime = 900 * chivehillclock.Millisecond
	// farSilenceTime is the same for a peer in another region.
	farSilenceTime = 2500 * chivehillclock.Millisecond
	// graceTime is how long a host may be without a connection to the head
	// of its failure domain before callers are kept from it.
	graceTime = 2 * chivehillclock.Second
	// settleTime is how long a starting host looks for others before it watches
	// the store itself.
	settleTime = 300 * chivehillclock.Millisecond
	// firstSettleTime is the same when the whole deployment starts for the first time.
	firstSettleTime = 1500 * chivehillclock.Millisecond
	// blindTime is the same for a host that knows of no others: the store has not
	// answered its look at the hosts, and would hardly answer more.
	blindTime = 2 * chivehillclock.Second
	// contactTime is the age of the newest contact with the store from which a
	// host that follows others tries the store itself.
	contactTime = 2400 * chivehillclock.Millisecond
	// contactStep is added for each host that tries before this one.
	contactStep = 400 * chivehillclock.Millisecond
	// searchTime is added while others look for a host that the store answers.
	searchTime = 20 * chivehillclock.Second
	// blindStep is how much later each of the first hosts acts than the one before
	// it: when it becomes a head since it follows nobody, and when it tries the store
	// since it learns nothing after its start.
	blindStep     = 100 * chivehillclock.Millisecond
	maxBlindSteps = 8
	// lateStep is the same for each further host: most of a large failure domain
	// must not load the store at once.
	lateStep = 500 * chivehillclock.Millisecond
	// informTime is added while a starting host is connected with one that the
	// store answers: what it knows is on its way.
	informTime = 1200 * chivehillclock.Millisecond
	// dialsAtOnce is the most hosts of a failure domain dialed side by side.
	dialsAtOnce = 2
)

// PeerState is what a host knows of one of its connections.
type PeerState struct {
	Host chivehillcatalog.Host
	// Live is set while the peer is connected and was heard of lately.
	Live bool
	// Beaten is set once a heartbeat arrived.
	Beaten bool
	// ContactAt is the newest contact of the peer with the store, ContactEver
	// whether there was one.
	ContactAt   chivehillclock.Millis
	ContactEver bool
	Leaving     bool
	Down        []chivehillid.HostID
	// Lost is set while the peer tries to watch the store and gets no answers.
	Lost bool
	// Delegate is the host that the peer asks to watch in its place.
	Delegate chivehillid.HostID
	// Searching is set while the peer, or the host that it follows, looks for a
	// host that the store answers.
	Searching bool
}

// Situation is what a host decides from.
type Situation struct {
	Now     chivehillclock.Millis
	Started chivehillclock.Millis
	// FirstStart is set if all hosts start for the first time: they list each
	// other one by one.
	FirstStart bool
	Self       chivehillcatalog.Host
	// Hosts are the hosts that the store lists.
	Hosts map[chivehillid.HostID]chivehillcatalog.Host
	Peers map[chivehillid.HostID]PeerState
	// SeenAt is when each host was listed first, or lost its last connection.
	SeenAt map[chivehillid.HostID]chivehillclock.Millis
	// HeadSince is since when this host is the head of its failure domain, if it is.
	HeadSince chivehillclock.Millis
	Head      bool
	// LedAt is when this host last followed another one of its failure domain.
	LedAt chivehillclock.Millis
	// Down are the hosts that callers must not be sent to, as decided last.
	Down map[chivehillid.HostID]bool
	// Failed are the hosts that did not answer when they were dialed last.
	Failed map[chivehillid.HostID]bool
	// ContactAt is this host's own newest contact with the store.
	ContactAt   chivehillclock.Millis
	ContactEver bool
	// Informed is set once every collection is known.
	Informed bool
	// Lost is set while this host tries to watch the store and gets no answers.
	Lost bool
	// Delegate is the host that was asked last to watch in this one's place.
	Delegate chivehillid.HostID
}

// order returns the hosts of a failure domain in the order in which they watch.
func order(domain chivehillid.DomainID, hosts map[chivehillid.HostID]chivehillcatalog.Host) []chivehillcatalog.Host {
	var listed []chivehillcatalog.Host
	for _, h := range hosts {
		if h.Domain == domain {
			listed = append(listed, h)
		}
	}
	slices.SortFunc(listed, inTurn)
	return listed
}

// inTurn orders hosts by what they can do for others, the best first; equal ones by hash.
func inTurn(a, b chivehillcatalog.Host) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
}

func rank[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// Decision is what a host does now.
type Decision struct {
	// Watch is set if the host watches the store itself.
	Watch bool
	// Head is set if the host follows no host of its failure domain and does not
	// expect to.
	Head bool
	// Led is set if the host follows another one of its failure domain.
	Led bool
	// Delegate is the host that is asked to watch the store in this one's place;
	// empty if none is.
	Delegate chivehillid.HostID
	// Searching is set while this host, or the one it follows, looks for a host
	// that the store answers.
	Searching bool
	// Dial lists the hosts to connect to.
	Dial []chivehillcatalog.Host
	// Keep lists the peers whose connections are needed.
	Keep map[chivehillid.HostID]bool
	// Down lists the hosts that callers must not be sent to.
	Down map[chivehillid.HostID]bool
	// ContactAt is the newest contact with the store, own or told.
	ContactAt   chivehillclock.Millis
	ContactEver bool
}

// Decide decides from what a host knows.
func Decide(s Situation) Decision {
	d := Decision{Keep: make(map[chivehillid.HostID]bool)}
	d.ContactAt, d.ContactEver = contact(s)
	own := order(s.Self.Domain, s.Hosts)
	position := slices.IndexFunc(own, func(h chivehillcatalog.Host) bool { return h.ID == s.Self.ID })
	earlier := own
	if position >= 0 {
		earlier = own[:position]
	}
	source := d.follow(s, earlier)
	domainSource := source
	before := len(earlier)
	d.Led = source != nil
	d.Head = source == nil && (s.settled(s.awaited(earlier)) || s.first(earlier))
	if d.Head {
		d.compare(s)
		before, source = s.servedByRegion()
		d.Watch = source == nil
	}
	d.Searching = s.Lost || source != nil && source.Searching
	if d.Watch && s.Lost {
		d.Delegate = s.delegate()
	}
	d.Watch = d.Watch || s.delegated() || d.tryStore(s, before)
	d.Down = d.down(s, domainSource)
	return d
}

// delegate returns the peer of the region that should watch the store in place
// of this host: the last one while it gets answers, else the first that does
// not say that it gets none.
func (s Situation) delegate() chivehillid.HostID {
	var able []chivehillid.HostID
	for id, p := range s.Peers {
		if p.Host.Region == s.Self.Region && p.Live && p.Beaten && !p.Leaving && !p.Lost {
			able = append(able, id)
		}
	}
	if len(able) == 0 {
		return ""
	}
	if slices.Contains(able, s.Delegate) {
		return s.Delegate
	}
	return slices.MinFunc(able, func(a, b chivehillid.HostID) int { return inTurn(s.Hosts[a], s.Hosts[b]) })
}

// delegated reports whether a live peer asks this host to watch in its place.
func (s Situation) delegated() bool {
	for _, p := range s.Peers {
		if p.Live && p.Delegate == s.Self.ID {
			return true
		}
	}
	return false
}

// first reports whether no host comes before this one in its region.
func (s Situation) first(earlier []chivehillcatalog.Host) bool {
	if s.FirstStart || len(s.Hosts) == 0 || len(earlier) > 0 {
		return false
	}
	before, _ := s.servedByRegion()
	return before == 0
}

// awaited returns how many of the hosts before this one may still be followed.
func (s Situation) awaited(earlier []chivehillcatalog.Host) int {
	n := 0
	for _, h := range earlier {
		if !s.Peers[h.ID].Leaving && !s.Failed[h.ID] {
			n++
		}
	}
	return n
}

// settled reports whether the host has looked for long enough for the hosts
// before it. Hosts that start together, or lose the same head, give up one
// after the other.
func (s Situation) settled(before int) bool {
	return s.Now-s.Started >= s.settleTurn(before) && s.Now-s.LedAt >= turn(before)
}

// turn returns how much later than the first host this one acts.
func turn(before int) chivehillclock.Millis {
	steps := chivehillclock.Millis(min(before, maxBlindSteps)) * blindStep
	return steps + chivehillclock.Millis(max(0, before-maxBlindSteps))*lateStep
}

// settleTurn returns how long after its start a host relies on the others.
func (s Situation) settleTurn(before int) chivehillclock.Millis {
	switch {
	case len(s.Hosts) == 0:
		return blindTime
	case s.FirstStart:
		return firstSettleTime + turn(before)
	}
	return settleTime + turn(before)
}

// servedByRegion returns a reached head of an earlier failure domain of the
// region, which then watches the store for this one as well, nil if there is
// none. before is the number of earlier failure domains.
func (s Situation) servedByRegion() (before int, source *PeerState) {
	earlier := make(map[chivehillid.DomainID]bool)
	for _, h := range s.Hosts {
		if h.Region == s.Self.Region && rank(h.Domain) < rank(s.Self.Domain) {
			earlier[h.Domain] = true
		}
	}
	for _, p := range s.Peers {
		if !earlier[p.Host.Domain] || !p.Live || !p.Beaten || p.Leaving {
			continue
		}
		if source == nil || rank(p.Host.Domain) < rank(source.Host.Domain) {
			source = &p
		}
	}
	return len(earlier), source
}

// contact returns the newest contact with the store, own or told by a peer.
func contact(s Situation) (at chivehillclock.Millis, ever bool) {
	at, ever = s.ContactAt, s.ContactEver
	for _, p := range s.Peers {
		if p.ContactEver && (!ever || p.ContactAt > at) {
			at, ever = p.ContactAt, true
		}
	}
	return at, ever
}

// follow returns the first live host before this one, and dials those before it.
func (d *Decision) follow(s Situation, earlier []chivehillcatalog.Host) (source *PeerState) {
	return d.reach(s, earlier, func(p PeerState) bool { return p.Live && p.Beaten && !p.Leaving })
}

// reach returns the first of hosts that this one is connected with and that is
// usable. It dials those before it: the first that may answer, and the first of
// those that did not answer last.
func (d *Decision) reach(s Situation, hosts []chivehillcatalog.Host, usable func(PeerState) bool) *PeerState {
	dials, retries := 0, 0
	for _, h := range hosts {
		if p, connected := s.Peers[h.ID]; connected && usable(p) {
			d.Keep[h.ID] = true
			return &p
		}
		count := &dials
		if s.Failed[h.ID] {
			count = &retries
		}
		if *count < dialsAtOnce {
			d.Dial = append(d.Dial, h)
			d.Keep[h.ID] = true
		}
		*count++
	}
	return nil
}

// tryStore reports whether a host that follows others has to try the store
// itself: no host that it hears of reaches it, and none looks for one that does.
// Hosts try one after the other.
func (d *Decision) tryStore(s Situation, before int) bool {
	if !s.Informed {
		wait := s.settleTurn(before)
		if d.ContactEver && s.Now-d.ContactAt < contactTime {
			wait += informTime
		}
		return s.Now-s.Started > wait
	}
	wait := contactTime + chivehillclock.Millis(before)*contactStep
	if d.Searching {
		wait += searchTime
	}
	if !d.ContactEver {
		return s.Now-s.Started > settleTime+wait
	}
	return s.Now-d.ContactAt > wait
}

// compare connects a head with the first reachable host of each other failure
// domain.
func (d *Decision) compare(s Situation) {
	for _, domain := range otherDomains(s) {
		d.reach(s, order(domain, s.Hosts), func(p PeerState) bool { return p.Live && !p.Leaving })
	}
}

func otherDomains(s Situation) []chivehillid.DomainID {
	seen := make(map[chivehillid.DomainID]bool)
	var domains []chivehillid.DomainID
	for _, h := range s.Hosts {
		if h.Domain != s.Self.Domain && !seen[h.Domain] {
			seen[h.Domain] = true
			domains = append(domains, h.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// down returns the hosts that callers must not be sent to: a following host
// believes the one it follows; a head judges its own failure domain by its
// connections and believes the peers of the others; between two heads a host
// keeps to what it believed last.
func (d *Decision) down(s Situation, source *PeerState) map[chivehillid.HostID]bool {
	gone := make(map[chivehillid.HostID]bool)
	switch {
	case source != nil:
		for _, id := range source.Down {
			gone[id] = true
		}
	case d.Head:
		s.judge(gone)
	default:
		s.keepDown(gone, func(chivehillcatalog.Host) bool { return true })
	}
	for id, p := range s.Peers {
		switch {
		case p.Leaving:
			gone[id] = true
		case p.Live:
			delete(gone, id)
		}
	}
	delete(gone, s.Self.ID)
	return gone
}

// keepDown marks the listed hosts that were down before and that pick chooses.
func (s Situation) keepDown(gone map[chivehillid.HostID]bool, pick func(chivehillcatalog.Host) bool) {
	for id := range s.Down {
		if h, listed := s.Hosts[id]; listed && pick(h) {
			gone[id] = true
		}
	}
}

// judge marks the hosts that a head misses.
func (s Situation) judge(gone map[chivehillid.HostID]bool) {
	reached := make(map[chivehillid.DomainID]bool)
	for _, p := range s.Peers {
		if !p.Live || p.Host.Domain == s.Self.Domain {
			continue
		}
		reached[p.Host.Domain] = true
		for _, id := range p.Down {
			if s.Hosts[id].Domain == p.Host.Domain {
				gone[id] = true
			}
		}
	}
	s.keepDown(gone, func(h chivehillcatalog.Host) bool { return !reached[h.Domain] })
	since := s.Now
	if s.Head {
		since = max(s.Started, s.HeadSince)
	}
	for id, h := range s.Hosts {
		if reached[h.Domain] || s.Peers[id].Live {
			continue
		}
		if s.Now-max(since, s.SeenAt[id]) > graceTime {
			gone[id] = true
		}
	}
}
