// Package chivehillslot runs the pool state machines of a host: one shard for
// each pool, each under its own lock.
package chivehillslot

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Hooks connect the manager with the rest of the host. They are called while
// the lock of one pool is held and must not block.
type Hooks struct {
	// Send passes messages to a peer.
	Send func(to chivehillid.HostID, m chivehillwire.PoolMessages)
	// Released tells that a server that is no longer owned has no granted slot left.
	Released func(pool chivehillid.PoolID, r chivehillbalance.Released)
}

// Manager is safe for concurrent use.
type Manager struct {
	clock *chivehillclock.Clock
	hooks Hooks

	mu     sync.RWMutex
	shards map[chivehillid.PoolID]*shard

	busyMu sync.Mutex
	// busy holds the pools in which requests wait.
	busy map[chivehillid.PoolID]bool
	wake chan struct{}
}

// shard holds one pool under its own lock.
type shard struct {
	mu   sync.Mutex
	pool *chivehillbalance.Pool
	// pending holds the requests that have neither a slot nor a refusal.
	pending map[chivehillbalance.RequestID]chan result
	next    chivehillbalance.RequestID
	// busy is set while the pool is in the manager's set of busy pools.
	busy bool
}

// result ends an attempt to get a slot: a Dispatch or a Refuse.
type result = chivehillbalance.Action

// New returns a manager without pools.
func New(clock *chivehillclock.Clock, hooks Hooks) *Manager {
	return &Manager{
		clock: clock, hooks: hooks, shards: make(map[chivehillid.PoolID]*shard),
		busy: make(map[chivehillid.PoolID]bool), wake: make(chan struct{}, 1),
	}
}

// Slot is a granted slot of a server. It must be released exactly once.
type Slot struct {
	chivehillbalance.Dispatch
	manager *Manager
	pool    chivehillid.PoolID
}

// Release gives the slot back.
func (s *Slot) Release(r chivehillbalance.Result, took chivehillclock.Millis, cold bool) {
	s.manager.handle(s.pool, chivehillbalance.Finish{Owner: s.Owner, Grant: s.Grant, Result: r, Took: took, Cold: cold})
}

// Acquire waits for a slot. The error is a chivehillreason.Refusal.
func (m *Manager) Acquire(ctx context.Context, pool chivehillid.PoolID, r chivehillbalance.Request) (*Slot, error) {
	s := m.shard(pool)
	if s == nil {
		return nil, notRun(chivehillreason.NoServer)
	}
	ch := make(chan result, 1)
	s.mu.Lock()
	s.next++
	r.ID = s.next
	s.pending[r.ID] = ch
	m.apply(pool, s, chivehillbalance.Submit{Request: r})
	s.mu.Unlock()
	select {
	case got := <-ch:
		return m.slot(pool, got)
	default:
	}
	select {
	case got := <-ch:
		return m.slot(pool, got)
	case <-ctx.Done():
		m.cancel(pool, s, r.ID, ch)
		return nil, notRun(chivehillreason.CallerGone)
	}
}

// cancel ends an attempt. A slot that was granted meanwhile is given back.
func (m *Manager) cancel(pool chivehillid.PoolID, s *shard, id chivehillbalance.RequestID, ch chan result) {
	s.mu.Lock()
	delete(s.pending, id)
	m.apply(pool, s, chivehillbalance.Cancel{Request: id})
	s.mu.Unlock()
	select {
	case got := <-ch:
		if slot, err := m.slot(pool, got); err == nil {
			slot.Release(chivehillbalance.Unused, 0, false)
		}
	default:
	}
}

func (m *Manager) slot(pool chivehillid.PoolID, got result) (*Slot, error) {
	switch got := got.(type) {
	case chivehillbalance.Dispatch:
		return &Slot{Dispatch: got, manager: m, pool: pool}, nil
	case chivehillbalance.Refuse:
		return nil, notRun(got.Reason)
	case chivehillbalance.Send, chivehillbalance.Released:
	}
	return nil, notRun(chivehillreason.Internal)
}

func notRun(r chivehillreason.Reason) chivehillreason.Refusal {
	return chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: r}
}

func (m *Manager) shard(pool chivehillid.PoolID) *shard {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.shards[pool]
}

// Ensure makes the pools exist and drops all others. Requests that wait in a
// dropped pool are refused.
func (m *Manager) Ensure(configs []chivehillbalance.Config) {
	wanted := make(map[chivehillid.PoolID]bool, len(configs))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range configs {
		wanted[c.Pool] = true
		if m.shards[c.Pool] == nil {
			m.shards[c.Pool] = &shard{
				pool: chivehillbalance.New(c), pending: make(map[chivehillbalance.RequestID]chan result),
			}
		}
	}
	for id, s := range m.shards {
		if wanted[id] {
			continue
		}
		delete(m.shards, id)
		s.refuseAll()
	}
}

func (s *shard) refuseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ch := range s.pending {
		ch <- chivehillbalance.Refuse{Request: id, Reason: chivehillreason.NoServer}
		delete(s.pending, id)
	}
}

// Handle applies an event to a pool.
func (m *Manager) Handle(pool chivehillid.PoolID, e chivehillbalance.Event) {
	m.handle(pool, e)
}

// HandleAll applies an event to each pool.
func (m *Manager) HandleAll(e chivehillbalance.Event) {
	for _, id := range m.Pools() {
		m.handle(id, e)
	}
}

func (m *Manager) handle(pool chivehillid.PoolID, e chivehillbalance.Event) {
	s := m.shard(pool)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m.apply(pool, s, e)
}

// apply handles an event and carries out its actions. The caller holds s.mu.
func (m *Manager) apply(pool chivehillid.PoolID, s *shard, e chivehillbalance.Event) {
	for _, a := range s.pool.Handle(m.clock.Now(), e) {
		switch a := a.(type) {
		case chivehillbalance.Dispatch:
			m.deliver(pool, s, a.Request, a)
		case chivehillbalance.Refuse:
			m.deliver(pool, s, a.Request, a)
		case chivehillbalance.Send:
			m.hooks.Send(a.To, a.Messages)
		case chivehillbalance.Released:
			m.hooks.Released(pool, a)
		}
	}
	m.noteBusy(pool, s)
}

// deliver hands the end of an attempt to the request that waits for it.
func (m *Manager) deliver(pool chivehillid.PoolID, s *shard, id chivehillbalance.RequestID, a result) {
	ch := s.pending[id]
	delete(s.pending, id)
	if ch != nil {
		ch <- a
		return
	}
	if d, ok := a.(chivehillbalance.Dispatch); ok {
		m.apply(pool, s, chivehillbalance.Finish{Owner: d.Owner, Grant: d.Grant, Result: chivehillbalance.Unused})
	}
}

// TickBusy lets time pass in the pools in which requests wait. It reports
// whether there are any.
func (m *Manager) TickBusy() bool {
	m.busyMu.Lock()
	busy := slices.Sorted(maps.Keys(m.busy))
	m.busyMu.Unlock()
	for _, id := range busy {
		m.handle(id, chivehillbalance.Tick{})
	}
	return len(busy) > 0
}

// TickAll lets time pass in all pools.
func (m *Manager) TickAll() {
	m.HandleAll(chivehillbalance.Tick{})
}

// Busy receives a value when requests begin to wait while none waited before.
func (m *Manager) Busy() <-chan struct{} {
	return m.wake
}

// noteBusy keeps the set of busy pools up to date. The caller holds s.mu.
func (m *Manager) noteBusy(pool chivehillid.PoolID, s *shard) {
	busy := s.pool.Busy()
	if busy == s.busy {
		return
	}
	s.busy = busy
	m.busyMu.Lock()
	defer m.busyMu.Unlock()
	if !busy {
		delete(m.busy, pool)
		return
	}
	m.busy[pool] = true
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Pools returns the names of all pools, sorted.
func (m *Manager) Pools() []chivehillid.PoolID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	ids := make([]chivehillid.PoolID, 0, len(m.shards))
	for id := range m.shards {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}

// PoolStatus describes a pool for operators.
type PoolStatus struct {
	Pool    chivehillid.PoolID
	Load    chivehillwire.Load
	Servers []chivehillbalance.ServerStatus
	// Waiting is the number of requests of this host that wait for a slot.
	Waiting int
}

// Status returns the state of a pool.
func (m *Manager) Status(pool chivehillid.PoolID) PoolStatus {
	s := m.shard(pool)
	if s == nil {
		return PoolStatus{Pool: pool}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := m.clock.Now()
	return PoolStatus{Pool: pool, Load: s.pool.Load(now), Servers: s.pool.Servers(now), Waiting: s.pool.Waiting()}
}

// ProbesDue returns the servers of a pool that a health probe is due for.
func (m *Manager) ProbesDue(pool chivehillid.PoolID) []chivehillid.ServerID {
	s := m.shard(pool)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ProbesDue(m.clock.Now())
}
