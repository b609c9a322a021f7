package chivehillquota

import (
	"context"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// choosePeriod is the interval at which a host looks which owner it should use.
const choosePeriod = 100 * chivehillclock.Millisecond

// dialed is the result of connecting to a host. Its session is nil if that failed.
type dialed struct {
	host    chivehillid.HostID
	session *session
}

// asking is the state of the goroutine that asks for tokens.
type asking struct {
	*Service
	// current is the session with the client's owner, nil if it is not connected.
	current *session
	// next is the session with the owner to change to, nil if there is none. The client
	// changes once its share is free.
	next *session
	// dialing is the host that is being connected to, empty if none is.
	dialing   chivehillid.HostID
	preferred chivehillcatalog.Host
	chosenAt  chivehillclock.Millis
	// tried is set once an owner was chosen.
	tried bool
}

// askLoop asks for tokens until ctx ends.
func (s *Service) askLoop(ctx context.Context) {
	a := &asking{Service: s}
	for ctx.Err() == nil {
		if !s.active() {
			a.disconnect()
			a.sleep(ctx, choosePeriod)
			continue
		}
		a.takeJoined()
		a.choose()
		a.connectPreferred(ctx)
		a.change()
		if a.current == nil || !a.ask(ctx) {
			a.sleep(ctx, a.idleTime())
		}
	}
	a.disconnect()
}

// disconnect closes all sessions.
func (a *asking) disconnect() {
	for _, p := range []*session{a.current, a.next} {
		if p != nil {
			p.close()
		}
	}
	a.current, a.next = nil, nil
}

// choose determines the owner that this host should use. Without any it is its own.
func (a *asking) choose() {
	now := a.Clock.Now()
	if a.tried && now-a.chosenAt < choosePeriod {
		return
	}
	a.tried, a.chosenAt = true, now
	a.preferred = a.Self
	if owner, found := Choose(a.Live(), a.Self.Region, a.usable); found {
		a.preferred = owner
	}
}

// connectPreferred connects to the preferred owner in the background, unless there is a
// session with it.
func (a *asking) connectPreferred(ctx context.Context) {
	id := a.preferred.ID
	if a.next != nil && a.next.owner != id {
		a.next.close()
		a.next = nil
	}
	if a.dialing != "" || a.next != nil || a.current != nil && a.current.owner == id {
		return
	}
	a.dialing = id
	host := a.preferred
	a.tasks.Go(func() {
		p, err := a.connect(ctx, host)
		if err != nil {
			a.recordFailure(host.ID)
			a.Log.Info().Str("step", "connect").Str("peer", string(host.ID)).Err(err).Msg("quota: owner could not be reached.")
		}
		select {
		case a.joined <- dialed{host: host.ID, session: p}:
		case <-ctx.Done():
			if p != nil {
				p.close()
			}
		}
	})
}

// change makes the session with the preferred owner the current one when the share is
// free, or when the client's owner is connected again.
func (a *asking) change() {
	a.clientMu.Lock()
	defer a.clientMu.Unlock()
	if a.next == nil {
		return
	}
	now := a.Clock.Now()
	again := a.current == nil && a.asker.Owner() == a.next.owner
	if !again && !a.asker.Free(now) {
		return
	}
	if a.current != nil {
		a.current.close()
	}
	if !again {
		a.Log.Info().Str("owner", string(a.next.owner)).Str("before", string(a.asker.Owner())).Msg("quota: owner changed.")
		a.asker.Join(a.next.owner)
	}
	a.current, a.next = a.next, nil
}

// ask sends a request if one is due, and reports whether it did.
func (a *asking) ask(ctx context.Context) bool {
	ask, due := a.newAsk()
	if !due {
		return false
	}
	answer, err := a.current.exchange(ctx, ask)
	now := a.Clock.Now()
	a.clientMu.Lock()
	defer a.clientMu.Unlock()
	if err != nil {
		a.Metrics.Asks.WithLabelValues("failed").Inc()
		a.Log.Info().Str("step", "ask").Str("peer", string(a.current.owner)).Err(err).Msg("quota: owner did not answer.")
		a.recordFailure(a.current.owner)
		a.current.close()
		a.current, a.tried = nil, false
		a.asker.Disconnected()
		return true
	}
	a.recordAnswer(a.current.owner)
	a.asker.Answer(now, answer)
	a.Metrics.Asks.WithLabelValues("answered").Inc()
	granted := 0
	for _, g := range answer.Grants {
		granted += g.Tokens
	}
	a.Metrics.Tokens.WithLabelValues("granted").Add(float64(granted))
	return true
}

func (a *asking) newAsk() (ask chivehillwire.QuotaAsk, due bool) {
	share := 0.0
	if !a.Leaving() {
		share = Share(a.Self.ID, a.View().Hosts)
	}
	window := a.Bounds().Window
	a.clientMu.Lock()
	defer a.clientMu.Unlock()
	now := a.Clock.Now()
	renew := a.next == nil
	if !a.asker.Due(now, renew) {
		return ask, false
	}
	return a.asker.Ask(now, renew, share, window), true
}

// idleTime returns how long to sleep if no request waits.
func (a *asking) idleTime() chivehillclock.Millis {
	a.clientMu.Lock()
	defer a.clientMu.Unlock()
	now := a.Clock.Now()
	next := now + choosePeriod
	switch {
	case a.next != nil:
		next = min(next, a.asker.FreeAt())
	case a.current != nil:
		next = min(next, a.asker.RenewAt())
	}
	return max(chivehillclock.Millisecond, next-now)
}

// sleep waits until a request waits, a session was connected or the time has passed.
func (a *asking) sleep(ctx context.Context, d chivehillclock.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	wake := a.wake
	if a.current == nil {
		wake = nil
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	case r := <-a.joined:
		a.take(r)
	}
}

// take makes a session that was connected the next one.
func (a *asking) take(r dialed) {
	a.dialing, a.next = "", r.session
	if a.next == nil {
		a.tried = false
	}
}

// takeJoined is for a host that has no time to sleep.
func (a *asking) takeJoined() {
	select {
	case r := <-a.joined:
		a.take(r)
	default:
	}
}
