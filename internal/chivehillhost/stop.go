package chivehillhost

import (
	"context"
	"net"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// stopMargin is kept of the time to stop, so that the process ends by itself.
	stopMargin = 500 * chivehillclock.Millisecond
	// acceptPart is the part of the time to stop for which new connections are
	// still accepted: callers learn late that the host leaves.
	acceptPart = 0.6
)

// stop takes the host out of use without cutting a request off.
func (h *Host) stop(callers net.Listener) {
	started := h.clock.Now()
	grace := seconds(h.bounds.Load().StopGraceSeconds)
	h.leaving.Store(true)
	h.front.Leave()
	h.relay.Leave()
	h.log.Info().Float64("grace-ms", float64(grace)).Msg("host: leaving.")
	h.deregister()
	time.Sleep((chivehillclock.Millis(acceptPart)*grace - (h.clock.Now() - started)).Duration())
	_ = callers.Close()
	left := grace - stopMargin - (h.clock.Now() - started)
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	if err := h.front.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("host: requests cut off.")
	}
}

// deregister removes the entry of this host from the store.
func (h *Host) deregister() {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	h.removeEntry(ctx, h.self.ID)
}
