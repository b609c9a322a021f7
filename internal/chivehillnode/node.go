// Package chivehillnode assembles the components of an entry host and manages its
// lifecycle.
package chivehillnode

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehilladmin"
	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehilldispatch"
	"github.com/chivehill/chivehill/internal/chivehillentry"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillkey"
	"github.com/chivehill/chivehill/internal/chivehilllistener"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillpeer"
	"github.com/chivehill/chivehill/internal/chivehillplan"
	"github.com/chivehill/chivehill/internal/chivehillquery"
	"github.com/chivehill/chivehill/internal/chivehillslot"
	"github.com/chivehill/chivehill/internal/chivehillstate"
	"github.com/chivehill/chivehill/internal/chivehillstore"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillsync"
	"github.com/chivehill/chivehill/internal/chivehillwake"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// pollsPerLease is the number of long polls per membership lease.
	pollsPerLease = 3
)

// Node is one entry host.
type Node struct {
	settings chivehillwire.Settings
	self     chivehillwire.Member
	clock    *chivehillclock.Clock
	log      zerolog.Logger
	metrics  *chivehillmetrics.Metrics
	state    *chivehillstate.State
	sync     *chivehillsync.Sync
	mesh     *chivehillpeer.Mesh
	slots    *chivehillslot.Manager
	table    *chivehillkey.Table
	adopted  *chivehillkey.Adopted
	suspects *chivehillsuspect.Table
	entry    *chivehillentry.Entry
	dispatch *chivehilldispatch.Dispatcher
	probes   *chivehillbudget.Bucket

	leaving atomic.Bool
	// reconfigure is signalled after each change of configuration, membership or reachability.
	reconfigure chivehillwake.Signal

	// plan is guarded by mu, except for its topology, which is immutable.
	plan *chivehillplan.Plan
	// heartbeatCount and knownPeers are used by sendPeriodicHeartbeat only.
	heartbeatCount int
	knownPeers     []chivehillbalance.Peer
	// silence is used by housekeeping only.
	silence *chivehillmember.SilenceDetector

	mu sync.Mutex
	// heartbeats holds the latest heartbeat of each peer.
	heartbeats map[chivehillid.HostID]peerHeartbeat
	// successors maps the incarnation of a departed host to its successor.
	successors map[chivehillid.Incarnation]chivehillid.HostID
	// handoverConfirmed is closed when the successor has the whole key table.
	handoverConfirmed chan struct{}
	// seeds are members from the host list, used while no membership is known.
	seeds []chivehillwire.Member

	tasks  conc.WaitGroup
	cancel context.CancelFunc
}

// New creates a node. Run starts it.
func New(s chivehillwire.Settings, log zerolog.Logger) (*Node, error) {
	secret, err := readSecret(s.PeerSecretFile)
	if err != nil {
		return nil, err
	}
	clock := chivehillclock.New()
	n := &Node{
		settings: s, clock: clock, log: log, metrics: chivehillmetrics.New(),
		self: chivehillwire.Member{
			Host: s.Host, Incarnation: chivehillid.NewIncarnation(), Region: s.Region,
			FailureDomain: s.FailureDomain, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		},
		adopted: chivehillkey.NewAdopted(), suspects: chivehillsuspect.New(),
		probes:      chivehillbudget.NewBucket(s.Limits.ProbeRequestsPerSecond, max(1, s.Limits.ProbeRequestsPerSecond)),
		reconfigure: chivehillwake.New(), handoverConfirmed: make(chan struct{}),
		heartbeats: make(map[chivehillid.HostID]peerHeartbeat),
		successors: make(map[chivehillid.Incarnation]chivehillid.HostID),
	}
	n.silence = chivehillmember.NewSilenceDetector(clock.Now())
	n.plan = chivehillplan.New(n.self.Host, s.Topology, clock.Now(), s.Limits.MembershipLeaseMs)
	n.dispatch = chivehilldispatch.New(clock, n.disconnected)
	chivehillinvariant.SetHandler(n.recordViolation)
	n.state = chivehillstate.New(n.signalReconfigure)
	n.table = chivehillkey.NewTable(n.self.Host, n.self.Incarnation, chivehillkey.Limits{
		MaxKeys: s.Limits.MaxKeys, KeptBytes: s.Limits.KeptAnswerBytes, Window: s.Limits.KeyWindowMs, Keep: s.Limits.KeyKeepMs,
	}, clock.Now())
	n.sync = &chivehillsync.Sync{
		Store: chivehillstore.NewClient(s.StoreAddress), State: n.state, Clock: clock, Metrics: n.metrics, Log: log,
		Wait: s.Limits.MembershipLeaseMs / pollsPerLease,
	}
	n.mesh = chivehillpeer.New(chivehillpeer.Options{
		Self: n.self, Secret: secret, Silence: s.Limits.PeerSilenceMs, Clock: clock, Metrics: n.metrics, Log: log, Receive: n.receive, Connected: n.tellSuspects,
	})
	n.slots = chivehillslot.New(clock, chivehillslot.Hooks{Send: n.sendPool, Released: n.broadcastRelease})
	n.entry = chivehillentry.New(chivehillentry.Options{
		Self: n.self, Limits: *s.Limits, Clock: clock, Cluster: n, Slots: n.slots, Dispatcher: n.dispatch,
		Table: n.table, Adopted: n.adopted, Suspects: n.suspects, Metrics: n.metrics, Log: log,
	})
	return n, nil
}

func readSecret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	secret, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read peer secret: %w", err)
	}
	return bytes.TrimSpace(secret), nil
}

func (n *Node) recordViolation(name chivehillinvariant.Name, detail string) {
	n.metrics.Violation(name)
	n.log.Error().Str("invariant", string(name)).Str("detail", detail).Msg("invariant: violated.")
}

func (n *Node) signalReconfigure() { n.reconfigure.Wake() }

// Run serves until ctx is canceled and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	token, err := readSecret(n.settings.OperatorTokenFile)
	if err != nil {
		return fmt.Errorf("read operator token: %w", err)
	}
	admin := chivehilladmin.New(chivehilladmin.Options{
		Store: n.sync.Store, State: n.state, Topology: n.settings.Topology, Token: token, Log: n.log, Metrics: n.metrics, InForce: n.activeVersions,
	})
	query := chivehillquery.New(n, n.metrics, admin)
	callers := n.server(n.entry)
	callers.Protocols = new(http.Protocols)
	callers.Protocols.SetHTTP1(true)
	callers.Protocols.SetUnencryptedHTTP2(true)
	peerMux := http.NewServeMux()
	peerMux.Handle(chivehillpeer.Path, n.mesh)
	peers := n.server(peerMux)
	operators := n.server(query)
	listeners, err := chivehilllistener.Listen(n.settings.CallerAddress, n.settings.PeerAddress, n.settings.OperatorAddress)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.startTasks(work)
	for i, s := range []*http.Server{callers, peers, operators} {
		n.tasks.Go(func() { chivehilllistener.Serve(s, listeners[i], n.log) })
	}
	n.log.Info().Str("incarnation", string(n.self.Incarnation)).Msg("node: started.")
	<-ctx.Done()
	n.stop(callers)
	_ = peers.Close()
	_ = operators.Close()
	cancel()
	n.mesh.Close()
	n.tasks.Wait()
	n.dispatch.Close()
	n.log.Info().Msg("node: stopped.")
	return nil
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// startTasks starts the background tasks.
func (n *Node) startTasks(ctx context.Context) {
	n.tasks.Go(func() { n.sync.FollowConfiguration(ctx) })
	n.tasks.Go(func() { n.sync.FollowMembership(ctx) })
	n.tasks.Go(func() { n.maintainMembership(ctx) })
	n.tasks.Go(func() { n.pollHostList(ctx) })
	n.tasks.Go(func() { n.reconfigureLoop(ctx) })
	n.tasks.Go(func() { n.tickBusy(ctx) })
	n.every(ctx, tickPeriod, n.slots.TickAll)
	n.every(ctx, heartbeatPeriod, n.sendPeriodicHeartbeat)
	n.every(ctx, housekeepingPeriod, n.housekeeping)
	n.every(ctx, probePeriod, func() { n.probeDueServers(ctx) })
}

func (n *Node) every(ctx context.Context, period chivehillclock.Millis, do func()) {
	n.tasks.Go(func() { chivehillclock.Every(ctx, period, do) })
}

// joinCheckInterval is the time between two checks that this host is a member.
const joinCheckInterval = 500 * time.Millisecond

// maintainMembership rejoins the membership whenever this host is missing from it,
// until the host shuts down.
func (n *Node) maintainMembership(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.leaving.Load() && !n.joined() {
			if err := n.sync.ChangeMembership(ctx, chivehillmember.Join(n.self)); err != nil && ctx.Err() == nil {
				n.log.Warn().Str("step", "join").Str("peer", "store").Err(err).Msg("member: joining the membership failed.")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinCheckInterval):
		}
	}
}

func (n *Node) joined() bool {
	m, found := chivehillmember.Find(n.state.Membership(), n.self.Host)
	return found && m.Incarnation == n.self.Incarnation
}
