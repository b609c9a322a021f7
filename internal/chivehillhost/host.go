// Package chivehillhost assembles an entry host that gets its configuration, the
// servers and the other hosts from the platform's store.
package chivehillhost

import (
	"context"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehilldirectory"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillgateway"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehilllistener"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillquota"
	"github.com/chivehill/chivehill/internal/chivehillrelay"
	"github.com/chivehill/chivehill/internal/chivehillselector"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwatcher"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Resolve returns the addresses of the hosts that a caller should use, and how
// long it may cache them.
type Resolve = func(chivehilldirectory.Query) (addresses []string, ttl chivehillclock.Millis)

// Platform holds what a host needs from the platform that it runs on.
type Platform struct {
	Store   chivehillwatcher.Store
	Decoder chivehillcatalog.Decoder
	Headers chivehillgateway.HeaderCodec
	// Directory returns the handler of requests that ask which hosts to use.
	Directory func(Resolve) http.Handler
	// Ready returns the handler of readiness checks.
	Ready func(ready func() bool) http.Handler
}

const (
	// cleanupInterval is the interval at which unused connections to servers are
	// closed and entries of hosts that stay down are removed.
	cleanupInterval = chivehillclock.Second
	// resolveTTL is the longest time for which callers cache the list of hosts.
	resolveTTL = 2 * chivehillclock.Second
	// settleDelay is how long after the store came back from a copy its writers may take to
	// write again what it has lost. What is missing then is gone.
	settleDelay = 2500 * chivehillclock.Millisecond
	// httpTimeout bounds reading a request to the directory, readiness and metrics
	// servers, and the header of one to the peer server.
	httpTimeout = 5 * time.Second
)

// Host is an entry host of the deployment.
type Host struct {
	settings chivehillwire.GatewaySettings
	self     chivehillcatalog.Host
	platform Platform
	clock    *chivehillclock.Clock
	log      zerolog.Logger
	metrics  *chivehillmetrics.Gateway

	catalog *chivehillcatalog.Catalog
	watcher *chivehillwatcher.Watcher
	relay   *chivehillrelay.Relay
	// watchCtx ends when the host stops watching the store for good.
	watchCtx    context.Context
	cancelWatch context.CancelFunc
	table       *chivehillselector.Table
	pools       *chivehillgateway.Pools
	budget      *chivehillgateway.RetryBudget
	suspects    *chivehillsuspect.Table
	// rollouts is nil in a deployment without roll-outs.
	rollouts *rollouts
	quotas   *chivehillquota.Service
	gateway  *chivehillgateway.Gateway
	front    *chivehillfront.Server
	// plan divides the memory.
	plan chivehillbudget.Plan

	downMu sync.Mutex
	// downSince maps each host that is down to the time when it was first seen down.
	downSince map[chivehillid.HostID]chivehillclock.Millis

	// hostsListed is set once the entries of all hosts have been read. Only the
	// goroutine of keepRegistered uses it.
	hostsListed bool

	shareCache atomic.Pointer[shareCache]
	// liveGeneration counts the changes that may alter the set of live hosts.
	liveGeneration atomic.Uint64
	leaving        atomic.Bool
	// bounds holds the bounds of the settings loaded last.
	bounds atomic.Pointer[chivehillwire.GatewayBounds]
	tasks  conc.WaitGroup
}

// New assembles a host. Run starts it.
func New(s chivehillwire.GatewaySettings, p Platform, log zerolog.Logger) *Host {
	h := &Host{
		settings: s, platform: p, clock: chivehillclock.NewBoot(), log: log, metrics: chivehillmetrics.NewGateway(),
		self: chivehillcatalog.Host{
			ID: s.Host, Incarnation: chivehillid.NewIncarnation(), Region: s.Region, Domain: s.FailureDomain,
			CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress, PeerAddress: s.PeerAddress,
			Capacity: s.ProcessorShare * s.LinkMbps,
		},
	}
	h.bounds.Store(&s.Bounds)
	location := chivehillselector.Location{Domain: s.FailureDomain, Region: s.Region, Regions: s.Domains}
	h.table = chivehillselector.NewTable(location, h.clock, h.share, log)
	if s.Bounds.TrialShare > 0 {
		h.rollouts = newRollouts(h)
		h.table.UseTrials(h.rollouts.stages, s.Bounds.TrialShare)
	}
	h.catalog = chivehillcatalog.New(chivehillcatalog.Options{Decoder: p.Decoder, Log: log, Rollouts: h.rollouts != nil, OnChange: h.onCatalogChange, OnCopied: h.onCopied, OnIgnored: h.countIgnored})
	h.watchCtx, h.cancelWatch = context.WithCancel(context.Background())
	h.watcher = &chivehillwatcher.Watcher{Store: p.Store, Catalog: h.catalog, Clock: h.clock, Metrics: h.metrics, Log: log}
	h.watcher.ConfigurationBound = func() chivehillclock.Millis { return seconds(h.bounds.Load().ConfigurationSeconds) }
	h.suspects = chivehillsuspect.New()
	h.relay = chivehillrelay.New(chivehillrelay.Options{
		Suspects: h.suspects, MarkLeaving: h.table.MarkLeaving, LeavingInstances: h.table.LeavingInstances, Trials: h.rollouts.trials(), Self: h.self, FirstStart: s.FirstStart, Seeds: nonEmpty(s.SeedAddresses), Catalog: h.catalog, Clock: h.clock, Log: log, Contact: h.watcher.LastContact, StoreUnreachable: h.watcher.Unreachable,
		SetWatch: h.setWatching, DownChanged: h.onDownChange,
	})
	h.watcher.OnUpdate, h.watcher.OnOverdue = h.relay.Publish, h.relay.Wake
	h.plan = chivehillbudget.NewPlan(s.MemoryMb)
	descriptors := chivehillbudget.NewDescriptors(descriptors())
	h.pools = chivehillgateway.NewPools(p.Headers, h.plan.Responses)
	h.pools.LimitConnections(descriptors.Servers)
	h.budget = chivehillgateway.NewRetryBudget(s.Bounds.RetryRatio, s.Bounds.RetrySlack, 1)
	h.quotas = h.newQuotas()
	h.gateway = chivehillgateway.New(chivehillgateway.Options{
		Suspects: h.suspects, Self: s.Host, OnKill: h.relay.ReportSuspect, OnLeaving: h.relay.ReportLeaving, Informed: h.relay.Informed, OnAnswer: h.rollouts.onAnswer(), Quota: h.quotas,
		Catalog: h, Table: h.table, Pools: h.pools, Budget: h.budget, Headers: p.Headers, Clock: h.clock, Metrics: h.metrics, Log: log,
	})
	h.front = &chivehillfront.Server{
		Handler: h.gateway, Limits: h.limits, Clock: h.clock, Log: log, BodyMemory: h.plan.Large, SmallMemory: h.plan.Small, ResponseMemory: h.plan.Responses,
		ConnectionMemory: h.plan.Connections, MaxConnections: maxConnections(s, h.plan), Descriptors: descriptors.Callers,
	}
	return h
}

// Reload applies the bounds of new settings. It logs whether anything else has
// changed, which takes effect only after a restart.
func (h *Host) Reload(s chivehillwire.GatewaySettings) {
	h.bounds.Store(&s.Bounds)
	h.budget.SetBounds(s.Bounds.RetryRatio, s.Bounds.RetrySlack)
	h.quotas.BoundsChanged()
	updated, current := s, h.settings
	updated.Bounds = chivehillwire.GatewayBounds{TrialShare: s.Bounds.TrialShare}
	current.Bounds = chivehillwire.GatewayBounds{TrialShare: current.Bounds.TrialShare}
	needsRestart := !reflect.DeepEqual(updated, current)
	h.log.Info().Bool("needs-restart", needsRestart).Msg("host: settings reloaded.")
}

// Run serves requests until ctx ends and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	s := h.settings
	listeners, err := chivehilllistener.Listen(s.CallerAddress, s.ReadyAddress, s.DirectoryAddress, s.MetricsAddress, s.PeerAddress)
	if err != nil {
		return err
	}
	h.logLimits()
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.tasks.Go(func() { h.relay.Run(workCtx) })
	h.tasks.Go(func() { h.quotas.Run(workCtx) })
	h.tasks.Go(func() { h.keepRegistered(workCtx) })
	h.tasks.Go(func() { h.cleanUp(workCtx) })
	if h.rollouts != nil {
		h.tasks.Go(func() { h.rollouts.run(workCtx) })
	}
	h.tasks.Go(func() { h.front.Serve(listeners[0]) })
	peers := &http.Server{Handler: h.peerHandler(), ReadHeaderTimeout: httpTimeout, MaxHeaderBytes: maxOtherHeadBytes}
	httpServers := []*http.Server{
		h.newHTTPServer(h.platform.Ready(func() bool { return h.ready() && h.relay.Informed() })),
		h.newHTTPServer(h.platform.Directory(h.resolve)),
		h.newHTTPServer(h.operatorsHandler()),
		peers,
	}
	for i, e := range httpServers {
		l := listeners[i+1]
		if e != peers {
			l = chivehilllistener.Bound(l, otherConnections())
		}
		h.tasks.Go(func() { chivehilllistener.Serve(e, l, h.log) })
	}
	h.log.Info().Str("incarnation", string(h.self.Incarnation)).Str("domain", string(h.self.Domain)).Msg("host: started.")
	<-ctx.Done()
	h.stop(listeners[0])
	h.cancelWatch()
	cancel()
	for _, e := range httpServers {
		_ = e.Close()
	}
	h.watcher.Wait()
	h.tasks.Wait()
	h.log.Info().Msg("host: stopped.")
	return nil
}

func (h *Host) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: httpTimeout, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, MaxHeaderBytes: maxOtherHeadBytes,
	}
}

// View implements chivehillgateway.CatalogSource.
func (h *Host) View() chivehillcatalog.View { return h.catalog.View() }

// ConfigurationCurrent implements chivehillgateway.CatalogSource. It reports whether the store was
// in contact recently enough for the configuration to count as current.
func (h *Host) ConfigurationCurrent() bool {
	at, hasContact := h.relay.Contact()
	return hasContact && h.clock.Now()-at < seconds(h.bounds.Load().ConfigurationSeconds)+confirmationSlack
}

// confirmationSlack is added to the configuration-seconds bound on the age of the
// last contact with the store.
const confirmationSlack = chivehillclock.Second

func seconds(s float64) chivehillclock.Millis {
	return chivehillclock.Millis(s) * chivehillclock.Second
}

// defaultLimits apply until a configuration with limits is in force.
var defaultLimits = chivehillcatalog.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * chivehillclock.Second, IdleTimeout: 15 * chivehillclock.Second,
}

func (h *Host) limits() chivehillcatalog.Limits {
	configuration := h.catalog.View().Configuration
	limits := configuration.Limits
	if limits.HeaderBytes <= 0 || limits.BodyBytes <= 0 || limits.HeaderTimeout <= 0 || limits.IdleTimeout <= 0 {
		return defaultLimits
	}
	return limits
}

// onCatalogChange applies a change of a collection to the metrics, the server table
// and the retry budget.
func (h *Host) onCatalogChange(c chivehillcatalog.Collection) {
	switch c {
	case chivehillcatalog.Configurations:
		h.metrics.Version.Set(float64(h.catalog.View().Configuration.Version))
		h.table.Sync(h.catalog.View)
		h.checkLimits()
		h.quotas.ConfigurationChanged()
	case chivehillcatalog.Servers, chivehillcatalog.Withdrawals, chivehillcatalog.Rollouts:
		h.table.Sync(h.catalog.View)
	case chivehillcatalog.Hosts:
		h.budget.SetHosts(len(h.catalog.View().Hosts))
		h.liveGeneration.Add(1)
	}
}

func (h *Host) countIgnored(c chivehillcatalog.Collection) {
	h.metrics.RecordsIgnored.WithLabelValues(string(c)).Inc()
}

// onCopied gives up what the store has lost, unless its writers write it again in time.
func (h *Host) onCopied(c chivehillcatalog.Collection, era chivehillcatalog.Era) {
	time.AfterFunc(settleDelay.Duration(), func() { h.relay.Publish(c, h.catalog.Settle(c, era)) })
}

// nonEmpty returns the addresses that are not empty.
func nonEmpty(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == "" })
}

// LogDropped adds to the count of dropped log lines.
func (h *Host) LogDropped(lines int) { h.metrics.LogDropped.Add(float64(lines)) }

// setWatching starts or stops watching the store.
func (h *Host) setWatching(watch bool) {
	h.metrics.Watching.Set(0)
	if watch {
		h.metrics.Watching.Set(1)
	}
	h.watcher.SetWatching(h.watchCtx, watch)
}

// cleanUp closes connections to servers that are gone and idle ones, and removes
// the entries of hosts that stay down, until ctx ends.
func (h *Host) cleanUp(ctx context.Context) {
	chivehillclock.Every(ctx, cleanupInterval, func() {
		h.pools.Prune(h.catalog.View().Servers)
		h.metrics.RateLimited.Set(float64(h.table.RateLimited()))
		leaving, quiet := h.table.Notices()
		h.metrics.Leaving.Set(float64(leaving))
		h.metrics.Quiet.Set(float64(quiet))
		h.recordMemory()
		h.removeDownHosts(ctx)
	})
}
