// Package chivehillsuspect tracks requests that broke connections to servers, so that
// a request that crashes servers is not sent to one server after another. A kill is
// a broken connection to a server that was running the request; callers decide which
// broken connections they record.
package chivehillsuspect

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
)

const (
	// EntryTTL is the time for which an entry is kept after its last kill.
	EntryTTL = 60 * chivehillclock.Second
	// KillLimitIdempotent is the number of kills at which an idempotent request is refused.
	KillLimitIdempotent = 2
	// KillLimitNonIdempotent is the number of kills at which any other request is refused.
	KillLimitNonIdempotent = 1
	// maxEntries bounds the memory that the table uses.
	maxEntries = 10_000
)

// Table counts kills by request. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// entries holds at most maxEntries requests.
	entries map[chivehillid.Fingerprint]*entry
}

type entry struct {
	until chivehillclock.Millis
	// regions are those that may know of the request, as far as this host has observed its kills.
	regions chivehillregion.Set
	// kills holds the count of each reporting host, so that a report that is received
	// twice is not counted twice.
	kills map[chivehillid.HostID]int
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[chivehillid.Fingerprint]*entry)}
}

// Report is what one host has observed of a request.
type Report struct {
	Fingerprint chivehillid.Fingerprint
	Host        chivehillid.HostID
	Kills       int
	// Left is how much longer the report holds, at most EntryTTL.
	Left chivehillclock.Millis
	// Regions are those that may know of the request. It allows none if this host knows of the
	// request from others only.
	Regions chivehillregion.Set
}

// Reports returns all reports that still hold.
func (t *Table) Reports(now chivehillclock.Millis) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for fingerprint, e := range t.entries {
		if now >= e.until {
			continue
		}
		for host, kills := range e.kills {
			reports = append(reports, Report{Fingerprint: fingerprint, Host: host, Kills: kills, Left: e.until - now, Regions: e.regions})
		}
	}
	return reports
}

// Record counts one more kill observed by host, of a request that the given regions may know
// of, and returns the number of kills that this host has observed.
func (t *Table) Record(now chivehillclock.Millis, fingerprint chivehillid.Fingerprint, host chivehillid.HostID, regions chivehillregion.Set) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, fingerprint)
	if e == nil {
		return 1
	}
	e.kills[host]++
	e.until, e.regions = now+EntryTTL, regions
	return e.kills[host]
}

// Merge merges the count that another host reported; remaining is how long the report
// is still valid.
func (t *Table) Merge(now chivehillclock.Millis, fingerprint chivehillid.Fingerprint, host chivehillid.HostID, kills int, remaining chivehillclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, fingerprint)
	if e == nil {
		return
	}
	e.kills[host] = max(e.kills[host], kills)
	e.until = max(e.until, now+min(remaining, EntryTTL))
}

// Kills returns the number of kills of a request over all hosts.
func (t *Table) Kills(now chivehillclock.Millis, fingerprint chivehillid.Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil || now >= e.until {
		return 0
	}
	sum := 0
	for _, n := range e.kills {
		sum += n
	}
	return sum
}

// entry returns the entry of a request and creates it if needed. It returns nil if
// the table is full and no entry has expired.
func (t *Table) entry(now chivehillclock.Millis, fingerprint chivehillid.Fingerprint) *entry {
	e := t.entries[fingerprint]
	if e != nil && now < e.until {
		return e
	}
	if e == nil && len(t.entries) >= maxEntries {
		t.sweep(now)
		if len(t.entries) >= maxEntries {
			return nil
		}
	}
	e = &entry{until: now + EntryTTL, kills: make(map[chivehillid.HostID]int)}
	t.entries[fingerprint] = e
	return e
}

func (t *Table) sweep(now chivehillclock.Millis) {
	for fingerprint, e := range t.entries {
		if now >= e.until {
			delete(t.entries, fingerprint)
		}
	}
}

// KillLimit returns the number of kills at which a request is refused.
func KillLimit(idempotent bool) int {
	if idempotent {
		return KillLimitIdempotent
	}
	return KillLimitNonIdempotent
}
