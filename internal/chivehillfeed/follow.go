package chivehillfeed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
)

const (
	// listTimeout bounds the wait for each page of a list.
	listTimeout = 2 * chivehillclock.Second
	// configurationWatchWait is how long the store may hold a watch of the
	// configuration. It is short because the end of the watch shows that the store
	// still answers.
	configurationWatchWait = 1500 * chivehillclock.Millisecond
	// watchWait is how long the store may hold the other watches.
	watchWait = 20 * chivehillclock.Second
	// watchSlack is how much longer than the requested wait a watch may take before
	// it is cancelled.
	watchSlack = 800 * chivehillclock.Millisecond
	// coalesceDelay is the delay after changes of servers or hosts, so that further
	// changes arrive together with one call.
	coalesceDelay = 150 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before a failed call is retried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxConfigurationBackoff replaces maxBackoff for the configuration, whose
	// retries detect for all collections that the store answers again.
	maxConfigurationBackoff = 500 * time.Millisecond
)

// Follower keeps a catalog in sync with the store, with one list-and-watch loop
// for each collection. It is safe for concurrent use.
type Follower struct {
	Store   Store
	Catalog *chivehillcatalog.Catalog
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Gateway
	Log     zerolog.Logger
	// Fresh is called with the changes of each update that took effect, in order
	// within a collection.
	Fresh func(chivehillcatalog.Collection, chivehillcatalog.Update)

	runMu sync.Mutex
	// cancelRun ends the running loops. It is nil if there are none.
	cancelRun context.CancelFunc
	tasks     conc.WaitGroup

	mu sync.Mutex
	// contactAt is the time of the store's last answer.
	contactAt chivehillclock.Millis
	contacted bool
	// unreachable is set from the first failed call until the store answers again.
	unreachable      bool
	unreachableSince chivehillclock.Millis
	// reachable is closed when the store answers again.
	reachable chan struct{}
	// listsInFlight is the number of lists in progress. listProgressAt is when a
	// page of any of them last arrived, or when the first of them started.
	listsInFlight  int
	listProgressAt chivehillclock.Millis
	// cancelWatch cancels the current watch of each collection, for use when the
	// connections seem to be dead.
	cancelWatch map[chivehillcatalog.Collection]context.CancelFunc
}

// Run lists and watches all collections until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for _, c := range chivehillcatalog.Collections {
		tasks.Go(func() { f.follow(ctx, c) })
	}
	tasks.Wait()
}

// Watch starts or stops Run in the background. Loops that run already are
// cancelled first.
func (f *Follower) Watch(ctx context.Context, watch bool) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	if f.cancelRun != nil {
		f.cancelRun()
		f.cancelRun = nil
	}
	f.mu.Lock()
	f.markReachable()
	f.mu.Unlock()
	if !watch {
		return
	}
	ctx, f.cancelRun = context.WithCancel(ctx)
	f.tasks.Go(func() { f.Run(ctx) })
}

// Wait waits until all background loops have ended.
func (f *Follower) Wait() { f.tasks.Wait() }

// Contact returns the time of the store's last answer, and whether there was one.
func (f *Follower) Contact() (at chivehillclock.Millis, ever bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contactAt, f.contacted
}

const (
	// unreachableAfter is how long calls must fail before the store counts as
	// unreachable.
	unreachableAfter = 250 * chivehillclock.Millisecond
	// listStalledAfter is how long a page of a list may take before the store counts
	// as unreachable.
	listStalledAfter = 700 * chivehillclock.Millisecond
)

// Lost reports whether the store is unreachable: calls have failed for longer than
// unreachableAfter, or the lists in progress have stalled for longer than
// listStalledAfter.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	return f.unreachable && now-f.unreachableSince > unreachableAfter || f.listsInFlight > 0 && now-f.listProgressAt > listStalledAfter
}

// addListsInFlight adds to the number of lists in progress.
func (f *Follower) addListsInFlight(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listsInFlight == 0 {
		f.listProgressAt = f.Clock.Now()
	}
	f.listsInFlight += delta
}

// recordListProgress records that a page of a list arrived.
func (f *Follower) recordListProgress(c chivehillcatalog.Collection) {
	f.recordContact(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listProgressAt = f.Clock.Now()
}

// follow lists and watches a collection until ctx ends, and retries with backoff.
func (f *Follower) follow(ctx context.Context, c chivehillcatalog.Collection) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	if c == chivehillcatalog.Configurations {
		retry.MaxInterval = maxConfigurationBackoff
	}
	list := true
	for ctx.Err() == nil {
		err := f.listOrWatch(ctx, c, list)
		switch {
		case err == nil:
			list = false
			retry.Reset()
			continue
		case errors.Is(err, ErrHistoryGone):
			list = true
			f.Log.Info().Str("collection", string(c)).Msg("feed: watch history is no longer available; listing again.")
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			// recordFailure cancelled the watch because the store seems to answer on no
			// connection.
			list = true
		}
		f.recordFailure(c, err)
		f.waitToRetry(ctx, retry.NextBackOff())
	}
}

// waitToRetry waits for d, but no longer than until the store answers again.
func (f *Follower) waitToRetry(ctx context.Context, d time.Duration) {
	f.mu.Lock()
	reachable := f.reachable
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-reachable:
	case <-time.After(d):
	}
}

// listOrWatch lists or watches a collection once.
func (f *Follower) listOrWatch(ctx context.Context, c chivehillcatalog.Collection, list bool) error {
	since := f.Catalog.AsOf(c)
	if list || since == 0 {
		return f.list(ctx, c)
	}
	wait := watchWait
	if c == chivehillcatalog.Configurations {
		wait = configurationWatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + watchSlack).Duration())
	defer cancel()
	f.setCancelWatch(c, cancel)
	update, err := f.Store.Watch(ctx, c, since, wait)
	f.countCall("watch", err)
	if err != nil {
		return err
	}
	f.recordContact(c)
	f.apply(c, update)
	if len(update.Records) > 0 && c != chivehillcatalog.Configurations && c != chivehillcatalog.Withdrawals {
		time.Sleep(coalesceDelay)
	}
	return nil
}

func (f *Follower) list(ctx context.Context, c chivehillcatalog.Collection) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(listTimeout.Duration(), cancel)
	defer timer.Stop()
	f.addListsInFlight(1)
	update, err := f.Store.List(ctx, c, func() {
		timer.Reset(listTimeout.Duration())
		f.recordListProgress(c)
	})
	f.addListsInFlight(-1)
	f.countCall("list", err)
	if err != nil {
		return err
	}
	f.recordContact(c)
	f.apply(c, update)
	return nil
}

func (f *Follower) apply(c chivehillcatalog.Collection, u chivehillcatalog.Update) {
	delta := f.Catalog.Apply(c, u)
	if f.Fresh != nil {
		f.Fresh(c, delta)
	}
}

func (f *Follower) countCall(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	f.Metrics.StoreCalls.WithLabelValues(operation, result).Inc()
}

func (f *Follower) setCancelWatch(c chivehillcatalog.Collection, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch == nil {
		f.cancelWatch = make(map[chivehillcatalog.Collection]context.CancelFunc)
	}
	f.cancelWatch[c] = cancel
}

// recordContact records that the store answered a call.
func (f *Follower) recordContact(c chivehillcatalog.Collection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = f.Clock.Now()
	f.contacted = true
	if f.markReachable() {
		f.Log.Info().Str("peer", "store").Str("collection", string(c)).Msg("feed: store reachable again.")
	}
}

// markReachable ends the retry delays of failed calls and reports whether the
// store was unreachable. The caller holds f.mu.
func (f *Follower) markReachable() bool {
	if !f.unreachable {
		return false
	}
	f.unreachable = false
	close(f.reachable)
	f.reachable = make(chan struct{})
	return true
}

// recordFailure records that a call failed. A failed call of the configuration
// also cancels the other watches: on a live connection its watch is sure to end
// soon, so their connections may be dead as well.
func (f *Follower) recordFailure(c chivehillcatalog.Collection, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unreachable {
		f.unreachable, f.unreachableSince = true, f.Clock.Now()
		if f.reachable == nil {
			f.reachable = make(chan struct{})
		}
		f.Log.Warn().Str("peer", "store").Str("collection", string(c)).Float64("contact-age-ms", float64(f.Clock.Now()-f.contactAt)).
			Err(err).Msg("feed: store unreachable.")
	}
	if c != chivehillcatalog.Configurations {
		return
	}
	for other, cancel := range f.cancelWatch {
		if other != c {
			cancel()
		}
	}
}
