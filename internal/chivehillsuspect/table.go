// Package chivehillsuspect remembers requests that killed connections of
// servers, so that one request does not bring down server after server.
package chivehillsuspect

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// Hold is the time for which a request is remembered.
	Hold = 60 * chivehillclock.Second
	// MostIdempotent is the number of servers that an idempotent request may kill.
	MostIdempotent = 2
	// MostOther is the number of servers that any other request may kill.
	MostOther = 1
	// maxEntries bounds the memory of the table.
	maxEntries = 10_000
)

// Table counts killed connections by request. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// entries holds at most maxEntries requests.
	entries map[chivehillid.Fingerprint]*entry
}

type entry struct {
	until chivehillclock.Millis
	// kills counts by the host that saw them, so that repeated news adds nothing.
	kills map[chivehillid.HostID]int
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[chivehillid.Fingerprint]*entry)}
}

// Record counts one more killed connection seen by host and returns how many
// that host has seen.
func (t *Table) Record(now chivehillclock.Millis, f chivehillid.Fingerprint, host chivehillid.HostID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, f)
	if e == nil {
		return 1
	}
	e.kills[host]++
	e.until = now + Hold
	return e.kills[host]
}

// Merge takes over what another host has seen.
func (t *Table) Merge(now chivehillclock.Millis, f chivehillid.Fingerprint, host chivehillid.HostID, kills int, left chivehillclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, f)
	if e == nil {
		return
	}
	e.kills[host] = max(e.kills[host], kills)
	e.until = max(e.until, now+min(left, Hold))
}

// Kills returns the number of connections that a request has killed.
func (t *Table) Kills(now chivehillclock.Millis, f chivehillid.Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil || now >= e.until {
		return 0
	}
	sum := 0
	for _, n := range e.kills {
		sum += n
	}
	return sum
}

// entry returns the entry of a request, a new one if needed, or nil if the
// table is full of entries that still count.
func (t *Table) entry(now chivehillclock.Millis, f chivehillid.Fingerprint) *entry {
	e := t.entries[f]
	if e != nil && now < e.until {
		return e
	}
	if e == nil && len(t.entries) >= maxEntries {
		t.sweep(now)
		if len(t.entries) >= maxEntries {
			return nil
		}
	}
	e = &entry{until: now + Hold, kills: make(map[chivehillid.HostID]int)}
	t.entries[f] = e
	return e
}

func (t *Table) sweep(now chivehillclock.Millis) {
	for f, e := range t.entries {
		if now >= e.until {
			delete(t.entries, f)
		}
	}
}

// Most returns the number of servers that a request may kill.
func Most(idempotent bool) int {
	if idempotent {
		return MostIdempotent
	}
	return MostOther
}
