package chivehillcatalog

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// restoredStore is a reference model of a store that may come back from a copy of its
// content. The data of a record is the ordinal of the write among all writes ever made.
type restoredStore struct {
	era     Era
	number  uint64
	writes  int
	live    map[string]Record
	history []Update
	// copyNumber and copyLive are the copy, made in the current era.
	copyNumber uint64
	copyLive   map[string]Record
}

func (s *restoredStore) revision() Revision { return NewRevision(s.era, s.number) }

func (s *restoredStore) write(name string, remove bool) {
	old, found := s.live[name]
	if remove && !found {
		return
	}
	since := s.revision()
	s.number++
	s.writes++
	e := Record{Name: name, Revision: s.revision(), Data: []byte(strconv.Itoa(s.writes))}
	if remove {
		e = Record{Name: name, Revision: old.Revision, Deleted: true}
		delete(s.live, name)
	} else {
		s.live[name] = e
	}
	s.history = append(s.history, Update{FromStore: true, Since: since, AsOf: s.revision(), Records: []Record{e}})
}

func (s *restoredStore) makeCopy() {
	s.copyNumber, s.copyLive = s.number, maps.Clone(s.live)
}

func (s *restoredStore) restore() {
	s.era++
	s.number = s.copyNumber
	s.live = make(map[string]Record)
	for name, e := range s.copyLive {
		e.Revision = NewRevision(s.era, e.Revision.Number())
		s.live[name] = e
	}
	s.history = nil
	s.makeCopy()
}

func (s *restoredStore) list() Update {
	u := Update{Full: true, FromStore: true, AsOf: s.revision()}
	for _, e := range s.live {
		u.Records = append(u.Records, e)
	}
	return u
}

// replica is the collection of one host, with the last update that it sends to its peers.
type replica struct {
	records *records
	delta   Update
	// newest is the highest write that the host held or that it knew to be removed.
	newest map[string]int
}

func (p *replica) apply(t *rapid.T, u Update) {
	p.delta = p.records.passOn(u, p.records.apply(time.Now(), u))
	for name, e := range p.records.live {
		write, err := strconv.Atoi(string(e.Data))
		if err != nil {
			t.Fatalf("record %s: %v", name, err)
		}
		if write < p.newest[name] {
			t.Fatalf("record %s went back from write %d to write %d", name, p.newest[name], write)
		}
		p.newest[name] = write
	}
	for _, e := range p.delta.Records {
		if _, live := p.records.live[e.Name]; e.Deleted && !live {
			p.newest[e.Name]++
		}
	}
}

// watch returns the updates of the store after a revision: one for each change, or one for all.
func (s *restoredStore) watch(since Revision, atOnce bool) []Update {
	var updates []Update
	for _, u := range s.history {
		switch {
		case u.Since.Era() != since.Era() || u.Since < since:
		case atOnce && len(updates) > 0:
			updates[0].AsOf = u.AsOf
			updates[0].Records = append(slices.Clone(updates[0].Records), u.Records...)
		default:
			updates = append(updates, u)
		}
	}
	return updates
}

// TestPeerUndoesNewsThatTheStoreHasLost restores the store from copies while hosts list and
// watch it and send one another updates, late, repeated or not at all: no host goes back to
// an older write of a record, nor to one that it has seen removed.
func TestPeerUndoesNewsThatTheStoreHasLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restoredStore{number: 1, live: make(map[string]Record)}
		store.makeCopy()
		replicas := make([]*replica, 3)
		for i := range replicas {
			replicas[i] = &replica{records: newRecords(), newest: make(map[string]int)}
		}
		draw := func(label string) *replica { return replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, label)] }
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.write(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "name")), rapid.Bool().Draw(t, "remove"))
			case 2:
				store.makeCopy()
			case 3:
				store.restore()
			case 4:
				draw("lists").apply(t, store.list())
			case 5:
				p := draw("watches")
				if !p.records.synced {
					break
				}
				for _, u := range store.watch(p.records.asOf, rapid.Bool().Draw(t, "at once")) {
					p.apply(t, u)
				}
			case 6:
				from, to := draw("from"), draw("to")
				if rapid.Bool().Draw(t, "snapshot") && from.records.synced {
					to.apply(t, from.records.snapshot())
				} else {
					to.apply(t, from.delta)
				}
			}
		}
	})
}
