package chivehillwatcher

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
)

// pagedStore answers a list page by page, with a delay before each page.
type pagedStore struct {
	Store
	pages int
	pause time.Duration
	lists atomic.Int64
}

func (s *pagedStore) List(ctx context.Context, _ chivehillcatalog.Collection, progress func()) (chivehillcatalog.Update, error) {
	s.lists.Add(1)
	for range s.pages {
		select {
		case <-ctx.Done():
			return chivehillcatalog.Update{}, ctx.Err()
		case <-time.After(s.pause):
		}
		progress()
	}
	return chivehillcatalog.Update{Full: true, AsOf: 1}, nil
}

// TestSlowListIsNotAnOutage lists a collection over a slow link: as long as pages
// arrive, the list continues and the store counts as reachable, also if the whole
// list takes longer than the timeout of a page.
func TestSlowListIsNotAnOutage(t *testing.T) {
	tests := []struct {
		about       string
		pages       int
		pause       chivehillclock.Millis
		listed      bool
		unreachable bool
	}{
		{"list longer than the timeout of a page continues", 7, 350, true, false},
		{"list without a page in time fails", 1, listTimeout + 500, false, true},
	}
	for _, tt := range tests {
		store := &pagedStore{pages: tt.pages, pause: tt.pause.Duration()}
		catalog := chivehillcatalog.New(chivehillcatalog.Options{Decoder: struct{ chivehillcatalog.Decoder }{}, Log: zerolog.Nop()})
		w := &Watcher{Store: store, Catalog: catalog, Clock: chivehillclock.New(), Metrics: chivehillmetrics.NewGateway(), Log: zerolog.Nop()}
		done := make(chan error, 1)
		go func() { done <- w.list(t.Context(), chivehillcatalog.Servers) }()
		unreachable := false
		var err error
		for ended := false; !ended; {
			select {
			case err = <-done:
				ended = true
			case <-time.After(20 * time.Millisecond):
				unreachable = unreachable || w.Unreachable()
			}
		}
		qt.Check(t, err == nil, qt.Equals, tt.listed, qt.Commentf("%s: %v", tt.about, err))
		qt.Check(t, catalog.AsOf(chivehillcatalog.Servers) > 0, qt.Equals, tt.listed, qt.Commentf("%s", tt.about))
		qt.Check(t, unreachable, qt.Equals, tt.unreachable, qt.Commentf("%s", tt.about))
	}
}

// forgetfulStore has no history for any watch.
type forgetfulStore struct {
	Store
	calls atomic.Int64
}

func (s *forgetfulStore) List(context.Context, chivehillcatalog.Collection, func()) (chivehillcatalog.Update, error) {
	s.calls.Add(1)
	return chivehillcatalog.Update{Full: true, AsOf: 1}, nil
}

func (s *forgetfulStore) Watch(context.Context, chivehillcatalog.Collection, chivehillcatalog.Revision, chivehillclock.Millis) (chivehillcatalog.Update, error) {
	s.calls.Add(1)
	return chivehillcatalog.Update{}, ErrHistoryGone
}

func TestStoreWithoutHistoryIsCalledWithoutAPause(t *testing.T) {
	store := &forgetfulStore{}
	catalog := chivehillcatalog.New(chivehillcatalog.Options{Decoder: struct{ chivehillcatalog.Decoder }{}, Log: zerolog.Nop()})
	w := &Watcher{Store: store, Catalog: catalog, Clock: chivehillclock.New(), Metrics: chivehillmetrics.NewGateway(), Log: zerolog.Nop()}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	w.follow(ctx, chivehillcatalog.Servers)
	qt.Assert(t, store.calls.Load() < 30, qt.IsTrue, qt.Commentf("%d calls in 1 s", store.calls.Load()))
}
