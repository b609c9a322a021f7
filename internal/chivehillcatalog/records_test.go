package chivehillcatalog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestNewsNeverRegresses(t *testing.T) {
	now := time.Now()
	tests := []struct {
		about   string
		updates []Update
		want    map[string]Revision
	}{
		{
			"older change of a record", []Update{
				{Full: true, AsOf: 5, Records: []Record{{Name: "a", Revision: 5}}},
				{AsOf: 4, Records: []Record{{Name: "a", Revision: 3}}},
			}, map[string]Revision{"a": 5},
		},
		{
			"removed record told again by a slower source", []Update{
				{Full: true, AsOf: 5, Records: []Record{{Name: "a", Revision: 5}}},
				{AsOf: 7, Records: []Record{{Name: "a", Revision: 5, Deleted: true}}},
				{AsOf: 6, Records: []Record{{Name: "a", Revision: 5}}},
			}, map[string]Revision{},
		},
		{
			"created anew", []Update{
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
			"list without a record removes it", []Update{
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

// TestGapsDoNotCount lets news with a gap before it in, but not the claim that
// everything up to its revision is known.
func TestGapsDoNotCount(t *testing.T) {
	tests := []struct {
		about string
		since Revision
		want  Revision
	}{
		{"follows on", 5, 9},
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

// truth is the collection as the store has it.
type truth struct {
	revision Revision
	live     map[string]Revision
	// history holds each change as one update.
	history []Update
}

func (s *truth) change(name string, remove bool) {
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

func (s *truth) list() Update {
	u := Update{Full: true, AsOf: s.revision}
	for name, revision := range s.live {
		u.Records = append(u.Records, Record{Name: name, Revision: revision})
	}
	return u
}

// checkComplete fails if the collection lacks a change up to its revision.
func (s *truth) checkComplete(t *rapid.T, r *records) {
	at := make(map[string]Revision)
	for _, u := range s.history {
		e := u.Records[0]
		switch {
		case u.AsOf > r.asOf:
		case e.Deleted:
			delete(at, e.Name)
		default:
			at[e.Name] = e.Revision
		}
	}
	for name, revision := range at {
		_, live := r.live[name]
		_, removed := r.removed[name]
		if r.live[name].Revision < revision && (live || !removed) {
			t.Fatalf("complete up to %d, but %s of %d is not known", r.asOf, name, revision)
		}
	}
}

// TestStreams gives news in any order, repeated, lost and stale: a record never
// goes back, and a final list makes the collection whole.
func TestStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &truth{live: make(map[string]Revision)}
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
					r.apply(now, store.history[rapid.IntRange(0, len(store.history)-1).Draw(t, "event")])
				}
			}
			if r.known {
				store.checkComplete(t, r)
			}
			for name, e := range r.live {
				if e.Revision < seen[name] {
					t.Fatalf("record %s went back from %d to %d", name, seen[name], e.Revision)
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
				t.Fatalf("record %s is at %d, in the store at %d", name, e.Revision, store.live[name])
			}
		}
		if len(r.live) != len(store.live) {
			t.Fatalf("%d records, in the store %d", len(r.live), len(store.live))
		}
		if digest != r.digest {
			t.Fatalf("digest %x, of the records %x", r.digest, digest)
		}
	})
}
