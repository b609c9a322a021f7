package chivehillwatcher

import (
	"context"
	"errors"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// errWatchRenewed ends a watch that is opened again from the same revision. Its connection
// may have gone silent.
var errWatchRenewed = errors.New("watch renewed")

// waitingWatch is a watch that waits for the store's answer.
type waitingWatch struct {
	cancel context.CancelCauseFunc
	since  chivehillclock.Millis
}

// renewAfter is how long a watch may wait without an answer while the store is known to have
// moved on. Servers have the tightest bound; the others change seldom, and each renewal is a
// call. The watch of the configuration ends by itself.
var renewAfter = map[chivehillcatalog.Collection]chivehillclock.Millis{
	chivehillcatalog.Servers:     1 * chivehillclock.Second,
	chivehillcatalog.Withdrawals: 2 * chivehillclock.Second,
	chivehillcatalog.Rollouts:    2 * chivehillclock.Second,
	chivehillcatalog.Hosts:       4 * chivehillclock.Second,
}

// watch waits for changes of a collection. It returns errWatchRenewed if the watch has to be
// opened again.
func (w *Watcher) watch(ctx context.Context, c chivehillcatalog.Collection, since chivehillcatalog.Revision, wait chivehillclock.Millis) (chivehillcatalog.Update, error) {
	ctx, stopTimer := context.WithTimeout(ctx, (wait + watchSlack).Duration())
	defer stopTimer()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.setWaiting(c, waitingWatch{cancel: cancel, since: w.Clock.Now()})
	defer w.clearWaiting(c)
	update, err := w.Store.Watch(ctx, c, since, wait)
	if err != nil && errors.Is(context.Cause(ctx), errWatchRenewed) {
		return update, errWatchRenewed
	}
	return update, err
}

func (w *Watcher) setWaiting(c chivehillcatalog.Collection, e waitingWatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watches == nil {
		w.watches = make(map[chivehillcatalog.Collection]waitingWatch)
		w.renewedAt = make(map[chivehillcatalog.Collection]chivehillcatalog.Revision)
	}
	w.watches[c] = e
}

func (w *Watcher) clearWaiting(c chivehillcatalog.Collection) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watches, c)
}

// renewBehind renews the watches of the collections that are not known up to a revision at
// which the store answered for another one, and whose watches have been silent for renewAfter.
// An answer of the store for one collection shows nothing of the connections of the others.
func (w *Watcher) renewBehind(answered chivehillcatalog.Collection, revision chivehillcatalog.Revision) {
	now := w.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, e := range w.watches {
		limit, renewable := renewAfter[c]
		if c == answered || !renewable || now-e.since < limit || revision <= max(w.Catalog.AsOf(c), w.renewedAt[c]) {
			continue
		}
		w.renewedAt[c] = revision
		e.cancel(errWatchRenewed)
	}
}

// renewOthers renews the watches of all other collections: the store has dropped the history
// of this one.
func (w *Watcher) renewOthers(c chivehillcatalog.Collection) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, e := range w.watches {
		if other != c {
			e.cancel(errWatchRenewed)
		}
	}
}
