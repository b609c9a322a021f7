package chivehillhost

import (
	"context"
	"net"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// stopMargin is the part of the stop grace that is kept in reserve, so that the
	// process exits by itself before it is killed.
	stopMargin = 500 * chivehillclock.Millisecond
	// acceptShare is the share of the stop grace for which new connections are still
	// accepted, since callers learn with a delay that the host leaves.
	acceptShare = 0.6
	// answerMargin is the time between the latest deadline of requests that are still sent to
	// servers and the end of open requests, in which their responses are written.
	answerMargin = 100 * chivehillclock.Millisecond
)

// stop drains the host: it tells callers and peers that the host leaves, removes
// its entry, closes the listener of callers after acceptShare of the stop grace and
// waits for open requests. Those still open stopMargin before the end of the grace
// are cut off. They were sent before the stop began: a request whose deadline lies
// beyond that is refused from then on.
func (h *Host) stop(callers net.Listener) {
	started := h.clock.Now()
	grace := seconds(h.bounds.Load().StopGraceSeconds)
	cutOff := started + grace - stopMargin
	h.leaving.Store(true)
	h.gateway.StopAt(cutOff - answerMargin)
	h.front.CloseAfterResponse()
	h.relay.Leave()
	h.log.Info().Float64("grace-ms", float64(grace)).Msg("host: leaving; graceful shutdown started.")
	h.deregister()
	time.Sleep((chivehillclock.Millis(acceptShare)*grace - (h.clock.Now() - started)).Duration())
	_ = callers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), (cutOff - h.clock.Now()).Duration())
	defer cancel()
	if err := h.front.Shutdown(ctx); err != nil {
		h.log.Warn().Err(err).Msg("host: open requests were cut off at the end of the stop grace.")
	}
}

// deregister removes the entry of this host from the store.
func (h *Host) deregister() {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	h.removeEntry(ctx, h.self.ID)
}
