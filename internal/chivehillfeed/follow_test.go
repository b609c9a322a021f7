package chivehillfeed

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

// pagedStore answers lists page by page, each after a pause.
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

// TestLongLists lists a collection across a slow link: as long as pages come,
// the list goes on and the store counts as reached.
func TestLongLists(t *testing.T) {
	tests := []struct {
		about string
		pages int
		pause chivehillclock.Millis
		known bool
		lost  bool
	}{
		{"more pages than one timeout lasts", 7, 350, true, false},
		{"a page that does not come", 1, listTimeout + 500, false, true},
	}
	for _, tt := range tests {
		store := &pagedStore{pages: tt.pages, pause: tt.pause.Duration()}
		catalog := chivehillcatalog.New(chivehillcatalog.Options{Decoder: struct{ chivehillcatalog.Decoder }{}, Log: zerolog.Nop()})
		f := &Follower{Store: store, Catalog: catalog, Clock: chivehillclock.New(), Metrics: chivehillmetrics.NewGateway(), Log: zerolog.Nop()}
		done := make(chan error, 1)
		go func() { done <- f.list(t.Context(), chivehillcatalog.Servers) }()
		lost := false
		var err error
		for ended := false; !ended; {
			select {
			case err = <-done:
				ended = true
			case <-time.After(20 * time.Millisecond):
				lost = lost || f.Lost()
			}
		}
		qt.Check(t, err == nil, qt.Equals, tt.known, qt.Commentf("%s: %v", tt.about, err))
		qt.Check(t, catalog.AsOf(chivehillcatalog.Servers) > 0, qt.Equals, tt.known, qt.Commentf("%s", tt.about))
		qt.Check(t, lost, qt.Equals, tt.lost, qt.Commentf("%s", tt.about))
	}
}
