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
	// registerInterval is the interval at which this host checks that it is
	// registered.
	registerInterval = 500 * time.Millisecond
	// maxRegisterInterval is the longest interval while registration fails.
	maxRegisterInterval = 2 * time.Second
	// registerTimeout bounds one write or removal of an entry.
	registerTimeout = 2 * time.Second
	// listHostsTimeout bounds one list of all entries. It is long because all hosts
	// of a region may list them at once over a slow link.
	listHostsTimeout = 5 * time.Second
)

// keepRegistered keeps the entry of this host in the store until the host leaves.
func (h *Host) keepRegistered(ctx context.Context) {
	interval := registerInterval
	for ctx.Err() == nil {
		if h.leaving.Load() || h.ensureRegistered(ctx) {
			interval = registerInterval
		} else {
			interval = min(maxRegisterInterval, 2*interval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// ensureRegistered writes the entry of this host if the store lacks it, and
// reports whether the store holds it. A host that restarts lists the entries
// first, since its own may still be there unchanged.
func (h *Host) ensureRegistered(ctx context.Context) bool {
	if h.registered() {
		return true
	}
	if !h.settings.FirstStart && !h.hostsListed {
		if !h.listHosts(ctx) {
			return false
		}
		h.hostsListed = true
		if h.registered() {
			return true
		}
	}
	return h.register(ctx)
}

// registered reports whether the catalog holds the current entry of this host, as far as
// the store has it: an entry of an earlier era is one that the store has lost.
func (h *Host) registered() bool {
	e, found := h.catalog.View().Hosts[h.self.ID]
	self := h.self
	self.Incarnation = ""
	if !found || e != self {
		return false
	}
	record, found := h.catalog.Record(chivehillcatalog.Hosts, string(h.self.ID))
	return found && record.Revision.Era() >= h.catalog.AsOf(chivehillcatalog.Hosts).Era()
}

// register writes the entry of this host and reports whether that succeeded.
func (h *Host) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	written, err := h.platform.Store.PutHost(ctx, h.self)
	if err != nil {
		h.log.Warn().Str("step", "register").Str("peer", "store").Err(err).Msg("host: registration failed.")
		return false
	}
	h.catalog.Apply(chivehillcatalog.Hosts, chivehillcatalog.Update{Records: []chivehillcatalog.Record{written}})
	h.log.Info().Msg("host: registered.")
	if !h.hostsListed {
		h.hostsListed = h.listHosts(ctx)
	}
	return true
}

// listHosts lists all hosts once, so that this one can connect to the others, and
// reports whether the store answered.
func (h *Host) listHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listHostsTimeout)
	defer cancel()
	update, err := h.platform.Store.List(ctx, chivehillcatalog.Hosts, func() {})
	if err != nil {
		h.log.Warn().Str("step", "list hosts").Str("peer", "store").Err(err).Msg("host: hosts could not be listed.")
		return false
	}
	h.catalog.Apply(chivehillcatalog.Hosts, update)
	h.relay.Wake()
	return true
}

// downHostRetention is how long a host is down before its entry is removed.
const downHostRetention = 30 * chivehillclock.Second

// onDownChange updates downSince after the relay found a host down or up again.
func (h *Host) onDownChange() {
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
	h.liveGeneration.Add(1)
}

// removeDownHosts removes the entries of hosts that have been down for longer than
// downHostRetention, for its own region, and those of hosts that removed them before the
// store came back from a copy. Only a host that watches the store does so.
func (h *Host) removeDownHosts(ctx context.Context) {
	if !h.relay.Watching() {
		return
	}
	for _, e := range h.catalog.Returned(chivehillcatalog.Hosts) {
		h.tasks.Go(func() { h.remove(ctx, chivehillid.HostID(e.Name), e.Revision) })
	}
	now := h.clock.Now()
	hosts := h.catalog.View().Hosts
	h.downMu.Lock()
	defer h.downMu.Unlock()
	for id, since := range h.downSince {
		if now-since < downHostRetention || hosts[id].Region != h.self.Region {
			continue
		}
		delete(h.downSince, id)
		h.tasks.Go(func() { h.removeEntry(ctx, id) })
	}
}

// removeEntry removes the entry of a host from the store, unless the entry has
// changed since the revision in the catalog.
func (h *Host) removeEntry(ctx context.Context, id chivehillid.HostID) {
	if e, found := h.catalog.Record(chivehillcatalog.Hosts, string(id)); found {
		h.remove(ctx, id, e.Revision)
	}
}

func (h *Host) remove(ctx context.Context, id chivehillid.HostID, revision chivehillcatalog.Revision) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := h.platform.Store.RemoveHost(ctx, id, revision)
	h.log.Info().Str("entry", string(id)).Str("peer", "store").Err(err).Msg("host: attempted to remove a host entry.")
}

// live returns the hosts that callers may use.
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

// ready reports whether this host can serve callers: it is not leaving and has loaded
// what it needs.
func (h *Host) ready() bool { return h.catalog.View().Loaded() && !h.leaving.Load() }

// resolve is the Resolve of this host. It chooses among the live hosts.
func (h *Host) resolve(q chivehilldirectory.Query) (addresses []string, ttl chivehillclock.Millis) {
	chosen := chivehilldirectory.Choose(q, h.live(), h.catalog.View().RoutesOf(q.Hostname))
	for _, e := range chosen {
		addresses = append(addresses, e.CallerAddress)
	}
	return addresses, min(resolveTTL, seconds(h.bounds.Load().AnswerKeepSeconds))
}
