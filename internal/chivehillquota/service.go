package chivehillquota

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillresponse"
	"github.com/chivehill/chivehill/internal/chivehillwake"
)

// Options holds the dependencies of a Service.
type Options struct {
	Self   chivehillcatalog.Host
	Bounds func() Bounds
	// View returns the configuration and the registered hosts.
	View func() chivehillcatalog.View
	// Live returns the hosts that can be reached, as far as this one knows.
	Live func() []chivehillcatalog.Host
	// Leaving reports whether this host stops: it then commits no share.
	Leaving func() bool
	Clock   *chivehillclock.Clock
	Metrics *Metrics
	Log     zerolog.Logger
}

// Service keeps the quotas of workspaces on a host: it asks an owner for the tokens of
// this host's requests and is itself the owner for the hosts that choose it. It is safe
// for concurrent use.
type Service struct {
	Options

	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	// wake tells the asking goroutine that a request waits.
	wake chivehillwake.Signal
	// joined passes the sessions that were connected for the asking goroutine.
	joined chan dialed

	ownerMu sync.Mutex
	owner   *Owner

	clientMu sync.Mutex
	asker    *Client

	failedMu sync.Mutex
	// failed holds the hosts that did not answer, with the time until which they are not
	// chosen.
	failed map[chivehillid.HostID]failure
}

// failure tells until when a host is not chosen after failures in a row.
type failure struct {
	until chivehillclock.Millis
	delay chivehillclock.Millis
}

const (
	// minFailedDelay and maxFailedDelay limit the time for which a host that failed is not
	// chosen.
	minFailedDelay = chivehillclock.Second
	maxFailedDelay = 8 * chivehillclock.Second
	// tickPeriod is the interval at which the owner's log lines and metrics are brought up
	// to date.
	tickPeriod = 500 * chivehillclock.Millisecond
)

// New returns a service. Run starts it.
func New(o Options) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	now := o.Clock.Now()
	s := &Service{
		Options: o, ctx: ctx, cancel: cancel, wake: chivehillwake.New(), joined: make(chan dialed, 1),
		client: chivehillresponse.NewClient(&http.Transport{DisableKeepAlives: true}),
		owner:  NewOwner(o.Bounds(), now), asker: NewClient(now), failed: make(map[chivehillid.HostID]failure),
	}
	s.ConfigurationChanged()
	return s
}

// Run asks for tokens and exchanges loans until ctx ends. While there are no bounds for
// quotas it asks nobody; they may come with a reload.
func (s *Service) Run(ctx context.Context) {
	s.tasks.Go(func() { s.askLoop(ctx) })
	s.tasks.Go(func() { s.lendLoop(ctx) })
	s.tasks.Go(func() { chivehillclock.Every(ctx, tickPeriod, s.tick) })
	<-ctx.Done()
	s.cancel()
	s.tasks.Wait()
}

// ConfigurationChanged takes the quotas over from the configuration in force.
func (s *Service) ConfigurationChanged() {
	workspaces := s.View().Configuration.Workspaces
	s.ownerMu.Lock()
	defer s.ownerMu.Unlock()
	s.owner.SetWorkspaces(s.Clock.Now(), workspaces)
}

// BoundsChanged takes new bounds over.
func (s *Service) BoundsChanged() {
	s.ownerMu.Lock()
	defer s.ownerMu.Unlock()
	s.owner.SetBounds(s.Clock.Now(), s.Bounds())
}

// active reports whether there are quotas to keep.
func (s *Service) active() bool {
	if !s.Bounds().Enabled() {
		return false
	}
	for _, w := range s.View().Configuration.Workspaces {
		if w.Quota.Limited() {
			return true
		}
	}
	return false
}

// Admit reports whether a request of a workspace may be sent to a server. If not, callers
// should come back after retryAfter. It waits for the owner's answer for MaxWait at most.
func (s *Service) Admit(ctx context.Context, w chivehillcatalog.Workspace) (retryAfter chivehillclock.Millis, ok bool) {
	if !w.Quota.Limited() || !s.Bounds().Enabled() {
		return 0, true
	}
	r := s.admit(ctx, w.ID)
	if !r.OK {
		s.Metrics.Refused.WithLabelValues(string(w.ID)).Inc()
	}
	return r.RetryAfter, r.OK
}

func (s *Service) admit(ctx context.Context, id chivehillid.WorkspaceID) Result {
	result := make(chan Result, 1)
	s.clientMu.Lock()
	waiter, ok := s.asker.Admit(s.Clock.Now(), id, func(r Result) { result <- r })
	low := ok && s.asker.Low(s.Clock.Now(), id)
	s.clientMu.Unlock()
	if !ok || low {
		s.wakeUp()
	}
	if ok {
		return Result{OK: true}
	}
	timer := time.NewTimer(MaxWait.Duration())
	defer timer.Stop()
	select {
	case r := <-result:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	s.clientMu.Lock()
	defer s.clientMu.Unlock()
	s.asker.Abandon(id, waiter)
	select {
	case r := <-result:
		return r
	default:
		return Result{RetryAfter: unansweredRetry}
	}
}

func (s *Service) wakeUp() { s.wake.Wake() }

// tick logs the workspaces that began or ceased to be over their quota.
func (s *Service) tick() {
	s.ownerMu.Lock()
	notices, members := s.owner.Notices(s.Clock.Now()), s.owner.Members()
	s.ownerMu.Unlock()
	s.Metrics.Members.Set(float64(members))
	for _, n := range notices {
		text := "quota: workspace is within its quota again."
		if n.Over {
			text = "quota: workspace is over its quota."
		}
		s.Log.Info().Str("workspace", string(n.Workspace)).Float64("per-second", n.Quota.PerSecond).Float64("burst", n.Quota.Burst).
			Float64("part", n.Share).Float64("asked-per-second", n.Demand).Msg(text)
	}
	s.clientMu.Lock()
	lapsed := s.asker.Lapsed()
	s.clientMu.Unlock()
	s.Metrics.Tokens.WithLabelValues("lapsed").Add(float64(lapsed))
}

// usable reports whether a host has not failed lately.
func (s *Service) usable(id chivehillid.HostID) bool {
	s.failedMu.Lock()
	defer s.failedMu.Unlock()
	return s.Clock.Now() >= s.failed[id].until
}

// recordFailure keeps a host from being chosen for a while.
func (s *Service) recordFailure(id chivehillid.HostID) {
	s.failedMu.Lock()
	defer s.failedMu.Unlock()
	delay := min(maxFailedDelay, max(minFailedDelay, 2*s.failed[id].delay))
	s.failed[id] = failure{until: s.Clock.Now() + delay, delay: delay}
}

// recordAnswer forgets the failures of a host.
func (s *Service) recordAnswer(id chivehillid.HostID) {
	s.failedMu.Lock()
	defer s.failedMu.Unlock()
	delete(s.failed, id)
}
