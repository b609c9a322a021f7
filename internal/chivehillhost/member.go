package chivehillhost

import (
	"context"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehilldirectory"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// registerPause is the time between two checks that this host is registered.
	registerPause = 500 * time.Millisecond
	// maxRegisterPause is the same while the store does not answer.
	maxRegisterPause = 2 * time.Second
	// registerTimeout bounds one write of the entry.
	registerTimeout = 2 * time.Second
	// findTimeout bounds one look at all entries, which all hosts of a region may
	// take at once across a narrow link.
	findTimeout = 5 * time.Second
)

// keepRegistered keeps the entry of this host in the store until it leaves.
func (h *Host) keepRegistered(ctx context.Context) {
	pause := registerPause
	for ctx.Err() == nil {
		if h.leaving.Load() || h.ensureRegistered(ctx) {
			pause = registerPause
		} else {
			pause = min(maxRegisterPause, 2*pause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// ensureRegistered reports whether the store holds the entry of this host, and
// writes it if not. A host that starts again reads the entries first: its own
// may be there unchanged.
func (h *Host) ensureRegistered(ctx context.Context) bool {
	if h.registered() {
		return true
	}
	if !h.settings.FirstStart && !h.looked {
		if !h.findHosts(ctx) {
			return false
		}
		h.looked = true
		if h.registered() {
			return true
		}
	}
	return h.register(ctx)
}

// registered reports whether the entry of this host is known as it should be.
func (h *Host) registered() bool {
	e, found := h.catalog.View().Hosts[h.self.ID]
	self := h.self
	self.Incarnation = ""
	return found && e == self
}

// register writes the entry of this host and reports whether the store took it.
func (h *Host) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	written, err := h.platform.Store.PutHost(ctx, h.self)
	if err != nil {
		h.log.Warn().Str("step", "register").Str("peer", "store").Err(err).Msg("host: not registered.")
		return false
	}
	h.catalog.Apply(chivehillcatalog.Hosts, chivehillcatalog.Update{Records: []chivehillcatalog.Record{written}})
	h.log.Info().Msg("host: registered.")
	if !h.looked {
		h.looked = h.findHosts(ctx)
	}
	return true
}

// findHosts reads the other hosts once, so that this one can follow them, and
// reports whether the store answered.
func (h *Host) findHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	update, err := h.platform.Store.List(ctx, chivehillcatalog.Hosts, func() {})
	if err != nil {
		h.log.Warn().Str("step", "list hosts").Str("peer", "store").Err(err).Msg("host: others not known.")
		return false
	}
	h.catalog.Apply(chivehillcatalog.Hosts, update)
	return true
}

// forgetTime is how long a host is out of reach before its entry is removed.
const forgetTime = 30 * chivehillclock.Second

// downChanged notes since when hosts are out of reach.
func (h *Host) downChanged() {
	now := h.clock.Now()
	h.downMu.Lock()
	defer h.downMu.Unlock()
	down := make(map[chivehillid.HostID]chivehillclock.Millis)
	for id := range h.catalog.View().Hosts {
		if !h.relay.Down(id) {
			continue
		}
		down[id] = now
		if since, found := h.downSince[id]; found {
			down[id] = since
		}
	}
	h.downSince = down
	h.metrics.Down.Set(float64(len(down)))
	h.hostsChanged.Add(1)
}

// forget removes the entries of hosts that have been out of reach for long. Only
// a host that watches the store does so, for its own failure domain.
func (h *Host) forget(ctx context.Context) {
	if !h.relay.Watching() {
		return
	}
	now := h.clock.Now()
	hosts := h.catalog.View().Hosts
	h.downMu.Lock()
	defer h.downMu.Unlock()
	for id, since := range h.downSince {
		if now-since < forgetTime || hosts[id].Region != h.self.Region {
			continue
		}
		delete(h.downSince, id)
		h.tasks.Go(func() { h.removeEntry(ctx, id) })
	}
}

// removeEntry removes the entry of a host as it is known.
func (h *Host) removeEntry(ctx context.Context, id chivehillid.HostID) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	for _, e := range h.catalog.Snapshot(chivehillcatalog.Hosts).Records {
		if e.Name != string(id) {
			continue
		}
		err := h.platform.Store.RemoveHost(ctx, id, e.Revision)
		h.log.Info().Str("entry", string(id)).Str("peer", "store").Err(err).Msg("host: entry removed.")
	}
}

// live returns the hosts that callers may be sent to.
func (h *Host) live() []chivehillcatalog.Host {
	var hosts []chivehillcatalog.Host
	for _, e := range h.catalog.View().Hosts {
		if e.ID != h.self.ID && !h.relay.Down(e.ID) {
			hosts = append(hosts, e)
		}
	}
	if h.ready() {
		hosts = append(hosts, h.self)
	}
	return hosts
}

// ready reports whether this host can serve callers.
func (h *Host) ready() bool {
	view := h.catalog.View()
	return !h.leaving.Load() && view.Configuration.Version > 0 && view.ServersKnown && view.WithdrawnKnown
}

func (h *Host) resolve(q chivehilldirectory.Query) (addresses []string, keep chivehillclock.Millis) {
	chosen := chivehilldirectory.Choose(q, h.live(), h.catalog.View().RoutesOf(q.Hostname))
	for _, e := range chosen {
		addresses = append(addresses, e.CallerAddress)
	}
	return addresses, min(keepAnswer, seconds(h.bounds.Load().AnswerKeepSeconds))
}
