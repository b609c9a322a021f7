// Package chivehillslot runs the state machines of the pools at a host. It passes
// events to them under one lock for each pool and carries out the returned actions.
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
	"github.com/chivehill/chivehill/internal/chivehillwake"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Hooks are the callbacks of a Manager. They are called while the lock of a pool
// is held and must not block.
type Hooks struct {
	// Send sends messages to a peer.
	Send func(to chivehillid.HostID, m chivehillwire.PoolMessages)
	// Released is called when a server that this host no longer owns has no granted
	// slots left.
	Released func(pool chivehillid.PoolID, r chivehillbalance.Released)
}

// Manager holds the pools of a host and grants slots of their servers to requests.
// It is safe for concurrent use.
type Manager struct {
	clock *chivehillclock.Clock
	hooks Hooks

	mu     sync.RWMutex
	shards map[chivehillid.PoolID]*shard

	busyMu sync.Mutex
	// busy is the set of pools in which requests or slot requests wait.
	busy map[chivehillid.PoolID]bool
	// becameBusy is the channel of Busy.
	becameBusy chivehillwake.Signal
}

// shard holds one pool and the lock that protects it.
type shard struct {
	mu   sync.Mutex
	pool *chivehillbalance.Pool
	// pending holds the result channels of the requests that have neither got a slot
	// nor been refused. Each channel has room for its one result, so sending never
	// blocks.
	pending map[chivehillbalance.RequestID]chan result
	// lastID is the ID of the latest request. IDs start at 1.
	lastID chivehillbalance.RequestID
	// busy is set while the pool is in Manager.busy.
	busy bool
}

// result is the action that ends the wait for a slot: a Dispatch or a Refuse.
type result = chivehillbalance.Action

// New returns a manager without pools.
func New(clock *chivehillclock.Clock, hooks Hooks) *Manager {
	return &Manager{
		clock: clock, hooks: hooks, shards: make(map[chivehillid.PoolID]*shard),
		busy: make(map[chivehillid.PoolID]bool), becameBusy: chivehillwake.New(),
	}
}

// Slot is a granted slot of a server. Release must be called exactly once.
type Slot struct {
	chivehillbalance.Dispatch
	manager *Manager
	pool    chivehillid.PoolID
}

// Release releases the slot. took is the duration of the attempt; cold is set if
// the server reported a cold start.
func (s *Slot) Release(r chivehillbalance.Result, took chivehillclock.Millis, cold bool) {
	s.manager.handle(s.pool, chivehillbalance.Finish{Owner: s.Owner, Grant: s.Grant, Result: r, Took: took, Cold: cold})
}

// Acquire waits for a slot of a server in the pool. Its error is always a
// chivehillreason.Refusal with outcome not-run.
func (m *Manager) Acquire(ctx context.Context, pool chivehillid.PoolID, r chivehillbalance.Request) (*Slot, error) {
	s := m.shard(pool)
	if s == nil {
		return nil, notRun(chivehillreason.NoServer)
	}
	ch := make(chan result, 1)
	s.mu.Lock()
	s.lastID++
	r.ID = s.lastID
	s.pending[r.ID] = ch
	m.apply(pool, s, chivehillbalance.Submit{Request: r})
	s.mu.Unlock()
	// A result that is already there takes precedence over a cancelled context.
	select {
	case res := <-ch:
		return m.newSlot(pool, res)
	default:
	}
	select {
	case res := <-ch:
		return m.newSlot(pool, res)
	case <-ctx.Done():
		m.cancel(pool, s, r.ID, ch)
		return nil, notRun(chivehillreason.CallerGone)
	}
}

// cancel ends the wait for a slot. A slot that was granted in the meantime is
// released as unused.
func (m *Manager) cancel(pool chivehillid.PoolID, s *shard, id chivehillbalance.RequestID, ch chan result) {
	s.mu.Lock()
	delete(s.pending, id)
	m.apply(pool, s, chivehillbalance.Cancel{Request: id})
	s.mu.Unlock()
	select {
	case res := <-ch:
		if slot, err := m.newSlot(pool, res); err == nil {
			slot.Release(chivehillbalance.Unused, 0, false)
		}
	default:
	}
}

// newSlot returns the slot of a Dispatch or the refusal of a Refuse.
func (m *Manager) newSlot(pool chivehillid.PoolID, res result) (*Slot, error) {
	switch res := res.(type) {
	case chivehillbalance.Dispatch:
		return &Slot{Dispatch: res, manager: m, pool: pool}, nil
	case chivehillbalance.Refuse:
		return nil, notRun(res.Reason)
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

// Ensure creates the pools that do not exist yet and removes all pools without a
// config. Requests that wait in a removed pool are refused. The config of an
// existing pool stays unchanged.
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
		s.refusePending()
	}
}

// refusePending refuses all requests that wait for a slot.
func (s *shard) refusePending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ch := range s.pending {
		ch <- chivehillbalance.Refuse{Request: id, Reason: chivehillreason.NoServer}
		delete(s.pending, id)
	}
}

// Handle applies an event to a pool. It does nothing if the pool does not exist.
func (m *Manager) Handle(pool chivehillid.PoolID, e chivehillbalance.Event) {
	m.handle(pool, e)
}

// HandleAll applies an event to all pools.
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

// apply applies an event and carries out the returned actions. The caller holds
// s.mu.
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
	m.updateBusy(pool, s)
}

// deliver sends the result to the request that waits for it. A slot whose request
// no longer waits is released as unused. The caller holds s.mu.
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

// TickBusy applies a Tick to the busy pools. It reports whether there are any.
func (m *Manager) TickBusy() bool {
	m.busyMu.Lock()
	busy := slices.Sorted(maps.Keys(m.busy))
	m.busyMu.Unlock()
	for _, id := range busy {
		m.handle(id, chivehillbalance.Tick{})
	}
	return len(busy) > 0
}

// TickAll applies a Tick to all pools.
func (m *Manager) TickAll() {
	m.HandleAll(chivehillbalance.Tick{})
}

// Busy returns a channel that receives a value when requests or slot requests start
// to wait in a pool in which none waited. It holds at most one unread value.
func (m *Manager) Busy() <-chan struct{} {
	return m.becameBusy
}

// updateBusy adds the pool to the set of busy pools or removes it, and notifies the
// reader of Busy when it adds one. The caller holds s.mu.
func (m *Manager) updateBusy(pool chivehillid.PoolID, s *shard) {
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
	m.becameBusy.Wake()
}

// Pools returns the IDs of all pools, sorted.
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

// PoolStatus is the state of a pool that is shown to operators.
type PoolStatus struct {
	Pool    chivehillid.PoolID
	Load    chivehillwire.Load
	Servers []chivehillbalance.ServerStatus
	// Waiting is the number of requests of this host that wait for a slot.
	Waiting int
}

// Status returns the state of a pool. It has only the pool's ID if the pool does
// not exist.
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

// ProbesDue returns the servers of a pool for which a health probe is due.
func (m *Manager) ProbesDue(pool chivehillid.PoolID) []chivehillid.ServerID {
	s := m.shard(pool)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ProbesDue(m.clock.Now())
}
