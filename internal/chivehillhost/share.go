package chivehillhost

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// shareCache caches which shares of servers' bounded rates this host has. It is valid
// for one set of live hosts.
type shareCache struct {
	// generation is the value of liveGeneration before live was read.
	generation uint64
	// ready is set if this host was among the live ones.
	ready bool
	live  []chivehillcatalog.Host
	// computed maps a shareKey to the share, a float64.
	computed sync.Map
}

type shareKey struct {
	server  chivehillid.ServerID
	domain  chivehillid.DomainID
	sharers int
}

// share returns which part of the requests that all hosts together may send to a server
// with a bounded rate this host may send. At most sharers hosts divide them equally.
func (h *Host) share(s chivehillcatalog.Server, sharers int) float64 {
	generation, ready := h.liveGeneration.Load(), h.ready()
	cache := h.shareCache.Load()
	if cache == nil || cache.generation != generation || cache.ready != ready {
		cache = &shareCache{generation: generation, ready: ready, live: h.live()}
		h.shareCache.Store(cache)
	}
	key := shareKey{server: s.ID, domain: s.Domain, sharers: sharers}
	if cached, found := cache.computed.Load(key); found {
		return cached.(float64)
	}
	share := h.computeShare(s, cache.live, sharers)
	cache.computed.Store(key, share)
	return share
}

// computeShare chooses the hosts that divide a server's rate by rendezvous hashing: of
// the live hosts of the server's failure domain, else of its region, else of all, those
// with the highest hashes of both identifiers. A host that has not listed the others yet
// has no share.
func (h *Host) computeShare(s chivehillcatalog.Server, live []chivehillcatalog.Host, sharers int) float64 {
	if h.catalog.AsOf(chivehillcatalog.Hosts) == 0 {
		return 0
	}
	nearest := h.nearest(s, live)
	ahead, found := 0, false
	own := shareHash(s.ID, h.self.ID)
	for _, e := range nearest {
		found = found || e.ID == h.self.ID
		if shareHash(s.ID, e.ID) > own {
			ahead++
		}
	}
	if !found || ahead >= sharers {
		return 0
	}
	return 1 / float64(min(sharers, len(nearest)))
}

func shareHash(server chivehillid.ServerID, host chivehillid.HostID) uint64 {
	return xxhash.Sum64String(string(server) + "/" + string(host))
}

// nearest returns the hosts of the server's failure domain, if there are none those of
// its region, if there are none either all hosts.
func (h *Host) nearest(s chivehillcatalog.Server, live []chivehillcatalog.Host) []chivehillcatalog.Host {
	region := h.settings.Domains[s.Domain]
	var inDomain, inRegion []chivehillcatalog.Host
	for _, e := range live {
		if e.Domain == s.Domain {
			inDomain = append(inDomain, e)
		}
		if e.Region == region {
			inRegion = append(inRegion, e)
		}
	}
	switch {
	case len(inDomain) > 0:
		return inDomain
	case len(inRegion) > 0:
		return inRegion
	}
	return live
}
