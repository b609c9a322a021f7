package chivehillgateway

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillqueue"
)

// StopAt tells the gateway that this host cuts off at the given time the requests that are
// still open. From now on, a request is sent to a server only if its deadline comes before
// that. Any other is refused at once, as not run, also if it waits for capacity.
func (g *Gateway) StopAt(at chivehillclock.Millis) {
	g.stopAt.Store(&at)
	g.queues.giveUp(func(w *chivehillqueue.Waiter) bool { return g.stopsBefore(w.Deadline) })
}

// stopsBefore reports whether this host cuts off open requests before the given deadline.
func (g *Gateway) stopsBefore(deadline chivehillclock.Millis) bool {
	at := g.stopAt.Load()
	return at != nil && *at < deadline
}
