package chivehillgateway

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// Servers holds a connection pool for each server. It is safe for concurrent use.
type Servers struct {
	parser chivehillupstream.HeaderParser

	mu    sync.Mutex
	pools map[chivehillid.ServerID]*serverPool
}

type serverPool struct {
	address string
	pool    *chivehillupstream.Pool
}

// NewServers returns a Servers without connections.
func NewServers(parser chivehillupstream.HeaderParser) *Servers {
	return &Servers{parser: parser, pools: make(map[chivehillid.ServerID]*serverPool)}
}

// Pool returns the connection pool of a server. If the address of the server has
// changed, it closes the old pool and creates a new one.
func (s *Servers) Pool(server chivehillcatalog.Server) *chivehillupstream.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[server.ID]
	if p == nil || p.address != server.Address {
		if p != nil {
			p.pool.Close()
		}
		p = &serverPool{address: server.Address, pool: chivehillupstream.NewPool(server.Address, s.parser)}
		s.pools[server.ID] = p
	}
	return p.pool
}

// Keep closes the pools of servers that are not in known, and the connections of
// other servers that have been idle for too long.
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
