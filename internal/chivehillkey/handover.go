package chivehillkey

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Stop makes the table refuse new keys for good.
func (t *Table) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// Export returns all keys for the successor of a host that leaves. Requests
// that have not ended are exported with outcome unknown. Call Stop first.
func (t *Table) Export() []chivehillwire.KeptKey {
	var keys []chivehillwire.KeptKey
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for n, entries := range s.entries {
			for suffix, e := range entries {
				k := Key{Host: t.host, Incarnation: t.incarnation, Window: n, Suffix: suffix}
				keys = append(keys, e.export(k))
			}
		}
		s.mu.Unlock()
	}
	return keys
}

func (e *Entry) export(k Key) chivehillwire.KeptKey {
	kept := chivehillwire.KeptKey{Key: k.String(), RegionBound: e.bound, Outcome: string(chivehillreason.Unknown)}
	select {
	case <-e.ended:
		kept.Outcome = string(e.answer.Outcome)
		kept.Status = e.answer.Status
		kept.Header = e.answer.Header
		kept.Body = e.answer.Body
	default:
	}
	return kept
}

// Adopted holds the key tables of hosts that left. It only answers: no key in
// it ever runs. It is safe for concurrent use.
type Adopted struct {
	mu     sync.Mutex
	tables map[chivehillid.Incarnation]*adoptedTable
}

type adoptedTable struct {
	answers map[string]Answer
	// complete is set once the last part has arrived.
	complete bool
	until    chivehillclock.Millis
}

// NewAdopted returns an empty set of tables.
func NewAdopted() *Adopted {
	return &Adopted{tables: make(map[chivehillid.Incarnation]*adoptedTable)}
}

// Add takes over a part of a table and reports whether the table is complete.
func (a *Adopted) Add(now, keep chivehillclock.Millis, h chivehillwire.Handover) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tables[h.Incarnation]
	if t == nil {
		t = &adoptedTable{answers: make(map[string]Answer)}
		a.tables[h.Incarnation] = t
	}
	for _, k := range h.Keys {
		t.answers[k.Key] = Answer{
			Outcome: chivehillreason.Outcome(k.Outcome), Status: k.Status, Header: k.Header, Body: k.Body,
		}
	}
	t.complete = t.complete || h.Last
	t.until = now + keep
	return t.complete
}

// Answer looks up a key of a host that left. It reports false if this host
// does not hold the whole table.
func (a *Adopted) Answer(now chivehillclock.Millis, k Key) (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tables[k.Incarnation]
	if t == nil || !t.complete || now >= t.until {
		return Answer{}, false
	}
	answer, known := t.answers[k.String()]
	if known {
		return answer, true
	}
	// The old host takes no new keys for good and handed over all it knew.
	return Answer{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyNeverUsed}, true
}

// Expire forgets tables whose time is over.
func (a *Adopted) Expire(now chivehillclock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, t := range a.tables {
		if now >= t.until {
			delete(a.tables, i)
		}
	}
}
