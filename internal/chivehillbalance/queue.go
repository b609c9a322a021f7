package chivehillbalance

import (
	"cmp"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// askKey identifies an ask: its sender and the sender's number for it. The
// requests of this host use its own name and the request's number.
type askKey struct {
	from chivehillid.HostID
	ask  chivehillid.AskID
}

// entry is one ask that waits for a slot.
type entry struct {
	key askKey
	// deadline is the time until which the ask may wait.
	deadline chivehillclock.Millis
	// runUntil is the deadline of the request. It is not before deadline.
	runUntil chivehillclock.Millis
	tenant   chivehillid.TenantID
	exclude  []chivehillid.ServerID
}

// tenantQueue holds the entries of one tenant, earliest deadline first.
type tenantQueue struct {
	entries []*entry
	// served is the virtual time of the tenant: how many slots it was given,
	// raised to the queue's virtual time when the tenant becomes active.
	served float64
}

// waitQueue shares slots evenly between tenants and serves the earliest
// deadline first within a tenant.
type waitQueue struct {
	tenants map[chivehillid.TenantID]*tenantQueue
	byKey   map[askKey]*entry
	// virtual is the served count of the tenant that was served last.
	virtual float64
	// single puts all tenants into one queue.
	single bool
}

func newWaitQueue(single bool) *waitQueue {
	return &waitQueue{
		tenants: make(map[chivehillid.TenantID]*tenantQueue),
		byKey:   make(map[askKey]*entry),
		single:  single,
	}
}

func (q *waitQueue) len() int {
	return len(q.byKey)
}

// tenantLen returns the number of waiting entries of a tenant.
func (q *waitQueue) tenantLen(tenant chivehillid.TenantID) int {
	t := q.tenants[q.class(tenant)]
	if t == nil {
		return 0
	}
	return len(t.entries)
}

// active returns the number of tenants with waiting entries.
func (q *waitQueue) active() int {
	return len(q.tenants)
}

func (q *waitQueue) class(tenant chivehillid.TenantID) chivehillid.TenantID {
	if q.single {
		return ""
	}
	return tenant
}

func (q *waitQueue) push(e *entry) {
	class := q.class(e.tenant)
	t := q.tenants[class]
	if t == nil {
		t = &tenantQueue{served: q.virtual}
		q.tenants[class] = t
	}
	at, _ := slices.BinarySearchFunc(t.entries, e.deadline, func(e *entry, d chivehillclock.Millis) int {
		if e.deadline <= d {
			return -1
		}
		return 1
	})
	t.entries = slices.Insert(t.entries, at, e)
	q.byKey[e.key] = e
}

// remove takes an entry out if it is there.
func (q *waitQueue) remove(key askKey) {
	e := q.byKey[key]
	if e == nil {
		return
	}
	delete(q.byKey, key)
	class := q.class(e.tenant)
	t := q.tenants[class]
	t.entries = slices.DeleteFunc(t.entries, func(other *entry) bool { return other == e })
	if len(t.entries) == 0 {
		delete(q.tenants, class)
	}
}

// order returns the head of each tenant's queue, the tenant served least first.
func (q *waitQueue) order() []*entry {
	heads := make([]*entry, 0, len(q.tenants))
	for _, t := range q.tenants {
		heads = append(heads, t.entries[0])
	}
	slices.SortFunc(heads, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(q.tenants[q.class(a.tenant)].served, q.tenants[q.class(b.tenant)].served),
			cmp.Compare(a.deadline, b.deadline),
			cmp.Compare(a.key.from, b.key.from),
			cmp.Compare(a.key.ask, b.key.ask),
		)
	})
	return heads
}

// take removes an entry that is given a slot and charges its tenant.
func (q *waitQueue) take(e *entry) {
	t := q.tenants[q.class(e.tenant)]
	q.virtual = t.served
	t.served++
	q.remove(e.key)
}

// expired removes and returns the entries whose deadline is not after limit.
func (q *waitQueue) expired(limit chivehillclock.Millis) []*entry {
	var late []*entry
	for _, t := range q.tenants {
		for _, e := range t.entries {
			if e.deadline > limit {
				break
			}
			late = append(late, e)
		}
	}
	slices.SortFunc(late, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.key.from, b.key.from), cmp.Compare(a.key.ask, b.key.ask))
	})
	for _, e := range late {
		q.remove(e.key)
	}
	return late
}

// all returns all entries in a fixed order.
func (q *waitQueue) all() []*entry {
	entries := make([]*entry, 0, len(q.byKey))
	for _, e := range q.byKey {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.key.from, b.key.from), cmp.Compare(a.key.ask, b.key.ask))
	})
	return entries
}
