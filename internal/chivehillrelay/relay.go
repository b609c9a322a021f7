package chivehillrelay

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
)

const (
	tickPeriod = 100 * chivehillclock.Millisecond
	// heartbeatPeriod is the time between two heartbeats to a peer of the region.
	heartbeatPeriod = 300 * chivehillclock.Millisecond
	// crossRegionHeartbeatPeriod is the same for a peer of another region.
	crossRegionHeartbeatPeriod = chivehillclock.Second
	// minRedialDelay and maxRedialDelay limit the delay before a host is dialed again.
	minRedialDelay = 200 * chivehillclock.Millisecond
	maxRedialDelay = 2 * chivehillclock.Second
)

// Options configures a Relay.
type Options struct {
	Self chivehillcatalog.Host
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	Seeds      []string
	// Suspects is the table of requests after which servers went down.
	Suspects *chivehillsuspect.Table
	// MarkLeaving records that an instance of a server leaves and reports whether that was
	// not known.
	MarkLeaving func(chivehillcatalog.Instance) bool
	// LeavingInstances returns the instances of servers that are known to leave.
	LeavingInstances func() []chivehillcatalog.Instance
	// Trials is what hosts tell one another of versions under trial; nil in a deployment
	// without roll-outs.
	Trials  *Trials
	Catalog *chivehillcatalog.Catalog
	Clock   *chivehillclock.Clock
	Log     zerolog.Logger
	// Contact returns when the store last answered this host, and whether it ever did.
	Contact func() (at chivehillclock.Millis, hasContact bool)
	// StoreUnreachable reports whether this host watches the store and has received no answers
	// for some time.
	StoreUnreachable func() bool
	// SetWatch is called when this host has to start or stop watching the store.
	SetWatch func(watch bool)
	// DownChanged is called when the set of down hosts has changed.
	DownChanged func()
}

// Relay maintains the connections of this host to other hosts, replicates the
// store's collections over them and decides whether this host watches the store.
// It is safe for concurrent use.
type Relay struct {
	Options

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	// snapshots has its own lock.
	snapshots snapshots
	// wake ends the wait for the next tick.
	wake    chan struct{}
	started chivehillclock.Millis
	// informed is set once the decision is no longer Uninformed.
	informed atomic.Bool

	mu         sync.Mutex
	links      map[linkKey]*link
	dialState  map[string]*dialState
	lastSeenAt map[chivehillid.HostID]chivehillclock.Millis
	// contactAt is the time of the newest contact with the store that this host has known,
	// also if the peer that reported it is no longer connected. hasContact is set if there
	// was one.
	contactAt  chivehillclock.Millis
	hasContact bool
	// requestedAt is when each collection was last requested from a peer.
	requestedAt map[chivehillcatalog.Collection]chivehillclock.Millis
	decision    Decision
	// watching is whether this host has to watch the store, as last passed to SetWatch.
	watching         bool
	storeUnreachable bool
	asked            delegations
	leaderSince      chivehillclock.Millis
	lastFollowedAt   chivehillclock.Millis
	leaving          bool
	// complete is set once the peers were told that this host has all collections.
	complete bool
	// stopped is set before Run waits for the tasks. No task starts from outside after it.
	stopped                  bool
	lastHeartbeat            chivehillclock.Millis
	lastCrossRegionHeartbeat chivehillclock.Millis
}

// dialState records when an address may be dialed again and whether the last dial
// failed.
type dialState struct {
	nextAt  chivehillclock.Millis
	delay   chivehillclock.Millis
	dialing bool
	// failed is set if the last dial of the address failed.
	failed bool
}

// New returns a relay without connections.
func New(o Options) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		Options: o, ctx: ctx, cancel: cancel, started: o.Clock.Now(), links: make(map[linkKey]*link), dialState: make(map[string]*dialState), wake: make(chan struct{}, 1),
		client:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		lastSeenAt: make(map[chivehillid.HostID]chivehillclock.Millis), requestedAt: make(map[chivehillcatalog.Collection]chivehillclock.Millis),
	}
	// When the whole deployment starts for the first time, nobody knows anything.
	r.informed.Store(o.FirstStart)
	return r
}

// Run connects to the seeds, then evaluates the state of the hosts and sends
// heartbeats periodically until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	for _, address := range r.Seeds {
		if address != r.Self.PeerAddress {
			r.connect(address)
		}
	}
	t := time.NewTicker(tickPeriod.Duration())
	defer t.Stop()
	for {
		r.tick()
		select {
		case <-ctx.Done():
			r.cancel()
			r.stopAccepting()
			r.tasks.Wait()
			return
		case <-r.wake:
		case <-t.C:
		}
	}
}

// Wake makes the next decision at once, because this host has learnt of other hosts.
func (r *Relay) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Relay) stopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// start runs a task for an accepted connection, and reports whether the relay still does so.
func (r *Relay) start(task func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.tasks.Go(task)
	}
	return !r.stopped
}

// Leave reports to all peers that this host is leaving.
func (r *Relay) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.sendHeartbeats(func(*link) bool { return true })
}

// Down reports whether callers must not be sent to a host.
func (r *Relay) Down(id chivehillid.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decision.Down[id]
}

// Leading reports whether this host is the leader of its failure domain.
func (r *Relay) Leading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decision.Leader
}

// Watching reports whether this host watches the store.
func (r *Relay) Watching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

// Contact returns the time of the newest contact with the store, of this host or
// reported by a peer, and whether there was one.
func (r *Relay) Contact() (at chivehillclock.Millis, hasContact bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.collectState()
	return newestContact(s)
}

// collectState returns the state from which Decide makes the next decision. It also
// updates lastSeenAt and the newest contact. The caller must hold r.mu.
func (r *Relay) collectState() State {
	now := r.Clock.Now()
	s := State{
		Now: now, Started: r.started, FirstStart: r.FirstStart, Self: r.Self, Hosts: r.Catalog.View().Hosts, Peers: make(map[chivehillid.HostID]PeerState),
		DialFailed: make(map[chivehillid.HostID]bool),
		LastSeenAt: r.lastSeenAt, Leader: r.decision.Leader, LeaderSince: r.leaderSince, LastFollowedAt: r.lastFollowedAt, Down: r.decision.Down,
	}
	s.ContactAt, s.HasContact = r.contactAt, r.hasContact
	if at, has := r.Options.Contact(); has && (!s.HasContact || at > s.ContactAt) {
		s.ContactAt, s.HasContact = at, true
	}
	s.HasAllCollections = r.hasAllCollections()
	s.StoreUnreachable, s.Delegate, s.Asked = r.watching && r.StoreUnreachable(), r.decision.Delegate, r.asked
	s.Uninformed = !r.informed.Load()
	for key, l := range r.links {
		p := l.state(now)
		if old, found := s.Peers[key.id]; !found || p.Live && !old.Live || p.HasHeartbeat && !old.HasHeartbeat {
			s.Peers[key.id] = p
		}
	}
	r.contactAt, r.hasContact = newestContact(s)
	for id, h := range s.Hosts {
		if target := r.dialState[h.PeerAddress]; target != nil && target.failed {
			s.DialFailed[id] = true
		}
		if _, seen := r.lastSeenAt[id]; !seen {
			r.lastSeenAt[id] = now
		}
		if s.Peers[id].Live {
			r.lastSeenAt[id] = now
		}
	}
	return s
}

// tick makes a new decision, applies it and sends the heartbeats that are due.
func (r *Relay) tick() {
	r.mu.Lock()
	s := r.collectState()
	d := Decide(s)
	if r.leaving {
		d.Watch = r.watching
	}
	downChanged := !sameKeys(r.decision.Down, d.Down)
	if d.Leader && !r.decision.Leader {
		r.leaderSince = s.Now
	}
	if d.Following {
		r.lastFollowedAt = s.Now
	}
	watchChanged := d.Watch != r.watching
	r.watching = d.Watch
	r.closeUnneeded(s, d)
	delegateChanged := d.Delegate != s.Delegate
	r.recordDelegate(s, d)
	statusChanged := delegateChanged || s.StoreUnreachable != r.storeUnreachable || d.Searching != r.decision.Searching || d.Uninformed != s.Uninformed
	r.storeUnreachable = s.StoreUnreachable
	r.informed.Store(!d.Uninformed)
	r.decision = d
	crossRegionDue := s.Now-r.lastCrossRegionHeartbeat >= crossRegionHeartbeatPeriod
	sameRegionDue := statusChanged || s.Now-r.lastHeartbeat >= heartbeatPeriod
	if sameRegionDue {
		r.lastHeartbeat = s.Now
	}
	if crossRegionDue {
		r.lastCrossRegionHeartbeat = s.Now
	}
	r.mu.Unlock()
	r.apply(d, watchChanged, downChanged)
	if delegateChanged {
		r.Log.Info().Str("delegate", string(d.Delegate)).Str("previous", string(s.Delegate)).Int("asked", s.Asked.count).Float64("contact-age-ms", float64(s.Now-d.ContactAt)).Msg("relay: the host that watches the store in place of this one changed.")
	}
	for _, l := range r.allLinks() {
		r.catchUp(l)
	}
	r.sendHeartbeats(func(l *link) bool {
		if l.host.Region == r.Self.Region {
			return sameRegionDue
		}
		return crossRegionDue
	})
	r.sendEvidence(s.Now, sameRegionDue, crossRegionDue)
}

// recordDelegate records which host is asked to watch the store in place of this one. The
// caller holds r.mu.
func (r *Relay) recordDelegate(s State, d Decision) {
	switch {
	case !s.StoreUnreachable:
		r.asked = delegations{}
	case d.Delegate != "" && d.Delegate != s.Delegate:
		r.asked.record(s.Now, d.Delegate)
	}
}

func (r *Relay) apply(d Decision, watchChanged, downChanged bool) {
	if watchChanged {
		r.Log.Info().Bool("watch", d.Watch).Float64("contact-age-ms", float64(r.Clock.Now()-d.ContactAt)).Msg("relay: this host started or stopped watching the store.")
		r.SetWatch(d.Watch)
	}
	if downChanged {
		r.Log.Info().Strs("down", sortedNames(d.Down)).Msg("relay: set of down hosts changed.")
		r.DownChanged()
	}
	for _, h := range d.Dial {
		r.connect(h.PeerAddress)
	}
}

func sortedNames(set map[chivehillid.HostID]bool) []string {
	var names []string
	for id := range set {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return names
}

func sameKeys(a, b map[chivehillid.HostID]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// closeUnneeded closes timed-out connections and those that this host dialed and
// no longer needs. A dialed connection that is live stays until its first heartbeat and
// until this host has all collections. The caller must hold r.mu.
func (r *Relay) closeUnneeded(s State, d Decision) {
	for key, l := range r.links {
		p := l.state(s.Now)
		unneeded := key.dialed && p.HasHeartbeat && !d.Keep[key.id] && s.HasAllCollections
		if !p.Live || unneeded {
			go func() { _ = l.conn.CloseNow() }()
		}
	}
}

// hasAllCollections reports whether this host has every collection.
func (r *Relay) hasAllCollections() bool {
	for _, c := range r.Catalog.Collections() {
		if r.Catalog.AsOf(c) == 0 {
			return false
		}
	}
	return true
}

// connect dials an address in the background unless a dial is running or the redial
// delay has not passed.
func (r *Relay) connect(address string) {
	now := r.Clock.Now()
	r.mu.Lock()
	target := r.dialState[address]
	if target == nil {
		target = &dialState{delay: minRedialDelay}
		r.dialState[address] = target
	}
	if target.dialing || now < target.nextAt || r.ctx.Err() != nil {
		r.mu.Unlock()
		return
	}
	target.dialing = true
	r.mu.Unlock()
	r.tasks.Go(func() {
		l, err := r.dial(r.ctx, address)
		r.recordDialResult(target, err == nil)
		if err != nil {
			r.Log.Info().Str("step", "dial").Str("peer", address).Err(err).Msg("relay: failed to connect to a peer.")
			return
		}
		r.serve(l)
	})
}

func (r *Relay) recordDialResult(target *dialState, reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target.dialing, target.failed = false, !reached
	if reached {
		target.delay = minRedialDelay
	} else {
		target.delay = min(maxRedialDelay, 2*target.delay)
	}
	target.nextAt = r.Clock.Now() + target.delay
}

// serve registers a link, closes an older one with the same key and runs the link
// until its connection ends.
func (r *Relay) serve(l *link) {
	key := linkKey{id: l.host.ID, dialed: l.dialed}
	r.mu.Lock()
	old := r.links[key]
	r.links[key] = l
	r.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseNow()
	}
	r.Log.Info().Str("peer", string(l.host.ID)).Bool("dialed", l.dialed).Msg("relay: peer connected.")
	r.queueHeartbeat(l)
	r.sendFacts(l)
	err := l.run(r.ctx)
	r.mu.Lock()
	if r.links[key] == l {
		delete(r.links, key)
	}
	r.mu.Unlock()
	if r.ctx.Err() == nil {
		r.Log.Info().Str("peer", string(l.host.ID)).Err(err).Msg("relay: connection to a peer ended.")
	}
}
