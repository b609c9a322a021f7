package chivehillcatalog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestOlderUpdatesDoNotRegressRecords(t *testing.T) {
	now := time.Now()
	tests := []struct {
		about   string
		updates []Update
		want    map[string]Revision
	}{
		{
			"older change of a record is ignored", []Update{
				{Full: true, AsOf: 5, Records: []Record{{Name: "a", Revision: 5}}},
				{AsOf: 4, Records: []Record{{Name: "a", Revision: 3}}},
			}, map[string]Revision{"a": 5},
		},
		{
			"removed record is not restored by a source that lags behind", []Update{
				{Full: true, AsOf: 5, Records: []Record{{Name: "a", Revision: 5}}},
				{AsOf: 7, Records: []Record{{Name: "a", Revision: 5, Deleted: true}}},
				{AsOf: 6, Records: []Record{{Name: "a", Revision: 5}}},
			}, map[string]Revision{},
		},
		{
			"record is created again after its removal", []Update{
				{AsOf: 7, Records: []Record{{Name: "a", Revision: 5, Deleted: true}}},
				{AsOf: 9, Records: []Record{{Name: "a", Revision: 9}}},
			}, map[string]Revision{"a": 9},
		},
		{
			"older list does not remove newer records", []Update{
				{AsOf: 9, Records: []Record{{Name: "b", Revision: 9}}},
				{Full: true, AsOf: 6, Records: []Record{{Name: "a", Revision: 4}}},
			}, map[string]Revision{"a": 4, "b": 9},
		},
		{
			"newer list without a record removes it", []Update{
				{Full: true, AsOf: 5, Records: []Record{{Name: "a", Revision: 4}, {Name: "b", Revision: 5}}},
				{Full: true, AsOf: 8, Records: []Record{{Name: "b", Revision: 5}}},
			}, map[string]Revision{"b": 5},
		},
	}
	for _, tt := range tests {
		t.Run(tt.about, func(t *testing.T) {
			r := newRecords()
			for _, u := range tt.updates {
				r.apply(now, u)
			}
			got := make(map[string]Revision)
			for name, e := range r.live {
				got[name] = e.Revision
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// TestRemovalUndoesALaterRecordOfTheSameUpdate guards against a record that is dropped because
// it was removed and written again within one update.
func TestRemovalUndoesALaterRecordOfTheSameUpdate(t *testing.T) {
	removed := func(revision Revision) Record { return Record{Name: "a", Revision: revision, Deleted: true} }
	written := func(revision Revision) Record { return Record{Name: "a", Revision: revision} }
	list := Update{Full: true, AsOf: 19, Records: []Record{written(19)}}
	tests := []struct {
		about   string
		updates []Update
		want    map[string]Revision
	}{
		{"removal with its own revision", []Update{list, {Since: 19, AsOf: 21, Records: []Record{removed(20), written(21)}}}, map[string]Revision{"a": 21}},
		{"removal with the revision of what it removes", []Update{list, {Since: 19, AsOf: 21, Records: []Record{removed(19), written(21)}}}, map[string]Revision{"a": 21}},
		{"other changes follow", []Update{list, {Since: 19, AsOf: 30, Records: []Record{removed(20), written(21), {Name: "b", Revision: 30}}}}, map[string]Revision{"a": 21, "b": 30}},
		{"first heard of in the update", []Update{{Full: true, AsOf: 17}, {Since: 17, AsOf: 21, Records: []Record{written(18), removed(20), written(21)}}}, map[string]Revision{"a": 21}},
		{"several times", []Update{list, {Since: 19, AsOf: 25, Records: []Record{removed(20), written(21), removed(22), written(23)}}}, map[string]Revision{"a": 23}},
		{"removed again at last", []Update{list, {Since: 19, AsOf: 25, Records: []Record{removed(20), written(21), removed(22)}}}, map[string]Revision{}},
		{
			"removed again at last, and a source lags behind", []Update{
				list, {Since: 19, AsOf: 25, Records: []Record{removed(20), written(21), removed(21)}}, {Since: 20, AsOf: 21, Records: []Record{written(21)}},
			}, map[string]Revision{},
		},
		{
			"a source that lags behind repeats the removal", []Update{
				list, {Since: 19, AsOf: 21, Records: []Record{removed(20), written(21)}}, {Since: 19, AsOf: 20, Records: []Record{removed(20)}},
			}, map[string]Revision{"a": 21},
		},
		{"the update comes again", []Update{
			list, {Since: 19, AsOf: 21, Records: []Record{removed(20), written(21)}}, {Since: 19, AsOf: 21, Records: []Record{removed(20), written(21)}},
		}, map[string]Revision{"a": 21}},
		{"an older record stands behind the removal", []Update{list, {Since: 19, AsOf: 21, Records: []Record{removed(20), written(19)}}}, map[string]Revision{}},
		{
			"removed within a batch, and a source lags behind", []Update{
				list, {Since: 19, AsOf: 25, Records: []Record{removed(19), {Name: "b", Revision: 25}}}, {Since: 19, AsOf: 20, Records: []Record{written(20)}},
			}, map[string]Revision{"b": 25},
		},
	}
	for _, tt := range tests {
		r := newRecords()
		for _, u := range tt.updates {
			r.apply(time.Now(), u)
		}
		got := make(map[string]Revision)
		for name, e := range r.live {
			got[name] = e.Revision
		}
		qt.Check(t, got, qt.DeepEquals, tt.want, qt.Commentf("%s", tt.about))
	}
}

// TestUpdateAfterGapKeepsAsOf applies an update whose preceding changes are
// missing: its records are taken, but the revision up to which the collection is
// complete does not advance.
func TestUpdateAfterGapKeepsAsOf(t *testing.T) {
	tests := []struct {
		about string
		since Revision
		want  Revision
	}{
		{"contiguous with the list", 5, 9},
		{"overlaps", 3, 9},
		{"gap", 6, 5},
	}
	for _, tt := range tests {
		r := newRecords()
		r.apply(time.Now(), Update{Full: true, AsOf: 5})
		r.apply(time.Now(), Update{Since: tt.since, AsOf: 9, Records: []Record{{Name: "a", Revision: 9}}})
		qt.Check(t, r.asOf, qt.Equals, tt.want, qt.Commentf("%s", tt.about))
		qt.Check(t, r.live, qt.HasLen, 1)
	}
}

// modelStore is a reference model of a collection in the store.
type modelStore struct {
	revision Revision
	live     map[string]Revision
	// history holds one update for each change.
	history []Update
}

func (s *modelStore) change(name string, remove bool) {
	s.revision++
	if remove {
		old, found := s.live[name]
		if !found {
			return
		}
		delete(s.live, name)
		s.history = append(s.history, Update{Since: s.revision - 1, AsOf: s.revision, Records: []Record{{Name: name, Revision: old, Deleted: true}}})
		return
	}
	s.live[name] = s.revision
	s.history = append(s.history, Update{Since: s.revision - 1, AsOf: s.revision, Records: []Record{{Name: name, Revision: s.revision}}})
}

func (s *modelStore) list() Update {
	u := Update{Full: true, AsOf: s.revision}
	for name, revision := range s.live {
		u.Records = append(u.Records, Record{Name: name, Revision: revision})
	}
	return u
}

// batch returns some successive changes as one update.
func (s *modelStore) batch(first, last int) Update {
	u := Update{Since: s.history[first].Since, AsOf: s.history[last].AsOf}
	for _, e := range s.history[first : last+1] {
		u.Records = append(u.Records, e.Records...)
	}
	return u
}

// checkComplete fails if r lacks a change at or before the revision up to which
// it claims to be complete, or holds a record that was removed by then. A record may be missing
// if its removal after that revision is known.
func (s *modelStore) checkComplete(t *rapid.T, r *records, knowsRemoval func(name string) bool) {
	expected := make(map[string]Revision)
	for _, u := range s.history {
		e := u.Records[0]
		switch {
		case u.AsOf > r.asOf:
		case e.Deleted:
			delete(expected, e.Name)
		default:
			expected[e.Name] = e.Revision
		}
	}
	for name, e := range r.live {
		if _, found := expected[name]; !found && e.Revision <= r.asOf {
			t.Fatalf("collection is complete up to revision %d, but holds record %s of revision %d, which was removed by then", r.asOf, name, e.Revision)
		}
	}
	for name, revision := range expected {
		_, live := r.live[name]
		if r.live[name].Revision < revision && (live || !knowsRemoval(name)) {
			t.Fatalf("collection is complete up to revision %d, but record %s at revision %d is missing", r.asOf, name, revision)
		}
	}
}

// TestStreams applies updates out of order, repeated, lost and stale: the revision
// of a live record never decreases, and a final list brings the collection in line
// with the store.
func TestStreams(t *testing.T) {
	rapid.Check(t, checkStream(func(t *rapid.T, s *modelStore) Update {
		return s.history[rapid.IntRange(0, len(s.history)-1).Draw(t, "event")]
	}))
}

// TestStreamsOfBatches applies updates of one or more changes in the same way.
func TestStreamsOfBatches(t *testing.T) {
	rapid.Check(t, checkStream(func(t *rapid.T, s *modelStore) Update {
		first := rapid.IntRange(0, len(s.history)-1).Draw(t, "first event")
		last := rapid.IntRange(first, len(s.history)-1).Draw(t, "last event")
		return s.batch(first, last)
	}))
}

// checkStream returns a check of a collection that gets lists of the store and the updates
// that draw returns.
func checkStream(draw func(*rapid.T, *modelStore) Update) func(*rapid.T) {
	return func(t *rapid.T) {
		store := &modelStore{live: make(map[string]Revision)}
		var lists []Update
		r := newRecords()
		seen := make(map[string]Revision)
		now := time.Now()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
				store.change(name, rapid.Bool().Draw(t, "remove"))
			case 2:
				lists = append(lists, store.list())
				r.apply(now, lists[rapid.IntRange(0, len(lists)-1).Draw(t, "list")])
			case 3:
				if len(store.history) > 0 {
					r.apply(now, draw(t, store))
				}
			}
			if r.synced {
				store.checkComplete(t, r, func(name string) bool { return r.tombstones[name].revision > r.asOf })
			}
			for name, e := range r.live {
				if e.Revision < seen[name] {
					t.Fatalf("revision of record %s decreased from %d to %d", name, seen[name], e.Revision)
				}
				seen[name] = e.Revision
			}
		}
		store.revision++
		r.apply(now, store.list())
		digest := Digest(0)
		for name, e := range r.live {
			digest ^= e.digest()
			if store.live[name] != e.Revision {
				t.Fatalf("record %s has revision %d, want %d as in the store", name, e.Revision, store.live[name])
			}
		}
		if len(r.live) != len(store.live) {
			t.Fatalf("collection has %d records, want %d as in the store", len(r.live), len(store.live))
		}
		if digest != r.digest {
			t.Fatalf("collection digest is %x, want %x the XOR of its records", r.digest, digest)
		}
	}
}
