package chivehillcatalog

import "time"

// copied is what the first list of an era says otherwise than the records held. The store
// made it from an older copy, and its writers write again what the copy lacks. Until then
// the records held are the newer ones.
type copied struct {
	// start is the revision of the first list of the newest era.
	start Revision
	// older holds the listed records whose held ones, of an earlier era, are newer.
	older map[string]Record
	// missing holds the names of records of an earlier era that are not listed.
	missing map[string]bool
	// removed holds the listed records that were removed in an earlier era.
	removed map[string]Record
}

// begin prepares for a list from the store.
func (c *copied) begin(asOf Revision) {
	if asOf.Era() > c.start.Era() {
		c.start = asOf
	}
	c.older, c.missing, c.removed = make(map[string]Record), make(map[string]bool), make(map[string]Record)
}

// forget drops what is known of a record's copy: a newer change of it has come.
func (c *copied) forget(name string) {
	delete(c.older, name)
	delete(c.missing, name)
	delete(c.removed, name)
}

// holdsNewer reports whether a record from the store may stem from a copy that is older
// than the record held, or than its removal. If so, it notes the copied record.
func (r *records) holdsNewer(e Record) bool {
	if e.Deleted || e.Revision > r.copied.start || r.precedes != nil {
		return false
	}
	if old, found := r.live[e.Name]; found {
		if old.Revision.Era() < e.Revision.Era() && e.Revision.Number() < old.Revision.Number() {
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
	return changes
}
