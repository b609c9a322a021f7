package chivehillwatcher

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
)

// TestMuteWatchOfTheConfigurationOutlastsTheBound guards against a watch that the store never
// answers and that ends after the bound on configurations.
func TestMuteWatchOfTheConfigurationOutlastsTheBound(t *testing.T) {
	tests := []struct{ bound, wait chivehillclock.Millis }{
		{5000, 1500},
		{3000, 1500},
		{2000, 1000},
		{1600, 600},
		{1000, 500},
		{0, 500},
	}
	for _, tt := range tests {
		w := &Watcher{ConfigurationBound: func() chivehillclock.Millis { return tt.bound }}
		qt.Check(t, w.configurationWait(), qt.Equals, tt.wait, qt.Commentf("bound %v", tt.bound))
	}
	qt.Check(t, (&Watcher{}).configurationWait(), qt.Equals, configurationWatchWait)
}

// TestWaitsForAConfigurationExceedItsBound guards against steps that each wait for themselves
// and together longer than the bound on configurations.
func TestWaitsForAConfigurationExceedItsBound(t *testing.T) {
	for bound := 1100 * chivehillclock.Millisecond; bound <= 10*chivehillclock.Second; bound += 100 {
		w := &Watcher{ConfigurationBound: func() chivehillclock.Millis { return bound }}
		sum := w.configurationWait() + (1+Delegates)*w.answerTime() + applyMargin
		qt.Check(t, sum <= bound+1e-6, qt.IsTrue, qt.Commentf("%v of %v", sum, bound))
	}
	w := &Watcher{ConfigurationBound: func() chivehillclock.Millis { return 0 }}
	qt.Check(t, w.answerTime(), qt.Equals, minAnswerTime)
}

// scriptedStore ends each watch as the test says; nil means that the store stays silent.
type scriptedStore struct {
	Store
	ends chan error
}

func (s *scriptedStore) List(_ context.Context, _ chivehillcatalog.Collection, progress func()) (chivehillcatalog.Update, error) {
	progress()
	return chivehillcatalog.Update{Full: true, FromStore: true, AsOf: 5}, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ chivehillcatalog.Collection, since chivehillcatalog.Revision, _ chivehillclock.Millis) (chivehillcatalog.Update, error) {
	select {
	case <-ctx.Done():
		return chivehillcatalog.Update{}, ctx.Err()
	case err := <-s.ends:
		return chivehillcatalog.Update{FromStore: true, Since: since, AsOf: since}, err
	}
}

// TestSilentStoreIsNoticedWhenItsWatchIsCancelled guards against a store that counts as reachable
// after its answer was due, until the call is given up.
func TestSilentStoreIsNoticedWhenItsWatchIsCancelled(t *testing.T) {
	tests := []struct {
		about string
		// ends are how watches end before the store falls silent.
		ends []error
		// due is when the answer is due after the begin of the last watch.
		due func(*Watcher) chivehillclock.Millis
	}{
		{"silent from the first watch on", nil, (*Watcher).configurationWait},
		{"silent after an answer", []error{nil}, (*Watcher).configurationWait},
		{"silent after the history was gone", []error{ErrHistoryGone}, (*Watcher).configurationWait},
		{"silent after a watch was opened again", []error{errWatchRenewed}, (*Watcher).configurationWait},
		{"silent after a failure", []error{context.DeadlineExceeded}, func(*Watcher) chivehillclock.Millis { return 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.about, func(t *testing.T) {
			store := &scriptedStore{ends: make(chan error)}
			clock := chivehillclock.NewManual()
			catalog := chivehillcatalog.New(chivehillcatalog.Options{Decoder: struct{ chivehillcatalog.Decoder }{}, Log: zerolog.Nop()})
			w := &Watcher{Store: store, Catalog: catalog, Clock: clock, Metrics: chivehillmetrics.NewGateway(), Log: zerolog.Nop()}
			w.ConfigurationBound = func() chivehillclock.Millis { return 2 * chivehillclock.Second }
			list := func() { qt.Assert(t, w.listOrWatch(t.Context(), chivehillcatalog.Configurations, true), qt.IsNil) }
			list()
			ctx, cancel := context.WithCancel(t.Context())
			for _, err := range tt.ends {
				ended := make(chan error)
				go func() { ended <- w.listOrWatch(ctx, chivehillcatalog.Configurations, false) }()
				store.ends <- err
				qt.Assert(t, <-ended, qt.Equals, err)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = w.listOrWatch(ctx, chivehillcatalog.Configurations, false)
			}()
			for !w.owesAnswer() {
				time.Sleep(time.Millisecond)
			}
			clock.Advance(tt.due(w) + w.answerTime() - 1)
			qt.Check(t, w.Unreachable(), qt.IsFalse)
			clock.Advance(1)
			qt.Check(t, w.Unreachable(), qt.IsTrue)
			cancel()
			<-ended
			list()
			qt.Check(t, w.Unreachable(), qt.IsFalse, qt.Commentf("the store has answered"))
		})
	}
}

func (w *Watcher) owesAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.due.owed
}
