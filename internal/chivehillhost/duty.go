package chivehillhost

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// duties tells for which servers this host is responsible while the same hosts
// are live.
type duties struct {
	// generation is the number of changes of the live hosts before live was read.
	generation uint64
	// ready is whether this host was among the live ones.
	ready bool
	live  []chivehillcatalog.Host
	// decided maps a dutyKey to whether this host is responsible.
	decided sync.Map
}

type dutyKey struct {
	server chivehillid.ServerID
	domain chivehillid.DomainID
}

// responsible reports whether this host is the one that sends to a server while
// it is cold: the live host of the server's failure domain, else of its region,
// else of all, with the highest hash of both names.
func (h *Host) responsible(s chivehillcatalog.Server) bool {
	generation, ready := h.hostsChanged.Load(), h.ready()
	d := h.duties.Load()
	if d == nil || d.generation != generation || d.ready != ready {
		d = &duties{generation: generation, ready: ready, live: h.live()}
		h.duties.Store(d)
	}
	key := dutyKey{server: s.ID, domain: s.Domain}
	if known, found := d.decided.Load(key); found {
		return known.(bool)
	}
	own := h.chooseResponsible(s, d.live) == h.self.ID
	d.decided.Store(key, own)
	return own
}

func (h *Host) chooseResponsible(s chivehillcatalog.Server, live []chivehillcatalog.Host) chivehillid.HostID {
	region := h.settings.Domains[s.Domain]
	var best chivehillid.HostID
	bestRank, bestHash := -1, uint64(0)
	for _, e := range live {
		rank := 0
		switch {
		case e.Domain == s.Domain:
			rank = 2
		case e.Region == region:
			rank = 1
		}
		hash := xxhash.Sum64String(string(s.ID) + "/" + string(e.ID))
		if rank > bestRank || rank == bestRank && hash > bestHash {
			best, bestRank, bestHash = e.ID, rank, hash
		}
	}
	return best
}
