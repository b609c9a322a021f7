package chivehillgateway

import (
	"context"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfront"
)

const (
	// startWaitFraction is the fraction of a caller's timeout for which its request waits at a
	// host that has just started for what the host needs to serve it. The rest is left to run it.
	startWaitFraction = 0.25
	// maxStartWait bounds the wait for callers with a long timeout. A host that takes longer gets
	// no answers, and another one may serve the caller.
	maxStartWait = chivehillclock.Second
	// startCheckInterval is the time between two checks whether the wait is over.
	startCheckInterval = 10 * chivehillclock.Millisecond
)

// holds reports whether requests wait because this host has just started.
func (g *Gateway) holds(v chivehillcatalog.View) bool {
	return !v.Loaded() || g.Informed != nil && !g.Informed()
}

// awaitLoaded returns the view once it is loaded and this host is informed. A host that starts has it within a fraction of
// a second, while a refused caller would mostly come back to another host that starts too. If the
// wait ends before, it returns the view as it is.
func (g *Gateway) awaitLoaded(ctx context.Context, r *chivehillfront.Request) chivehillcatalog.View {
	view := g.Catalog.View()
	if !g.holds(view) {
		return view
	}
	end := r.Arrived + min(maxStartWait, startWaitFraction*g.timeout(r))
	ticker := time.NewTicker(startCheckInterval.Duration())
	defer ticker.Stop()
	for g.Clock.Now() < end && g.stopAt.Load() == nil && g.holds(view) {
		select {
		case <-ctx.Done():
			return view
		case <-ticker.C:
			view = g.Catalog.View()
		}
	}
	return view
}
