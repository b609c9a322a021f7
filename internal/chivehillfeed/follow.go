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
	// listTimeout bounds each part of a list.
	listTimeout = 2 * chivehillclock.Second
	// confirmWait is how long a watch of the configuration waits. Its end shows
	// that the store still answers.
	confirmWait = 1500 * chivehillclock.Millisecond
	// longWait is how long the other watches wait.
	longWait = 20 * chivehillclock.Second
	// answerSlack is how much longer than asked a watch may take.
	answerSlack = 800 * chivehillclock.Millisecond
	// gatherTime is the pause after news of servers or hosts: what changes
	// meanwhile comes with one call.
	gatherTime = 150 * time.Millisecond
	// minPause and maxPause bound the pause after a failed call.
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
	// maxConfirmPause is the same for the configuration, which tries for all.
	maxConfirmPause = 500 * time.Millisecond
)

// Follower follows the store with a watch for each collection. It is safe for
// concurrent use.
type Follower struct {
	Store   Store
	Catalog *chivehillcatalog.Catalog
	Clock   *chivehillclock.Clock
	Metrics *chivehillmetrics.Gateway
	Log     zerolog.Logger
	// Fresh is called with what was new in an update, in order within a collection.
	Fresh func(chivehillcatalog.Collection, chivehillcatalog.Update)

	runMu sync.Mutex
	// stop ends the watches that run, nil if there are none.
	stop  context.CancelFunc
	tasks conc.WaitGroup

	mu sync.Mutex
	// contactAt is when the store answered last.
	contactAt chivehillclock.Millis
	contacted bool
	lost      bool
	lostAt    chivehillclock.Millis
	// regained is closed when the store answers again.
	regained chan struct{}
	// listing is the number of lists under way. listingAt is when a part of one
	// arrived last, or the first began.
	listing   int
	listingAt chivehillclock.Millis
	// restart ends the watches that wait, since the connections seem to be mute.
	restart map[chivehillcatalog.Collection]context.CancelFunc
}

// Run follows all collections until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for _, c := range chivehillcatalog.Collections {
		tasks.Go(func() { f.follow(ctx, c) })
	}
	tasks.Wait()
}

// Watch begins or ceases to follow the store in the background.
func (f *Follower) Watch(ctx context.Context, watch bool) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
	f.mu.Lock()
	f.clearLost()
	f.mu.Unlock()
	if !watch {
		return
	}
	ctx, f.stop = context.WithCancel(ctx)
	f.tasks.Go(func() { f.Run(ctx) })
}

// Wait waits until nothing follows the store any more.
func (f *Follower) Wait() { f.tasks.Wait() }

// Contact returns when the store answered last.
func (f *Follower) Contact() (at chivehillclock.Millis, ever bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contactAt, f.contacted
}

const (
	// lostTime is how long calls have to fail until the store counts as lost.
	lostTime = 250 * chivehillclock.Millisecond
	// muteTime is how long a part of a list may take until the store counts as lost.
	muteTime = 700 * chivehillclock.Millisecond
)

// Lost reports whether the store has not answered for a while.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	return f.lost && now-f.lostAt > lostTime || f.listing > 0 && now-f.listingAt > muteTime
}

// countListing counts the lists under way.
func (f *Follower) countListing(by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listing == 0 {
		f.listingAt = f.Clock.Now()
	}
	f.listing += by
}

// progressed records that a part of a list arrived.
func (f *Follower) progressed(c chivehillcatalog.Collection) {
	f.answered(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listingAt = f.Clock.Now()
}

func (f *Follower) follow(ctx context.Context, c chivehillcatalog.Collection) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minPause, maxPause
	if c == chivehillcatalog.Configurations {
		pause.MaxInterval = maxConfirmPause
	}
	list := true
	for ctx.Err() == nil {
		err := f.step(ctx, c, list)
		switch {
		case err == nil:
			list = false
			pause.Reset()
			continue
		case errors.Is(err, ErrHistoryGone):
			list = true
			f.Log.Info().Str("collection", string(c)).Msg("feed: history is gone, listing anew.")
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			// The watch was ended because the store answers on no connection.
			list = true
		}
		f.failed(c, err)
		f.rest(ctx, pause.NextBackOff())
	}
}

// rest waits for a while, or until the store is regained.
func (f *Follower) rest(ctx context.Context, d time.Duration) {
	f.mu.Lock()
	regained := f.regained
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-regained:
	case <-time.After(d):
	}
}

// step lists or watches once.
func (f *Follower) step(ctx context.Context, c chivehillcatalog.Collection, list bool) error {
	since := f.Catalog.AsOf(c)
	if list || since == 0 {
		return f.list(ctx, c)
	}
	wait := longWait
	if c == chivehillcatalog.Configurations {
		wait = confirmWait
	}
	ctx, cancel := context.WithTimeout(ctx, (wait + answerSlack).Duration())
	defer cancel()
	f.setRestart(c, cancel)
	update, err := f.Store.Watch(ctx, c, since, wait)
	f.count("watch", err)
	if err != nil {
		return err
	}
	f.answered(c)
	f.apply(c, update)
	if len(update.Records) > 0 && c != chivehillcatalog.Configurations && c != chivehillcatalog.Withdrawals {
		time.Sleep(gatherTime)
	}
	return nil
}

func (f *Follower) list(ctx context.Context, c chivehillcatalog.Collection) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(listTimeout.Duration(), cancel)
	defer timer.Stop()
	f.countListing(1)
	update, err := f.Store.List(ctx, c, func() {
		timer.Reset(listTimeout.Duration())
		f.progressed(c)
	})
	f.countListing(-1)
	f.count("list", err)
	if err != nil {
		return err
	}
	f.answered(c)
	f.apply(c, update)
	return nil
}

func (f *Follower) apply(c chivehillcatalog.Collection, u chivehillcatalog.Update) {
	fresh := f.Catalog.Apply(c, u)
	if f.Fresh != nil {
		f.Fresh(c, fresh)
	}
}

func (f *Follower) count(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	f.Metrics.StoreCalls.WithLabelValues(operation, result).Inc()
}

func (f *Follower) setRestart(c chivehillcatalog.Collection, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restart == nil {
		f.restart = make(map[chivehillcatalog.Collection]context.CancelFunc)
	}
	f.restart[c] = cancel
}

// answered records that the store answered a call.
func (f *Follower) answered(c chivehillcatalog.Collection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = f.Clock.Now()
	f.contacted = true
	if f.clearLost() {
		f.Log.Info().Str("peer", "store").Str("collection", string(c)).Msg("feed: store regained.")
	}
}

// clearLost ends the pauses of failed calls and reports whether the store was
// lost. The caller holds f.mu.
func (f *Follower) clearLost() bool {
	if !f.lost {
		return false
	}
	f.lost = false
	close(f.regained)
	f.regained = make(chan struct{})
	return true
}

// failed records that a call failed. If the watch that is sure to end did not,
// the other watches are begun anew: their connections may be mute as well.
func (f *Follower) failed(c chivehillcatalog.Collection, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lost, f.lostAt = true, f.Clock.Now()
		if f.regained == nil {
			f.regained = make(chan struct{})
		}
		f.Log.Warn().Str("peer", "store").Str("collection", string(c)).Float64("contact-age-ms", float64(f.Clock.Now()-f.contactAt)).
			Err(err).Msg("feed: store lost.")
	}
	if c != chivehillcatalog.Configurations {
		return
	}
	for other, cancel := range f.restart {
		if other != c {
			cancel()
		}
	}
}
