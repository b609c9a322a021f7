package chivehillrelay

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// minRedialDelay and maxRedialDelay limit the delay before a host is dialed again.
	minRedialDelay = 200 * chivehillclock.Millisecond
	maxRedialDelay = 2 * chivehillclock.Second
)

// dialState records when an address may be dialed again and whether the last dial
// failed.
type dialState struct {
	nextAt  chivehillclock.Millis
	delay   chivehillclock.Millis
	dialing bool
	// failed is set if the last dial of the address failed.
	failed bool
}

// connect dials an address in the background unless a dial is running or the redial
// delay has not passed.
func (r *Relay) connect(address string) {
	now := r.Clock.Now()
	r.mu.Lock()
	target := r.dialState[address]
	if target == nil {
		target = &dialState{delay: minRedialDelay}
		r.dialState[address] = target
	}
	if target.dialing || now < target.nextAt || r.ctx.Err() != nil {
		r.mu.Unlock()
		return
	}
	target.dialing = true
	r.mu.Unlock()
	r.tasks.Go(func() {
		l, err := r.dial(r.ctx, address)
		r.recordDialResult(target, err == nil)
		if err != nil {
			r.Log.Info().Str("step", "dial").Str("peer", address).Err(err).Msg("relay: failed to connect to a peer.")
			return
		}
		r.serve(l)
	})
}

func (r *Relay) recordDialResult(target *dialState, reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target.dialing, target.failed = false, !reached
	if reached {
		target.delay = minRedialDelay
	} else {
		target.delay = min(maxRedialDelay, 2*target.delay)
	}
	target.nextAt = r.Clock.Now() + target.delay
}

// serve registers a link, closes an older one with the same key and runs the link
// until its connection ends.
func (r *Relay) serve(l *link) {
	key := linkKey{id: l.host.ID, dialed: l.dialed}
	r.mu.Lock()
	old := r.links[key]
	r.links[key] = l
	r.mu.Unlock()
	if old != nil {
		_ = old.conn.CloseNow()
	}
	r.Log.Info().Str("peer", string(l.host.ID)).Bool("dialed", l.dialed).Msg("relay: peer connected.")
	r.queueHeartbeat(l)
	r.sendFacts(l)
	err := l.run(r.ctx)
	r.mu.Lock()
	if r.links[key] == l {
		delete(r.links, key)
	}
	r.mu.Unlock()
	if r.ctx.Err() == nil {
		r.Log.Info().Str("peer", string(l.host.ID)).Err(err).Msg("relay: connection to a peer ended.")
	}
}
