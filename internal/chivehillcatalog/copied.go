package chivehillcatalog

import (
	"slices"
	"time"
)

// copied is what the first list of an era says otherwise than the records held. The store
// made it from an older copy, and its writers write again what the copy lacks. Until then
// the records held are the newer ones.
type copied struct {
	// start is the lowest revision of a first list of the newest era, of this host or of a
	// peer. The copy has no records after it.
	start Revision
	// older holds the listed records whose held ones, of an earlier era, are newer.
	older map[string]Record
	// missing holds the names of records of an earlier era that are not listed.
	missing map[string]bool
	// removed holds the listed records that were removed in an earlier era.
	removed map[string]Record
	// waitingFor is the era for which the writers are waited for, 0 if they are not.
	waitingFor Era
	// settled is the last era in which the wait for the writers has ended.
	settled Era
}

// prepare takes over the start of an era from an update. A list of the store, and a new
// era, replace what was noted before.
func (c *copied) prepare(u Update) {
	start := u.EraStart
	if u.FromStore && u.Full {
		start = u.AsOf
	}
	newEra := start.Era() > c.start.Era()
	if newEra || start.Era() == c.start.Era() && start != 0 && start < c.start {
		c.start = start
	}
	if newEra || u.FromStore && u.Full || c.older == nil {
		c.older, c.missing, c.removed = make(map[string]Record), make(map[string]bool), make(map[string]Record)
	}
}

// mayContain reports whether a record of an update may stem from the copy.
func (c *copied) mayContain(u Update) bool {
	return slices.ContainsFunc(u.Records, func(e Record) bool { return !e.Deleted && e.Revision <= c.start })
}

// beginWaiting returns the era if its writers have to be waited for from now on, else 0.
func (c *copied) beginWaiting() Era {
	if len(c.older)+len(c.missing) == 0 || c.waitingFor == c.start.Era() {
		return 0
	}
	c.waitingFor = c.start.Era()
	return c.waitingFor
}

// forget drops what is noted of a record's copy: a newer change of it has come.
func (c *copied) forget(name string) {
	delete(c.older, name)
	delete(c.missing, name)
	delete(c.removed, name)
}

// forgetRemoved drops what is noted of a record's copy if that was removed at a revision.
func (c *copied) forgetRemoved(name string, revision Revision) {
	if revision.Era() == c.start.Era() {
		c.forget(name)
	}
}

// holdsNewer reports whether a record of an update may stem from a copy that is older
// than the record held, or than its removal. If so, it notes the copied record. A settled
// update may replace the record held, but not undo its removal.
func (r *records) holdsNewer(e Record, settled bool) bool {
	if e.Deleted || e.Revision > r.copied.start || r.precedes != nil {
		return false
	}
	if old, found := r.live[e.Name]; found {
		if !settled && old.Revision.Era() < e.Revision.Era() && e.Revision.Number() < old.Revision.Number() {
			r.copied.older[e.Name] = e
			return true
		}
		return false
	}
	removal, found := r.tombstones[e.Name]
	if !found || removal.revision.Era() >= e.Revision.Era() || e.Revision.Number() > removal.revision.Number() {
		return false
	}
	r.copied.removed[e.Name] = e
	return true
}

// settle gives up the records of an earlier era than the given one that have not been
// written again, and returns the changes. Records that were removed stay removed.
func (r *records) settle(now time.Time, era Era) []change {
	if r.copied.start.Era() != era {
		return nil
	}
	var changes []change
	for _, e := range r.copied.older {
		if r.isNewer(e) {
			changes = r.put(changes, e)
		}
	}
	for name := range r.copied.missing {
		changes = r.remove(now, changes, name, r.asOf)
	}
	clear(r.copied.older)
	clear(r.copied.missing)
	r.copied.waitingFor, r.copied.settled = 0, era
	return changes
}
