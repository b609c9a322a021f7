// Package chivehillhost assembles a host that takes its configuration, its
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

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehilldirectory"
	"github.com/chivehill/chivehill/internal/chivehillfeed"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillgateway"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehilllistener"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillplace"
	"github.com/chivehill/chivehill/internal/chivehillrelay"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Resolve names the hosts that a caller should use.
type Resolve = func(chivehilldirectory.Query) (addresses []string, keep chivehillclock.Millis)

// Platform is what the host needs of the platform it runs on.
type Platform struct {
	Store   chivehillfeed.Store
	Decoder chivehillcatalog.Decoder
	Dialect chivehillgateway.Dialect
	// Directory returns the handler of callers that ask which hosts to use.
	Directory func(Resolve) http.Handler
	// Ready returns the handler that tells readiness.
	Ready func(ready func() bool) http.Handler
}

const (
	// sweepPeriod is the time between two looks for connections to close.
	sweepPeriod = chivehillclock.Second
	// keepAnswer is the time for which callers keep the list of hosts.
	keepAnswer = 2 * chivehillclock.Second
	// bufferedPart is the part of the memory that request bodies may take.
	bufferedPart = 0.25
	bytesPerMB   = 1 << 20
	// serviceTimeout bounds calls of the directory, of readiness and of metrics.
	serviceTimeout = 5 * time.Second
)

// Host is one host.
type Host struct {
	settings chivehillwire.GatewaySettings
	self     chivehillcatalog.Host
	platform Platform
	clock    *chivehillclock.Clock
	log      zerolog.Logger
	metrics  *chivehillmetrics.Gateway

	catalog  *chivehillcatalog.Catalog
	follower *chivehillfeed.Follower
	relay    *chivehillrelay.Relay
	// watchCtx ends when the host ceases to follow the store for good.
	watchCtx context.Context
	unwatch  context.CancelFunc
	table    *chivehillplace.Table
	servers  *chivehillgateway.Servers
	budget   *chivehillgateway.RetryBudget
	suspects *chivehillsuspect.Table
	front    *chivehillfront.Server

	downMu sync.Mutex
	// downSince is since when each host is out of reach.
	downSince map[chivehillid.HostID]chivehillclock.Millis

	// looked is set once the entries of all hosts were read. Only keepRegistered uses it.
	looked bool

	duties atomic.Pointer[duties]
	// hostsChanged counts the changes of the live hosts.
	hostsChanged atomic.Uint64
	leaving      atomic.Bool
	// bounds are those of the newest settings.
	bounds atomic.Pointer[chivehillwire.GatewayBounds]
	tasks  conc.WaitGroup
}

// New assembles a host. Run runs it.
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
	place := chivehillplace.Place{Domain: s.FailureDomain, Region: s.Region, Regions: s.Domains}
	h.table = chivehillplace.NewTable(place, h.clock, h.responsible, log)
	h.catalog = chivehillcatalog.New(chivehillcatalog.Options{Decoder: p.Decoder, Log: log, Changed: h.changed})
	h.watchCtx, h.unwatch = context.WithCancel(context.Background())
	h.follower = &chivehillfeed.Follower{Store: p.Store, Catalog: h.catalog, Clock: h.clock, Metrics: h.metrics, Log: log}
	h.suspects = chivehillsuspect.New()
	h.relay = chivehillrelay.New(chivehillrelay.Options{
		Suspects: h.suspects, Self: h.self, FirstStart: s.FirstStart, Seeds: seeds(s.SeedAddresses), Catalog: h.catalog, Clock: h.clock, Log: log, Contact: h.follower.Contact, Lost: h.follower.Lost,
		Watch: h.watch, Changed: h.downChanged,
	})
	h.follower.Fresh = h.relay.Publish
	h.servers = chivehillgateway.NewServers(p.Dialect)
	h.budget = chivehillgateway.NewRetryBudget(s.Bounds.RetryRatio, s.Bounds.RetrySlack, 1)
	gateway := chivehillgateway.New(chivehillgateway.Options{
		Suspects: h.suspects, Self: s.Host, Suspected: h.relay.Suspect,
		Beliefs: h, Table: h.table, Servers: h.servers, Budget: h.budget, Dialect: p.Dialect, Clock: h.clock, Metrics: h.metrics, Log: log,
	})
	h.front = &chivehillfront.Server{
		Handler: gateway, Limits: h.limits, Clock: h.clock, Log: log, MaxBuffered: int64(s.MemoryMb * bytesPerMB * bufferedPart),
	}
	return h
}

// Reload puts the bounds of new settings in force. What else has changed needs a
// restart and is logged.
func (h *Host) Reload(s chivehillwire.GatewaySettings) {
	h.bounds.Store(&s.Bounds)
	h.budget.SetBounds(s.Bounds.RetryRatio, s.Bounds.RetrySlack)
	rest, old := s, h.settings
	rest.Bounds, old.Bounds = chivehillwire.GatewayBounds{}, chivehillwire.GatewayBounds{}
	needsRestart := !reflect.DeepEqual(rest, old)
	h.log.Info().Bool("needs-restart", needsRestart).Msg("host: settings reloaded.")
}

// Run serves until ctx ends and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	s := h.settings
	listeners, err := chivehilllistener.Open(s.CallerAddress, s.ReadyAddress, s.DirectoryAddress, s.MetricsAddress, s.PeerAddress)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.tasks.Go(func() { h.relay.Run(work) })
	h.tasks.Go(func() { h.keepRegistered(work) })
	h.tasks.Go(func() { h.sweep(work) })
	h.tasks.Go(func() { h.front.Serve(listeners[0]) })
	services := []*http.Server{
		h.service(h.platform.Ready(h.ready)),
		h.service(h.platform.Directory(h.resolve)),
		h.service(promhttp.HandlerFor(h.metrics.Registry, promhttp.HandlerOpts{})),
		{Handler: h.relay, ReadHeaderTimeout: serviceTimeout},
	}
	for i, e := range services {
		h.tasks.Go(func() { chivehilllistener.Serve(e, listeners[i+1], h.log) })
	}
	h.log.Info().Str("incarnation", string(h.self.Incarnation)).Str("domain", string(h.self.Domain)).Msg("host: started.")
	<-ctx.Done()
	h.stop(listeners[0])
	h.unwatch()
	cancel()
	for _, e := range services {
		_ = e.Close()
	}
	h.follower.Wait()
	h.tasks.Wait()
	h.log.Info().Msg("host: stopped.")
	return nil
}

func (h *Host) service(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: serviceTimeout, ReadTimeout: serviceTimeout}
}

// View implements chivehillgateway.Beliefs.
func (h *Host) View() chivehillcatalog.View { return h.catalog.View() }

// Confirmed implements chivehillgateway.Beliefs.
func (h *Host) Confirmed() bool {
	at, ever := h.relay.Contact()
	return ever && h.clock.Now()-at < seconds(h.bounds.Load().ConfigurationSeconds)+confirmSlack
}

// confirmSlack is how much older than the bound a confirmed configuration may be.
const confirmSlack = chivehillclock.Second

func seconds(s float64) chivehillclock.Millis {
	return chivehillclock.Millis(s) * chivehillclock.Second
}

// defaultLimits hold while no configuration is known.
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

// changed puts what is new in the catalog in force.
func (h *Host) changed(c chivehillcatalog.Collection) {
	switch c {
	case chivehillcatalog.Configurations:
		h.metrics.Version.Set(float64(h.catalog.View().Configuration.Version))
		h.table.Sync(h.catalog.View)
	case chivehillcatalog.Servers, chivehillcatalog.Withdrawals:
		h.table.Sync(h.catalog.View)
	case chivehillcatalog.Hosts:
		h.budget.SetHosts(len(h.catalog.View().Hosts))
		h.hostsChanged.Add(1)
	}
}

// seeds returns the addresses that are not empty.
func seeds(addresses []string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == "" })
}

// LogDropped counts log lines that were dropped.
func (h *Host) LogDropped(lines int) { h.metrics.LogDropped.Add(float64(lines)) }

// watch begins or ceases to watch the store.
func (h *Host) watch(watch bool) {
	h.metrics.Watching.Set(0)
	if watch {
		h.metrics.Watching.Set(1)
	}
	h.follower.Watch(h.watchCtx, watch)
}

func (h *Host) sweep(ctx context.Context) {
	chivehillclock.Every(ctx, sweepPeriod, func() {
		h.servers.Keep(h.catalog.View().Servers)
		h.forget(ctx)
	})
}
