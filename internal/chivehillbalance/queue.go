package chivehillbalance

import (
	"cmp"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// slotRequestKey identifies a slot request by its sender and the sender's ID for
// it. Requests of this host use the host's own ID and the request ID.
type slotRequestKey struct {
	from chivehillid.HostID
	ask  chivehillid.AskID
}

// entry is a queued slot request.
type entry struct {
	key slotRequestKey
	// waitUntil is the time until which the entry may wait.
	waitUntil chivehillclock.Millis
	// requestDeadline is the deadline of the request. It is not before waitUntil.
	requestDeadline chivehillclock.Millis
	tenant          chivehillid.TenantID
	exclude         []chivehillid.ServerID
}

// tenantQueue holds the entries of one tenant, ordered by waitUntil.
type tenantQueue struct {
	entries []*entry
	// virtualTime is the number of slots that the tenant was granted, raised to the
	// virtual time of the waitQueue when the tenant becomes active.
	virtualTime float64
}

// waitQueue is a fair queue: it shares slots evenly between tenants, and serves
// the entry with the earliest waitUntil first within a tenant.
type waitQueue struct {
	tenants map[chivehillid.TenantID]*tenantQueue
	byKey   map[slotRequestKey]*entry
	// virtualTime is the virtual time that the tenant served last had before that grant.
	virtualTime float64
	// single puts all tenants into one queue, which disables fair sharing.
	single bool
}

func newWaitQueue(single bool) *waitQueue {
	return &waitQueue{
		tenants: make(map[chivehillid.TenantID]*tenantQueue),
		byKey:   make(map[slotRequestKey]*entry),
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
		t = &tenantQueue{virtualTime: q.virtualTime}
		q.tenants[class] = t
	}
	at, _ := slices.BinarySearchFunc(t.entries, e.waitUntil, func(e *entry, d chivehillclock.Millis) int {
		if e.waitUntil <= d {
			return -1
		}
		return 1
	})
	t.entries = slices.Insert(t.entries, at, e)
	q.byKey[e.key] = e
}

// remove removes an entry if it is queued.
func (q *waitQueue) remove(key slotRequestKey) {
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

// order returns the head of each tenant's queue, lowest virtual time first.
func (q *waitQueue) order() []*entry {
	heads := make([]*entry, 0, len(q.tenants))
	for _, t := range q.tenants {
		heads = append(heads, t.entries[0])
	}
	slices.SortFunc(heads, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(q.tenants[q.class(a.tenant)].virtualTime, q.tenants[q.class(b.tenant)].virtualTime),
			cmp.Compare(a.waitUntil, b.waitUntil),
			cmp.Compare(a.key.from, b.key.from),
			cmp.Compare(a.key.ask, b.key.ask),
		)
	})
	return heads
}

// take removes an entry that is granted a slot and advances its tenant's virtual time.
func (q *waitQueue) take(e *entry) {
	t := q.tenants[q.class(e.tenant)]
	q.virtualTime = t.virtualTime
	t.virtualTime++
	q.remove(e.key)
}

// expired removes and returns the entries whose waitUntil is not after limit.
func (q *waitQueue) expired(limit chivehillclock.Millis) []*entry {
	var late []*entry
	for _, t := range q.tenants {
		for _, e := range t.entries {
			if e.waitUntil > limit {
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
