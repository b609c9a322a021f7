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
	"github.com/chivehill/chivehill/internal/chivehillid"
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

// movingStore moves on to the next revision with each watch of the configuration that ends,
// if moves is set. The first watch of the withdrawals is mute; later ones return the change
// made before it.
type movingStore struct {
	Store
	moves       bool
	historyGone atomic.Bool
	revision    atomic.Uint64
	watches     atomic.Int64
}

func (s *movingStore) List(context.Context, chivehillcatalog.Collection, func()) (chivehillcatalog.Update, error) {
	return chivehillcatalog.Update{Full: true, FromStore: true, AsOf: chivehillcatalog.Revision(s.revision.Load())}, nil
}

func (s *movingStore) Watch(ctx context.Context, c chivehillcatalog.Collection, since chivehillcatalog.Revision, _ chivehillclock.Millis) (chivehillcatalog.Update, error) {
	switch c {
	case chivehillcatalog.Configurations:
		time.Sleep(100 * time.Millisecond)
		if s.historyGone.CompareAndSwap(true, false) {
			return chivehillcatalog.Update{}, ErrHistoryGone
		}
		if s.moves {
			s.revision.Add(1)
		}
		return chivehillcatalog.Update{FromStore: true, Since: since, AsOf: chivehillcatalog.Revision(s.revision.Load())}, nil
	case chivehillcatalog.Withdrawals:
		if s.watches.Add(1) == 2 {
			asOf := since + 1
			return chivehillcatalog.Update{FromStore: true, Since: since, AsOf: asOf, Records: []chivehillcatalog.Record{{Name: "e1", Revision: asOf}}}, nil
		}
	}
	<-ctx.Done()
	return chivehillcatalog.Update{}, ctx.Err()
}

type withdrawalDecoder struct{ chivehillcatalog.Decoder }

func (withdrawalDecoder) Withdrawal(r chivehillcatalog.Record) (chivehillid.DomainID, error) {
	return chivehillid.DomainID(r.Name), nil
}

// TestMuteWatchIsTrustedAlthoughTheStoreMovedOn watches the withdrawals over a connection
// that went silent, while the watch of the configuration shows that the store has changed.
func TestMuteWatchIsTrustedAlthoughTheStoreMovedOn(t *testing.T) {
	tests := []struct {
		about       string
		moves       bool
		historyGone bool
		within      time.Duration
		known       bool
	}{
		{"the store moved on", true, false, 3 * time.Second, true},
		{"the store dropped its history", false, true, time.Second, true},
		{"nothing changed", false, false, 3 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.about, func(t *testing.T) {
			t.Parallel()
			store := &movingStore{moves: tt.moves}
			store.revision.Store(5)
			store.historyGone.Store(tt.historyGone)
			catalog := chivehillcatalog.New(chivehillcatalog.Options{Decoder: withdrawalDecoder{}, Log: zerolog.Nop()})
			w := &Watcher{Store: store, Catalog: catalog, Clock: chivehillclock.New(), Metrics: chivehillmetrics.NewGateway(), Log: zerolog.Nop()}
			ctx, cancel := context.WithTimeout(t.Context(), tt.within)
			defer cancel()
			w.Run(ctx)
			qt.Check(t, catalog.View().Withdrawn["e1"], qt.Equals, tt.known)
			qt.Check(t, store.watches.Load() <= 4, qt.IsTrue, qt.Commentf("%d watches of the withdrawals", store.watches.Load()))
		})
	}
}
