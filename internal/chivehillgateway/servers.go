package chivehillgateway

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// Servers holds the connections to each server. It is safe for concurrent use.
type Servers struct {
	dialect chivehillupstream.Dialect

	mu    sync.Mutex
	pools map[chivehillid.ServerID]*serverPool
}

type serverPool struct {
	address string
	pool    *chivehillupstream.Pool
}

// NewServers returns no connections.
func NewServers(dialect chivehillupstream.Dialect) *Servers {
	return &Servers{dialect: dialect, pools: make(map[chivehillid.ServerID]*serverPool)}
}

// Pool returns the connections to a server.
func (s *Servers) Pool(e chivehillcatalog.Server) *chivehillupstream.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[e.ID]
	if p == nil || p.address != e.Address {
		if p != nil {
			p.pool.Close()
		}
		p = &serverPool{address: e.Address, pool: chivehillupstream.NewPool(e.Address, s.dialect)}
		s.pools[e.ID] = p
	}
	return p.pool
}

// Keep closes the connections to servers that are gone and those idle for too long.
func (s *Servers) Keep(known map[chivehillid.ServerID]chivehillcatalog.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pools {
		if _, found := known[id]; !found {
			p.pool.Close()
			delete(s.pools, id)
			continue
		}
		p.pool.Sweep()
	}
}
