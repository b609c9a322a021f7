package chivehillwatcher

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
	// configurationWatchWait is the longest time for which the store may hold a watch of the
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

// Watcher keeps a catalog in sync with the store, with one list-and-watch loop
// for each collection. It is safe for concurrent use.
type Watcher struct {
	Store   Store
	Catalog *chivehillcatalog.Catalog
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Gateway
	Log     zerolog.Logger
	// ConfigurationBound returns the time within which all hosts have to know a configuration.
	// It may be nil.
	ConfigurationBound func() chivehillclock.Millis
	// OnUpdate is called with the changes of each update that took effect, in order
	// within a collection.
	OnUpdate func(chivehillcatalog.Collection, chivehillcatalog.Update)
	// OnOverdue is called when Unreachable may have changed because an answer of the store is
	// late. It may be nil.
	OnOverdue func()

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
	// watches holds the watch of each collection that waits for the store's answer.
	watches map[chivehillcatalog.Collection]waitingWatch
	// renewedAt is the revision for which the watch of each collection was last renewed.
	renewedAt map[chivehillcatalog.Collection]chivehillcatalog.Revision
	// era is the highest era in an answer of the store.
	era chivehillcatalog.Era
	due dueAnswer
}

// Run lists and watches all collections until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for _, c := range w.Catalog.Collections() {
		tasks.Go(func() { w.follow(ctx, c) })
	}
	tasks.Wait()
}

// SetWatching starts or stops Run in the background. Loops that run already are
// cancelled first.
func (w *Watcher) SetWatching(ctx context.Context, watch bool) {
	w.runMu.Lock()
	defer w.runMu.Unlock()
	if w.cancelRun != nil {
		w.cancelRun()
		w.cancelRun = nil
	}
	w.mu.Lock()
	w.markReachable()
	w.clearDue()
	w.mu.Unlock()
	if !watch {
		return
	}
	ctx, w.cancelRun = context.WithCancel(ctx)
	w.tasks.Go(func() { w.Run(ctx) })
}

// Wait waits until all background loops have ended.
func (w *Watcher) Wait() { w.tasks.Wait() }

// LastContact returns the time of the store's last answer, and whether there was one.
func (w *Watcher) LastContact() (at chivehillclock.Millis, hasContact bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.contactAt, w.contacted
}

const (
	// unreachableAfter is how long calls must fail before the store counts as
	// unreachable.
	unreachableAfter = 250 * chivehillclock.Millisecond
	// listStalledAfter is how long a page of a list may take before the store counts
	// as unreachable.
	listStalledAfter = 700 * chivehillclock.Millisecond
)

// Unreachable reports whether the store is unreachable: its answer about the configuration is
// late for the answer time, calls have failed for longer than unreachableAfter, or the lists in
// progress have stalled for longer than listStalledAfter.
func (w *Watcher) Unreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	return w.overdue(now) || w.unreachable && now-w.unreachableSince > unreachableAfter || w.listsInFlight > 0 && now-w.listProgressAt > listStalledAfter
}

// addListsInFlight adds to the number of lists in progress.
func (w *Watcher) addListsInFlight(delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listsInFlight == 0 {
		w.listProgressAt = w.Clock.Now()
	}
	w.listsInFlight += delta
}

// recordListProgress records that a page of a list arrived.
func (w *Watcher) recordListProgress(c chivehillcatalog.Collection) {
	w.recordContact(c)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listProgressAt = w.Clock.Now()
}

// follow lists and watches a collection until ctx ends, and retries with backoff.
func (w *Watcher) follow(ctx context.Context, c chivehillcatalog.Collection) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	if c == chivehillcatalog.Configurations {
		retry.MaxInterval = maxConfigurationBackoff
	}
	list := true
	// relisted is set from a list that replaced a history until a watch succeeds.
	relisted := false
	for ctx.Err() == nil {
		err := w.listOrWatch(ctx, c, list)
		switch {
		case err == nil:
			relisted = relisted && list
			list = false
			if !relisted {
				retry.Reset()
			}
			continue
		case errors.Is(err, ErrHistoryGone):
			w.Log.Info().Str("collection", string(c)).Msg("watcher: watch history is no longer available; listing again.")
			w.renewOthers(c)
			if relisted {
				w.waitToRetry(ctx, retry.NextBackOff())
			}
			list, relisted = true, true
			continue
		case errors.Is(err, errWatchRenewed):
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			// Either a list got no page within listTimeout, or recordFailure cancelled this
			// watch because its connection may be dead.
			list = true
		}
		w.recordFailure(c, err)
		w.waitToRetry(ctx, retry.NextBackOff())
	}
}

// waitToRetry waits for d, but no longer than until the store answers again.
func (w *Watcher) waitToRetry(ctx context.Context, d time.Duration) {
	w.mu.Lock()
	reachable := w.reachable
	w.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-reachable:
	case <-time.After(d):
	}
}

// listOrWatch lists or watches a collection once.
func (w *Watcher) listOrWatch(ctx context.Context, c chivehillcatalog.Collection, list bool) error {
	since := w.Catalog.AsOf(c)
	list = list || since == 0
	if c != chivehillcatalog.Configurations {
		return w.call(ctx, c, list, since, watchWait)
	}
	wait, due := w.configurationWait(), w.Clock.Now()
	if !list {
		due += wait
	}
	w.expectAnswer(due)
	err := w.call(ctx, c, list, since, wait)
	w.recordAnswer(err)
	return err
}

// call lists a collection, or watches it from a revision for up to wait.
func (w *Watcher) call(ctx context.Context, c chivehillcatalog.Collection, list bool, since chivehillcatalog.Revision, wait chivehillclock.Millis) error {
	if list {
		return w.list(ctx, c)
	}
	update, err := w.watch(ctx, c, since, wait)
	w.countCall("watch", err)
	if err != nil {
		return err
	}
	w.recordContact(c)
	w.apply(c, update)
	w.renewBehind(c, update.AsOf)
	if len(update.Records) > 0 && (c == chivehillcatalog.Servers || c == chivehillcatalog.Hosts) {
		time.Sleep(coalesceDelay)
	}
	return nil
}

func (w *Watcher) list(ctx context.Context, c chivehillcatalog.Collection) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(listTimeout.Duration(), cancel)
	defer timer.Stop()
	w.addListsInFlight(1)
	update, err := w.Store.List(ctx, c, func() {
		timer.Reset(listTimeout.Duration())
		w.recordListProgress(c)
	})
	w.addListsInFlight(-1)
	w.countCall("list", err)
	if err != nil {
		return err
	}
	w.recordContact(c)
	w.apply(c, update)
	w.renewBehind(c, update.AsOf)
	return nil
}

func (w *Watcher) apply(c chivehillcatalog.Collection, u chivehillcatalog.Update) {
	w.recordEra(c, u)
	delta := w.Catalog.Apply(c, u)
	if w.OnUpdate != nil {
		w.OnUpdate(c, delta)
	}
}

// recordEra logs when the store's era changes.
func (w *Watcher) recordEra(c chivehillcatalog.Collection, u chivehillcatalog.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	era := u.AsOf.Era()
	if era <= w.era {
		return
	}
	w.Log.Info().Str("collection", string(c)).Uint64("era", uint64(era)).Uint64("as-of", u.AsOf.Number()).
		Uint64("held-as-of", w.Catalog.AsOf(c).Number()).Msg("watcher: store is in a new era.")
	w.era = era
}

func (w *Watcher) countCall(operation string, err error) {
	result := "ok"
	switch {
	case errors.Is(err, errWatchRenewed):
		result = "renewed"
	case err != nil:
		result = "failed"
	}
	w.Metrics.StoreCalls.WithLabelValues(operation, result).Inc()
}

// recordContact records that the store answered a call.
func (w *Watcher) recordContact(c chivehillcatalog.Collection) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.contactAt = w.Clock.Now()
	w.contacted = true
	if w.markReachable() {
		w.Log.Info().Str("peer", "store").Str("collection", string(c)).Msg("watcher: store reachable again.")
	}
}

// markReachable ends the retry delays of failed calls and reports whether the
// store was unreachable. The caller holds w.mu.
func (w *Watcher) markReachable() bool {
	if !w.unreachable {
		return false
	}
	w.unreachable = false
	close(w.reachable)
	w.reachable = make(chan struct{})
	return true
}

// recordFailure records that a call failed. A failed call of the configuration
// also cancels the other watches: on a live connection its watch is sure to end
// soon, so their connections may be dead as well.
func (w *Watcher) recordFailure(c chivehillcatalog.Collection, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.unreachable {
		w.unreachable, w.unreachableSince = true, w.Clock.Now()
		if w.reachable == nil {
			w.reachable = make(chan struct{})
		}
		w.Log.Warn().Str("peer", "store").Str("collection", string(c)).Float64("contact-age-ms", float64(w.Clock.Now()-w.contactAt)).
			Err(err).Msg("watcher: store unreachable.")
	}
	if c != chivehillcatalog.Configurations {
		return
	}
	for other, e := range w.watches {
		if other != c {
			e.cancel(nil)
		}
	}
}
