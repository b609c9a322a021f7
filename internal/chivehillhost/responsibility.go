package chivehillhost

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// responsibilityCache caches for which servers this host is responsible. It is
// valid for one set of live hosts.
type responsibilityCache struct {
	// generation is the value of liveGeneration before live was read.
	generation uint64
	// ready is set if this host was among the live ones.
	ready bool
	live  []chivehillcatalog.Host
	// decided maps a responsibilityKey to whether this host is responsible.
	decided sync.Map
}

type responsibilityKey struct {
	server chivehillid.ServerID
	domain chivehillid.DomainID
}

// responsible reports whether this host is the one that may send requests to a
// server while the server is cold.
func (h *Host) responsible(s chivehillcatalog.Server) bool {
	generation, ready := h.liveGeneration.Load(), h.ready()
	cache := h.responsibilityCache.Load()
	if cache == nil || cache.generation != generation || cache.ready != ready {
		cache = &responsibilityCache{generation: generation, ready: ready, live: h.live()}
		h.responsibilityCache.Store(cache)
	}
	key := responsibilityKey{server: s.ID, domain: s.Domain}
	if cached, found := cache.decided.Load(key); found {
		return cached.(bool)
	}
	chosen := h.chooseResponsible(s, cache.live) == h.self.ID
	cache.decided.Store(key, chosen)
	return chosen
}

// chooseResponsible chooses the responsible host by rendezvous hashing: among the
// live hosts of the server's failure domain, else of its region, else among all,
// the one with the highest hash of both identifiers.
func (h *Host) chooseResponsible(s chivehillcatalog.Server, live []chivehillcatalog.Host) chivehillid.HostID {
	region := h.settings.Domains[s.Domain]
	var best chivehillid.HostID
	bestLocality, bestHash := -1, uint64(0)
	for _, e := range live {
		locality := 0
		switch {
		case e.Domain == s.Domain:
			locality = 2
		case e.Region == region:
			locality = 1
		}
		hash := xxhash.Sum64String(string(s.ID) + "/" + string(e.ID))
		if locality > bestLocality || locality == bestLocality && hash > bestHash {
			best, bestLocality, bestHash = e.ID, locality, hash
		}
	}
	return best
}
