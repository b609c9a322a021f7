package chivehillcatalog

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tombstoneTTL is how long a removal is remembered, so that a source that lags
// behind cannot restore the record.
const tombstoneTTL = time.Minute

// records holds one collection. It is not safe for concurrent use.
type records struct {
	// asOf is the highest revision up to which the collection is complete.
	asOf Revision
	// synced is set once the collection has been listed in full.
	synced bool
	live   map[string]Record
	// tombstones maps the name of a removed record to its removal.
	tombstones map[string]tombstone
	// digest is the XOR of the digests of the live records.
	digest Digest
	// precedes reports whether a record is older than another one by its content, however
	// their revisions compare. It is nil if only the revision tells.
	precedes func(a, b Record) bool
	copied   copied
}

// Digest is a hash of the names and revisions of a collection's records. Two
// collections with the same digest are taken to be the same.
type Digest uint64

func (r Record) digest() Digest {
	return Digest(xxhash.Sum64String(r.Name + "@" + strconv.FormatUint(uint64(r.Revision), 10)))
}

// tombstone records when, and as of which revision, a record was removed.
type tombstone struct {
	revision  Revision
	removedAt time.Time
}

func newRecords() *records {
	return &records{live: make(map[string]Record), tombstones: make(map[string]tombstone)}
}

// change is a change of one record that took effect.
type change struct {
	record Record
	// removed is set if the record was removed. It may not have been held: peers learn of its
	// removal all the same.
	removed bool
	// late is set if the removal was learnt from an update that brought the record after the
	// collection was known to be complete without it.
	late bool
}

// apply merges an update and returns the changes that took effect. Records older
// than the ones held change nothing.
func (r *records) apply(now time.Time, u Update) []change {
	r.expireTombstones(now)
	r.copied.prepare(u)
	var changes []change
	present := make(map[string]bool, len(u.Records))
	goneUntil := u.goneUntil()
	for i, e := range u.Records {
		present[e.Name] = true
		if r.holdsNewer(e, u.Settled) {
			continue
		}
		if e.Deleted {
			revision := max(e.Revision, goneUntil[i])
			r.copied.forgetRemoved(e.Name, revision)
			if _, held := r.live[e.Name]; held {
				changes = r.remove(now, changes, e.Name, revision)
			} else {
				changes = r.learnRemoval(now, changes, change{record: e, removed: true}, revision)
			}
			continue
		}
		switch {
		case !r.isNewer(e):
		case r.knowsRemoved(e, u.AsOf):
			changes = r.learnRemoval(now, changes, change{record: e, removed: true, late: true}, r.asOf)
		default:
			changes = r.put(changes, e)
		}
	}
	if u.Full {
		for name, e := range r.live {
			switch {
			case present[name] || e.Revision > u.AsOf:
			case !u.Settled && r.isCopied(u.AsOf) && e.Revision.Era() < u.AsOf.Era():
				if r.precedes == nil {
					r.copied.missing[name] = true
				}
			default:
				changes = r.remove(now, changes, name, u.AsOf)
			}
		}
		r.synced = true
	}
	if u.Full || u.Since <= r.asOf {
		r.asOf = max(r.asOf, u.AsOf)
	}
	return changes
}

// isCopied reports whether a list as of a revision may be of the copy that the newest era
// began with.
func (r *records) isCopied(asOf Revision) bool { return asOf.Era() == r.copied.start.Era() }

// put stores a record in place of the one held.
func (r *records) put(changes []change, e Record) []change {
	if old, found := r.live[e.Name]; found {
		r.digest ^= old.digest()
	}
	r.digest ^= e.digest()
	r.live[e.Name] = e
	delete(r.tombstones, e.Name)
	r.copied.forget(e.Name)
	return append(changes, change{record: e})
}

// isNewer reports whether a record is newer than the one held, or than its removal.
func (r *records) isNewer(e Record) bool {
	if old, found := r.live[e.Name]; found {
		return e.Revision > old.Revision && (r.precedes == nil || !r.precedes(e, old))
	}
	removal, found := r.tombstones[e.Name]
	return !found || e.Revision > removal.revision
}

// knowsRemoved reports whether a record that is not held, of an update as of a revision, was
// removed before: the collection is complete up to a revision that is not older than either.
func (r *records) knowsRemoved(e Record, asOf Revision) bool {
	_, held := r.live[e.Name]
	return r.synced && !held && max(e.Revision, asOf) <= r.asOf
}

// remove removes a record that is held unless it was changed after revision.
func (r *records) remove(now time.Time, changes []change, name string, revision Revision) []change {
	old := r.live[name]
	if old.Revision > revision {
		return changes
	}
	r.rememberRemoval(now, name, revision)
	delete(r.live, name)
	r.copied.forget(name)
	r.digest ^= old.digest()
	return append(changes, change{record: old, removed: true})
}

// learnRemoval remembers by the given revision the removal of a record that is not held: a source
// that lags behind may bring the record. The removal is a change unless it was known, so that
// peers pass it on once. A record of an earlier era may only be missing in the copy: peers that
// hold it wait for its writer.
func (r *records) learnRemoval(now time.Time, changes []change, removal change, revision Revision) []change {
	known, found := r.tombstones[removal.record.Name]
	r.rememberRemoval(now, removal.record.Name, revision)
	if found && known.revision >= removal.record.Revision || removal.record.Revision.Era() != r.asOf.Era() {
		return changes
	}
	removal.record.Data = nil
	return append(changes, removal)
}

// rememberRemoval remembers that a record was removed by the given revision.
func (r *records) rememberRemoval(now time.Time, name string, revision Revision) {
	revision = max(revision, r.tombstones[name].revision)
	r.tombstones[name] = tombstone{revision: revision, removedAt: now}
}

// expireTombstones drops tombstones older than tombstoneTTL.
func (r *records) expireTombstones(now time.Time) {
	for name, t := range r.tombstones {
		if now.Sub(t.removedAt) > tombstoneTTL {
			delete(r.tombstones, name)
		}
	}
}

// passOn returns what peers are to learn of an applied update that made the given changes. An
// update of changes is passed on whole: what this collection knew before, a peer may lack, and
// the update's claim to be complete would not hold without it. If the collection was complete
// beyond the update, only the removals are passed on: a peer must not hold the records again.
func (r *records) passOn(u Update, changes []change) Update {
	late := slices.ContainsFunc(changes, func(e change) bool { return e.late })
	if len(changes) == 0 || u.Full || late || r.copied.mayContain(u) {
		return r.news(changes, u.Settled)
	}
	return Update{Since: u.Since, AsOf: u.AsOf, EraStart: r.copied.start, Settled: u.Settled, Records: u.Records}
}

// news returns changes of this collection for peers. It does not claim to be complete since an
// earlier revision: a peer may have held other records than this collection.
func (r *records) news(changes []change, settled bool) Update {
	u := Update{Since: r.asOf, AsOf: r.asOf, EraStart: r.copied.start, Settled: settled}
	for _, e := range changes {
		record := e.record
		record.Deleted = e.removed
		u.Records = append(u.Records, record)
	}
	return u
}

// snapshot returns the live records as a full update.
func (r *records) snapshot() Update {
	u := Update{Full: true, AsOf: r.asOf, EraStart: r.copied.start, Settled: r.copied.settled == r.copied.start.Era()}
	for _, e := range r.live {
		u.Records = append(u.Records, e)
	}
	return u
}
