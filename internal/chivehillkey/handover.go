package chivehillkey

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Stop makes the table refuse new keys permanently.
func (t *Table) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
}

// Export returns all stored keys, for the successor of a host that leaves the
// cluster. Requests that are still running are exported with outcome unknown.
// Stop must be called first, so that no key is added after the export.
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
	exported := chivehillwire.KeptKey{Key: k.String(), RegionBound: e.regionBound, Outcome: string(chivehillreason.Unknown)}
	select {
	case <-e.done:
		exported.Outcome = string(e.answer.Outcome)
		exported.Status = e.answer.Status
		exported.Header = e.answer.Header
		exported.Body = e.answer.Body
	default:
	}
	return exported
}

// Adopted holds the key tables that other hosts handed over before they left the
// cluster. Requests with these keys are answered from the tables and never run.
// It is safe for concurrent use.
type Adopted struct {
	mu     sync.Mutex
	tables map[chivehillid.Incarnation]*handedOverTable
}

// handedOverTable is the key table of one incarnation, or the parts of it that have
// arrived.
type handedOverTable struct {
	answers map[string]Answer
	// complete is set once the last part has arrived.
	complete bool
	// expires is the time at which the table is removed.
	expires chivehillclock.Millis
}

// NewAdopted returns an empty set of handed-over tables.
func NewAdopted() *Adopted {
	return &Adopted{tables: make(map[chivehillid.Incarnation]*handedOverTable)}
}

// Add stores a part of a table and reports whether the table is complete. Each
// part makes the table expire at now+keep.
func (a *Adopted) Add(now, keep chivehillclock.Millis, h chivehillwire.Handover) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tables[h.Incarnation]
	if t == nil {
		t = &handedOverTable{answers: make(map[string]Answer)}
		a.tables[h.Incarnation] = t
	}
	for _, k := range h.Keys {
		t.answers[k.Key] = Answer{
			Outcome: chivehillreason.Outcome(k.Outcome), Status: k.Status, Header: k.Header, Body: k.Body,
		}
	}
	t.complete = t.complete || h.Last
	t.expires = now + keep
	return t.complete
}

// Answer returns the answer for a key of a host that left. It reports false if
// the table of that host is missing, incomplete or expired.
func (a *Adopted) Answer(now chivehillclock.Millis, k Key) (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tables[k.Incarnation]
	if t == nil || !t.complete || now >= t.expires {
		return Answer{}, false
	}
	answer, found := t.answers[k.String()]
	if found {
		return answer, true
	}
	// The previous host stopped taking new keys before it exported its table, so a
	// key that is not in the table never ran and never will.
	return Answer{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyNeverUsed}, true
}

// Expire removes the tables whose lifetime has ended.
func (a *Adopted) Expire(now chivehillclock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, t := range a.tables {
		if now >= t.expires {
			delete(a.tables, i)
		}
	}
}
