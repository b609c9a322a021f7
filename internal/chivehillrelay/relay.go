package chivehillrelay

import (
	"context"
	"net/http"
	"slices"
	"sync"
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
	// beatPeriod is the time between two heartbeats to a peer of the region.
	beatPeriod = 300 * chivehillclock.Millisecond
	// farBeatPeriod is the same for a peer of another region.
	farBeatPeriod = chivehillclock.Second
	// minRedial and maxRedial bound the pause before a host is dialed again.
	minRedial = 200 * chivehillclock.Millisecond
	maxRedial = 2 * chivehillclock.Second
)

// Options of a relay.
type Options struct {
	Self chivehillcatalog.Host
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	Seeds      []string
	// Suspects are the requests after which servers were down.
	Suspects *chivehillsuspect.Table
	Catalog  *chivehillcatalog.Catalog
	Clock    *chivehillclock.Clock
	Log      zerolog.Logger
	// Contact returns when the store answered this host last.
	Contact func() (at chivehillclock.Millis, ever bool)
	// Lost reports whether this host watches the store and has got no answers for a while.
	Lost func() bool
	// Watch is called when this host has to begin or to cease to watch the store.
	Watch func(watch bool)
	// Changed is called when the set of hosts that are down has changed.
	Changed func()
}

// Relay is safe for concurrent use.
type Relay struct {
	Options

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	// snapshots has its own lock.
	snapshots snapshots

	mu      sync.Mutex
	started chivehillclock.Millis
	links   map[hostKey]*link
	redial  map[string]*redial
	seenAt  map[chivehillid.HostID]chivehillclock.Millis
	// askedAt is when a peer was asked last for each collection.
	askedAt  map[chivehillcatalog.Collection]chivehillclock.Millis
	decision Decision
	// watching is what Watch was told last.
	watching    bool
	lost        bool
	headSince   chivehillclock.Millis
	ledAt       chivehillclock.Millis
	leaving     bool
	lastBeat    chivehillclock.Millis
	lastFarBeat chivehillclock.Millis
}

// redial is when an address may be dialed again.
type redial struct {
	at      chivehillclock.Millis
	pause   chivehillclock.Millis
	dialing bool
	// failed is set if the address did not answer last.
	failed bool
}

// New returns a relay without peers.
func New(o Options) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{
		Options: o, ctx: ctx, cancel: cancel, started: o.Clock.Now(), links: make(map[hostKey]*link), redial: make(map[string]*redial),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		seenAt: make(map[chivehillid.HostID]chivehillclock.Millis), askedAt: make(map[chivehillcatalog.Collection]chivehillclock.Millis),
	}
}

// Run decides and beats until ctx ends.
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
			r.tasks.Wait()
			return
		case <-t.C:
		}
	}
}

// Leave tells all peers that this host leaves.
func (r *Relay) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.beat(func(*link) bool { return true })
}

// Down reports whether callers must not be sent to a host.
func (r *Relay) Down(id chivehillid.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decision.Down[id]
}

// Watching reports whether this host watches the store.
func (r *Relay) Watching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

// Contact returns the newest contact with the store, own or told by a peer.
func (r *Relay) Contact() (at chivehillclock.Millis, ever bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.situation()
	return contact(s)
}

// situation collects what the host knows. The caller holds r.mu.
func (r *Relay) situation() Situation {
	now := r.Clock.Now()
	s := Situation{
		Now: now, Started: r.started, FirstStart: r.FirstStart, Self: r.Self, Hosts: r.Catalog.View().Hosts, Peers: make(map[chivehillid.HostID]PeerState),
		Failed: make(map[chivehillid.HostID]bool),
		SeenAt: r.seenAt, Head: r.decision.Head, HeadSince: r.headSince, LedAt: r.ledAt, Down: r.decision.Down,
	}
	s.ContactAt, s.ContactEver = r.Options.Contact()
	s.Informed = r.informed()
	s.Lost, s.Delegate = r.watching && r.Lost(), r.decision.Delegate
	for key, l := range r.links {
		p := l.state(now)
		if old, found := s.Peers[key.id]; !found || p.Live && !old.Live || p.Beaten && !old.Beaten {
			s.Peers[key.id] = p
		}
	}
	for id, h := range s.Hosts {
		if e := r.redial[h.PeerAddress]; e != nil && e.failed {
			s.Failed[id] = true
		}
		if _, seen := r.seenAt[id]; !seen {
			r.seenAt[id] = now
		}
		if s.Peers[id].Live {
			r.seenAt[id] = now
		}
	}
	return s
}

// tick decides anew and acts on it.
func (r *Relay) tick() {
	r.mu.Lock()
	s := r.situation()
	d := Decide(s)
	if r.leaving {
		d.Watch = r.watching
	}
	changed := !sameKeys(r.decision.Down, d.Down)
	if d.Head && !r.decision.Head {
		r.headSince = s.Now
	}
	if d.Led {
		r.ledAt = s.Now
	}
	watchChanged := d.Watch != r.watching
	r.watching = d.Watch
	r.dropUnneeded(s, d)
	urgent := d.Delegate != s.Delegate || s.Lost != r.lost || d.Searching != r.decision.Searching
	r.lost = s.Lost
	r.decision = d
	far := s.Now-r.lastFarBeat >= farBeatPeriod
	due := urgent || s.Now-r.lastBeat >= beatPeriod
	if due {
		r.lastBeat = s.Now
	}
	if far {
		r.lastFarBeat = s.Now
	}
	r.mu.Unlock()
	r.act(d, watchChanged, changed)
	for _, l := range r.all() {
		r.catchUp(l)
	}
	r.beat(func(l *link) bool {
		if l.host.Region == r.Self.Region {
			return due
		}
		return far
	})
}

func (r *Relay) act(d Decision, watchChanged, downChanged bool) {
	if watchChanged {
		r.Log.Info().Bool("watch", d.Watch).Float64("contact-age-ms", float64(r.Clock.Now()-d.ContactAt)).Msg("relay: role changed.")
		r.Watch(d.Watch)
	}
	if d.Delegate != "" {
		r.Log.Debug().Str("delegate", string(d.Delegate)).Msg("relay: another host watches in place of this one.")
	}
	if downChanged {
		r.Log.Info().Strs("down", names(d.Down)).Msg("relay: hosts out of reach changed.")
		r.Changed()
	}
	for _, h := range d.Dial {
		r.connect(h.PeerAddress)
	}
}

func names(set map[chivehillid.HostID]bool) []string {
	var list []string
	for id := range set {
		list = append(list, string(id))
	}
	slices.Sort(list)
	return list
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

// dropUnneeded closes silent connections and those that this host dialed and
// does not need any more. The caller holds r.mu.
func (r *Relay) dropUnneeded(s Situation, d Decision) {
	for key, l := range r.links {
		p := l.state(s.Now)
		unneeded := key.dialed && p.Beaten && !d.Keep[key.id] && s.Informed
		if !p.Live || unneeded {
			go func() { _ = l.conn.CloseNow() }()
		}
	}
}

// informed reports whether every collection is known.
func (r *Relay) informed() bool {
	for _, c := range chivehillcatalog.Collections {
		if r.Catalog.AsOf(c) == 0 {
			return false
		}
	}
	return true
}

// connect dials an address in the background unless it was tried just now.
func (r *Relay) connect(address string) {
	now := r.Clock.Now()
	r.mu.Lock()
	e := r.redial[address]
	if e == nil {
		e = &redial{pause: minRedial}
		r.redial[address] = e
	}
	if e.dialing || now < e.at || r.ctx.Err() != nil {
		r.mu.Unlock()
		return
	}
	e.dialing = true
	r.mu.Unlock()
	r.tasks.Go(func() {
		l, err := r.dial(r.ctx, address)
		r.dialed(e, err == nil)
		if err != nil {
			r.Log.Info().Str("step", "dial").Str("peer", address).Err(err).Msg("relay: peer not reached.")
			return
		}
		r.use(l)
	})
}

func (r *Relay) dialed(e *redial, reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.dialing, e.failed = false, !reached
	if reached {
		e.pause = minRedial
	} else {
		e.pause = min(maxRedial, 2*e.pause)
	}
	e.at = r.Clock.Now() + e.pause
}

// use runs a connection until it ends.
func (r *Relay) use(l *link) {
	key := hostKey{id: l.host.ID, dialed: l.dialed}
	r.mu.Lock()
	old := r.links[key]
	r.links[key] = l
	r.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseNow()
	}
	r.Log.Info().Str("peer", string(l.host.ID)).Bool("dialed", l.dialed).Msg("relay: peer connected.")
	r.addBeat(l)
	err := l.run(r.ctx)
	r.mu.Lock()
	if r.links[key] == l {
		delete(r.links, key)
	}
	r.mu.Unlock()
	if r.ctx.Err() == nil {
		r.Log.Info().Str("peer", string(l.host.ID)).Err(err).Msg("relay: peer lost.")
	}
}
