package chivehillrelay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillresponse"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwake"
)

const (
	tickPeriod = 100 * chivehillclock.Millisecond
	// heartbeatPeriod is the time between two heartbeats to a peer of the region.
	heartbeatPeriod = 300 * chivehillclock.Millisecond
	// crossRegionHeartbeatPeriod is the same for a peer of another region.
	crossRegionHeartbeatPeriod = chivehillclock.Second
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
	wake    chivehillwake.Signal
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

// New returns a relay without connections.
func New(o Options) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		Options: o, ctx: ctx, cancel: cancel, started: o.Clock.Now(), links: make(map[linkKey]*link), dialState: make(map[string]*dialState), wake: chivehillwake.New(),
		client:     chivehillresponse.NewClient(&http.Transport{DisableKeepAlives: true}),
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
func (r *Relay) Wake() { r.wake.Wake() }

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
