package chivehillcatalog

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tombstoneKeep is the time for which a removal is remembered, so that a slower
// source cannot bring the record back.
const tombstoneKeep = time.Minute

// records is one collection. It is not safe for concurrent use.
type records struct {
	// asOf is the highest revision up to which the collection is complete.
	asOf Revision
	// known is set once the collection was complete.
	known bool
	live  map[string]Record
	// removed maps a removed record to the revision at which it was gone.
	removed map[string]tombstone
	// digest is the exclusive or of the digests of the live records.
	digest Digest
}

// Digest tells two states of a collection apart.
type Digest uint64

func (r Record) digest() Digest {
	return Digest(xxhash.Sum64String(r.Name + "@" + strconv.FormatUint(uint64(r.Revision), 10)))
}

type tombstone struct {
	revision Revision
	at       time.Time
}

func newRecords() *records {
	return &records{live: make(map[string]Record), removed: make(map[string]tombstone)}
}

// change is the effect of an update on one record.
type change struct {
	record Record
	// removed is set if the record is gone.
	removed bool
}

// apply takes an update over and returns the effects. Older news has none.
func (r *records) apply(now time.Time, u Update) []change {
	r.sweep(now)
	var changes []change
	named := make(map[string]bool, len(u.Records))
	for _, e := range u.Records {
		named[e.Name] = true
		if e.Deleted {
			changes = r.remove(now, changes, e.Name, max(e.Revision, u.AsOf))
			continue
		}
		if !r.isNews(e) {
			continue
		}
		if old, found := r.live[e.Name]; found {
			r.digest ^= old.digest()
		}
		r.digest ^= e.digest()
		r.live[e.Name] = e
		delete(r.removed, e.Name)
		changes = append(changes, change{record: e})
	}
	if u.Full {
		for name, e := range r.live {
			if !named[name] && e.Revision <= u.AsOf {
				changes = r.remove(now, changes, name, u.AsOf)
			}
		}
		r.known = true
	}
	if u.Full || u.Since <= r.asOf {
		r.asOf = max(r.asOf, u.AsOf)
	}
	return changes
}

func (r *records) isNews(e Record) bool {
	if old, found := r.live[e.Name]; found {
		return e.Revision > old.Revision
	}
	gone, found := r.removed[e.Name]
	return !found || e.Revision > gone.revision
}

// remove removes a record unless it changed after revision.
func (r *records) remove(now time.Time, changes []change, name string, revision Revision) []change {
	old, found := r.live[name]
	if !found || old.Revision > revision {
		return changes
	}
	delete(r.live, name)
	r.digest ^= old.digest()
	r.removed[name] = tombstone{revision: revision, at: now}
	return append(changes, change{record: old, removed: true})
}

func (r *records) sweep(now time.Time) {
	for name, t := range r.removed {
		if now.Sub(t.at) > tombstoneKeep {
			delete(r.removed, name)
		}
	}
}

// snapshot returns all records as one full update.
func (r *records) snapshot() Update {
	u := Update{Full: true, AsOf: r.asOf}
	for _, e := range r.live {
		u.Records = append(u.Records, e)
	}
	return u
}
