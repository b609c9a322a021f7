package chivehillgateway

import (
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// Pools holds a connection pool for each server. It is safe for concurrent use.
type Pools struct {
	parser chivehillupstream.HeaderParser
	memory *chivehillbudget.Memory
	// connections limits the connections of all pools; nil means no limit.
	connections *chivehillbudget.Memory

	mu    sync.Mutex
	pools map[chivehillid.ServerID]*serverPool
}

type serverPool struct {
	address string
	pool    *chivehillupstream.Pool
}

// NewPools returns a Pools without connections. memory limits the response bodies that are
// being read.
func NewPools(parser chivehillupstream.HeaderParser, memory *chivehillbudget.Memory) *Pools {
	return &Pools{parser: parser, memory: memory, pools: make(map[chivehillid.ServerID]*serverPool)}
}

// LimitConnections limits the connections of all pools. It must be called before Get.
func (s *Pools) LimitConnections(connections *chivehillbudget.Memory) { s.connections = connections }

// closeIdlest closes the least recently used idle connection of all pools.
func (s *Pools) closeIdlest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idlest *chivehillupstream.Pool
	var since time.Time
	for _, p := range s.pools {
		if at, idle := p.pool.IdleSince(); idle && (idlest == nil || at.Before(since)) {
			idlest, since = p.pool, at
		}
	}
	if idlest != nil {
		idlest.CloseIdlest()
	}
}

// Get returns the connection pool of a server. If the address of the server has
// changed, it closes the old pool and creates a new one.
func (s *Pools) Get(server chivehillcatalog.Server) *chivehillupstream.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[server.ID]
	if p == nil || p.address != server.Address {
		if p != nil {
			p.pool.Close()
		}
		p = &serverPool{address: server.Address, pool: chivehillupstream.NewPool(server.Address, s.parser, s.memory)}
		p.pool.LimitConnections(s.connections, s.closeIdlest)
		s.pools[server.ID] = p
	}
	return p.pool
}

// Prune closes the pools of servers that are not in known, and the connections of
// other servers that have been idle for too long.
func (s *Pools) Prune(known map[chivehillid.ServerID]chivehillcatalog.Server) {
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
