// Package chivehillrelay replicates the store's collections among the hosts. In
// each failure domain the reachable host with the highest priority is the leader,
// which the others follow. The leaders of a region follow the first of them, which
// watches the store, and all leaders exchange the state of their collections.
// There is no election: each host decides on its own from the peers it reaches.
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
	// peerTimeout is the time without a message after which a peer is no longer live.
	peerTimeout = 900 * chivehillclock.Millisecond
	// crossRegionPeerTimeout is the same for a peer in another region.
	crossRegionPeerTimeout = 2500 * chivehillclock.Millisecond
	// unreachableGracePeriod is how long a host may be without a connection to the
	// leader of its failure domain before callers are no longer sent to it.
	unreachableGracePeriod = 2 * chivehillclock.Second
	// discoveryTime is how long a starting host tries to connect to other hosts
	// before it watches the store itself.
	discoveryTime = 300 * chivehillclock.Millisecond
	// firstStartDiscoveryTime is the same when the whole deployment starts for the
	// first time.
	firstStartDiscoveryTime = 1500 * chivehillclock.Millisecond
	// emptyListDiscoveryTime is the same for a host that knows no other hosts: the
	// store has not answered its request for the host list and is unlikely to answer
	// further requests.
	emptyListDiscoveryTime = 2 * chivehillclock.Second
	// contactTimeout is the age of the newest contact with the store at which a
	// follower tries the store itself.
	contactTimeout = 2400 * chivehillclock.Millisecond
	// contactStaggerStep is added to contactTimeout for each preceding host, so that
	// hosts try one after the other.
	contactStaggerStep = 400 * chivehillclock.Millisecond
	// searchWait is added while this host, or the one it follows, gets no answers from
	// the store: a host that watches the store then asks a delegate to do so instead.
	searchWait = 20 * chivehillclock.Second
	// shortStaggerStep is how much longer each of the first maxShortStaggerSteps hosts
	// after the preferred one waits than the host before it.
	shortStaggerStep     = 100 * chivehillclock.Millisecond
	maxShortStaggerSteps = 8
	// longStaggerStep is the same for each later host: most hosts of a large failure
	// domain must not load the store at once.
	longStaggerStep = 500 * chivehillclock.Millisecond
	// syncWait is added while a starting host is connected to one that the store
	// answers, because the collections of that host are being transferred.
	syncWait = 1200 * chivehillclock.Millisecond
	// maxParallelDials is the maximum number of hosts of a failure domain that are
	// dialed in parallel. Hosts whose last dial failed are counted separately.
	maxParallelDials = 2
)

// PeerState is what a host knows about a connected peer.
type PeerState struct {
	Host chivehillcatalog.Host
	// Live is set while the peer is connected and sent a message within its timeout.
	Live bool
	// HasHeartbeat is set once a heartbeat was received.
	HasHeartbeat bool
	// ContactAt is the time of the newest contact with the store that the peer
	// reported. HasContact is set if there was one.
	ContactAt  chivehillclock.Millis
	HasContact bool
	Leaving    bool
	Down       []chivehillid.HostID
	// StoreUnreachable is set while the peer tries to watch the store and gets no answers.
	StoreUnreachable bool
	// Delegate is the host that the peer asks to watch the store in its place.
	Delegate chivehillid.HostID
	// Searching is set while the peer, or the host that it follows, gets no answers
	// from the store.
	Searching bool
	// Watching is set while the peer watches the store.
	Watching bool
	// Uninformed is set while the peer does not know what others know, see Decision.
	Uninformed bool
}

// State is what a host knows about itself and its peers when it makes its decision.
type State struct {
	Now     chivehillclock.Millis
	Started chivehillclock.Millis
	// FirstStart is set if the whole deployment starts for the first time, when hosts
	// are added to the host list one by one.
	FirstStart bool
	Self       chivehillcatalog.Host
	// Hosts are the hosts in the store's host list.
	Hosts map[chivehillid.HostID]chivehillcatalog.Host
	Peers map[chivehillid.HostID]PeerState
	// LastSeenAt is when each host was last live, or first listed if it never was.
	LastSeenAt map[chivehillid.HostID]chivehillclock.Millis
	// LeaderSince is when this host became the leader of its failure domain. It is
	// meaningful only if Leader is set.
	LeaderSince chivehillclock.Millis
	Leader      bool
	// LastFollowedAt is when this host last followed another host of its failure domain.
	LastFollowedAt chivehillclock.Millis
	// Down are the hosts that callers must not be sent to, from the previous decision.
	Down map[chivehillid.HostID]bool
	// DialFailed contains the hosts whose last dial failed.
	DialFailed map[chivehillid.HostID]bool
	// ContactAt is the time of the newest contact with the store that this host has known,
	// its own or reported by a peer of before. HasContact is set if there was one.
	ContactAt  chivehillclock.Millis
	HasContact bool
	// HasAllCollections is set once this host has every collection.
	HasAllCollections bool
	// StoreUnreachable is set while this host tries to watch the store and gets no answers.
	StoreUnreachable bool
	// Delegate is the host that was last asked to watch the store in place of this
	// one.
	Delegate chivehillid.HostID
	// Uninformed is that of the previous decision.
	Uninformed bool
	// Asked holds the hosts asked so since the store last answered this one.
	Asked delegations
}

// byPriority returns the hosts of a failure domain, the preferred leader first.
func byPriority(domain chivehillid.DomainID, hosts map[chivehillid.HostID]chivehillcatalog.Host) []chivehillcatalog.Host {
	var members []chivehillcatalog.Host
	for _, h := range hosts {
		if h.Domain == domain {
			members = append(members, h)
		}
	}
	slices.SortFunc(members, comparePriority)
	return members
}

// comparePriority orders hosts by descending capacity, then by hash of their ID.
func comparePriority(a, b chivehillcatalog.Host) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(priorityHash(a.ID), priorityHash(b.ID)), cmp.Compare(a.ID, b.ID))
}

func priorityHash[T ~string](id T) uint64 { return xxhash.Sum64String(string(id)) }

// Decision is the role of a host and the connections that it needs.
type Decision struct {
	// Watch is set if the host watches the store itself.
	Watch bool
	// Leader is set if the host is the leader of its failure domain: it follows no
	// other host there and no longer waits for one.
	Leader bool
	// Following is set if the host follows another host of its failure domain.
	Following bool
	// Delegate is the host that is asked to watch the store in place of this one;
	// empty if none is.
	Delegate chivehillid.HostID
	// Searching is set while this host, or the one it follows, gets no answers from the
	// store. A host that watches the store then asks a delegate to do so in its place.
	Searching bool
	// Uninformed is set from the start of this host until a peer that is informed has told it
	// what it knows and the store does not, or until it has led for so long that it knows by itself which
	// hosts are down.
	Uninformed bool
	// Dial lists the hosts to connect to.
	Dial []chivehillcatalog.Host
	// Keep contains the hosts whose connections are needed.
	Keep map[chivehillid.HostID]bool
	// Down contains the hosts that callers must not be sent to.
	Down map[chivehillid.HostID]bool
	// ContactAt is the time of the newest contact with the store, of this host or
	// reported by a peer. HasContact is set if there was one.
	ContactAt  chivehillclock.Millis
	HasContact bool
}

// Decide determines the role of a host from its state.
func Decide(s State) Decision {
	d := Decision{Keep: make(map[chivehillid.HostID]bool)}
	d.ContactAt, d.HasContact = newestContact(s)
	domainHosts := byPriority(s.Self.Domain, s.Hosts)
	position := slices.IndexFunc(domainHosts, func(h chivehillcatalog.Host) bool { return h.ID == s.Self.ID })
	// A host that is not in the list yet ranks behind all others.
	precedingHosts := domainHosts
	if position >= 0 {
		precedingHosts = domainHosts[:position]
	}
	// followed is the host that this one follows: the leader of its failure domain or,
	// for a leader, the leader of a preceding failure domain of the region. precedingCount
	// counts preceding hosts, for a leader preceding failure domains.
	followed := d.findLeader(s, precedingHosts)
	domainLeader := followed
	precedingCount := len(precedingHosts)
	d.Following = followed != nil
	d.Leader = followed == nil && (s.discoveryDone(s.countCandidates(precedingHosts)) || s.isFirstInRegion(precedingHosts))
	if d.Leader {
		d.connectOtherDomains(s)
		precedingCount, followed = s.regionLeader()
		d.Watch = followed == nil
	}
	d.Searching = s.StoreUnreachable || followed != nil && followed.Searching
	if d.Watch && s.StoreUnreachable {
		d.Delegate = s.delegate()
	}
	d.Watch = d.Watch || s.isDelegate() || d.shouldTryStore(s, precedingCount)
	d.Uninformed = s.Uninformed && !s.isTold() && !s.hasLedForGracePeriod()
	d.Down = d.downHosts(s, domainLeader)
	return d
}

// isFirstInRegion reports whether no host precedes this one in its failure domain
// and no failure domain precedes its own in the region.
func (s State) isFirstInRegion(precedingHosts []chivehillcatalog.Host) bool {
	if s.FirstStart || len(s.Hosts) == 0 || len(precedingHosts) > 0 {
		return false
	}
	precedingCount, _ := s.regionLeader()
	return precedingCount == 0
}

// countCandidates returns the number of preceding hosts that may still become the
// leader: those that are not leaving and whose last dial did not fail.
func (s State) countCandidates(precedingHosts []chivehillcatalog.Host) int {
	n := 0
	for _, h := range precedingHosts {
		if !s.Peers[h.ID].Leaving && !s.DialFailed[h.ID] {
			n++
		}
	}
	return n
}

// discoveryDone reports whether the host has waited long enough for a preceding
// host. Hosts that start together, or lose the same leader, stop waiting one after
// the other.
func (s State) discoveryDone(precedingCount int) bool {
	return s.Now-s.Started >= s.discoveryDelay(precedingCount) && s.Now-s.LastFollowedAt >= staggerDelay(precedingCount)
}

// staggerDelay returns how much later this host acts than the first host, so that
// hosts act one after the other. It applies when they become leader because they reach
// no leader, and when they try the store because they received no collections after
// their start.
func staggerDelay(precedingCount int) chivehillclock.Millis {
	steps := chivehillclock.Millis(min(precedingCount, maxShortStaggerSteps)) * shortStaggerStep
	return steps + chivehillclock.Millis(max(0, precedingCount-maxShortStaggerSteps))*longStaggerStep
}

// discoveryDelay returns how long after its start a host waits for other hosts.
func (s State) discoveryDelay(precedingCount int) chivehillclock.Millis {
	switch {
	case len(s.Hosts) == 0:
		return emptyListDiscoveryTime
	case s.FirstStart:
		return firstStartDiscoveryTime + staggerDelay(precedingCount)
	}
	return discoveryTime + staggerDelay(precedingCount)
}

// regionLeader returns a connected leader of a preceding failure domain of the
// region, which then watches the store for this failure domain as well, or nil if
// there is none. precedingCount is the number of preceding failure domains.
func (s State) regionLeader() (precedingCount int, leader *PeerState) {
	precedingDomains := make(map[chivehillid.DomainID]bool)
	for _, h := range s.Hosts {
		if h.Region == s.Self.Region && priorityHash(h.Domain) < priorityHash(s.Self.Domain) {
			precedingDomains[h.Domain] = true
		}
	}
	for _, p := range s.Peers {
		if !precedingDomains[p.Host.Domain] || !p.Live || !p.HasHeartbeat || p.Leaving {
			continue
		}
		if leader == nil || priorityHash(p.Host.Domain) < priorityHash(leader.Host.Domain) {
			leader = &p
		}
	}
	return len(precedingDomains), leader
}

// newestContact returns the time of the newest contact with the store, of this
// host or reported by a peer.
func newestContact(s State) (at chivehillclock.Millis, hasContact bool) {
	at, hasContact = s.ContactAt, s.HasContact
	for _, p := range s.Peers {
		if p.HasContact && (!hasContact || p.ContactAt > at) {
			at, hasContact = p.ContactAt, true
		}
	}
	return at, hasContact
}

// findLeader returns the first live host among precedingHosts and requests dials
// of the hosts before it.
func (d *Decision) findLeader(s State, precedingHosts []chivehillcatalog.Host) (leader *PeerState) {
	return d.firstUsable(s, precedingHosts, func(p PeerState) bool { return p.Live && p.HasHeartbeat && !p.Leaving })
}

// firstUsable returns the first of hosts that is connected and usable, or nil if
// there is none. It requests dials of the hosts before it, at most
// maxParallelDials of those whose last dial failed and as many of the others.
func (d *Decision) firstUsable(s State, hosts []chivehillcatalog.Host, usable func(PeerState) bool) *PeerState {
	dials, retries := 0, 0
	for _, h := range hosts {
		if p, connected := s.Peers[h.ID]; connected && usable(p) {
			d.Keep[h.ID] = true
			return &p
		}
		count := &dials
		if s.DialFailed[h.ID] {
			count = &retries
		}
		if *count < maxParallelDials {
			d.Dial = append(d.Dial, h)
			d.Keep[h.ID] = true
		}
		*count++
	}
	return nil
}

// shouldTryStore reports whether a follower has to try the store itself, because
// no peer has reported a recent contact with the store, or because the follower
// lacks collections and none arrived in time. If it lacks none, it waits longer while
// Searching is set. Hosts try one after the other.
func (d *Decision) shouldTryStore(s State, precedingCount int) bool {
	if !s.HasAllCollections {
		wait := s.discoveryDelay(precedingCount)
		if d.HasContact && s.Now-d.ContactAt < contactTimeout {
			wait += syncWait
		}
		return s.Now-s.Started > wait
	}
	wait := contactTimeout + chivehillclock.Millis(precedingCount)*contactStaggerStep
	if d.Searching {
		wait += searchWait
	}
	if !d.HasContact {
		return s.Now-s.Started > discoveryTime+wait
	}
	return s.Now-d.ContactAt > wait
}

// connectOtherDomains connects a leader to the first reachable host of each other
// failure domain.
func (d *Decision) connectOtherDomains(s State) {
	for _, domain := range otherDomains(s) {
		d.firstUsable(s, byPriority(domain, s.Hosts), func(p PeerState) bool { return p.Live && !p.Leaving })
	}
}

func otherDomains(s State) []chivehillid.DomainID {
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
