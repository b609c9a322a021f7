package chivehillrelay

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// beat sends a heartbeat to the peers that pick chooses.
func (r *Relay) beat(pick func(*link) bool) {
	picked := slices.DeleteFunc(r.all(), func(l *link) bool { return !pick(l) })
	if len(picked) == 0 {
		return
	}
	b := r.newBeat()
	for _, l := range picked {
		addBeat(l, b)
	}
}

func (r *Relay) all() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	links := make([]*link, 0, len(r.links))
	for _, l := range r.links {
		links = append(links, l)
	}
	return links
}

func (r *Relay) addBeat(l *link) { addBeat(l, r.newBeat()) }

func addBeat(l *link, b *chivehillwire.RelayBeat) {
	l.add(func(m *chivehillwire.RelayMessage) { m.Beat = b })
}

// newBeat returns what this host knows now. It is not changed once it is shared.
func (r *Relay) newBeat() *chivehillwire.RelayBeat {
	at, ever := r.Contact()
	b := chivehillwire.RelayBeat{ContactAgeMs: -1}
	if ever {
		b.ContactAgeMs = r.Clock.Now() - at
	}
	for _, c := range chivehillcatalog.Collections {
		asOf, digest := r.Catalog.State(c)
		b.Collections = append(b.Collections, chivehillwire.RelayState{Collection: c, AsOf: asOf, Digest: digest})
	}
	r.mu.Lock()
	b.Watching, b.Leaving, b.Lost, b.Delegate = r.watching, r.leaving, r.lost, r.decision.Delegate
	b.Searching = r.decision.Searching
	for id := range r.decision.Down {
		b.Down = append(b.Down, id)
	}
	r.mu.Unlock()
	return &b
}
